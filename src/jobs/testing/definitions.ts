/** Minimal complete job definitions for tests; single fields can be overridden. */
import { resources } from '../../model/resources.ts'
import type { QueueSettings } from '../desiredState.ts'
import type { StepDefinition } from '../job.ts'
import type { JobRecord } from '../jobRecords.ts'

export const TEST_QUEUE: QueueSettings = {
  name: 'renders',
  host: 'jobs.example',
  pathPrefix: '/renders/',
  service: 'renders',
  priority: 1,
  maximumFailures: 2,
  stretchFactor: 2,
  latencyObjectiveMs: 1_000,
  timeoutMs: 3_000,
  anonymous: false
}

/** Creates a step of tasks without constraints that use one core each. */
export function createStep (count: number, overrides: Partial<StepDefinition> = {}): StepDefinition {
  return {
    count,
    size: resources({ processors: 1_000, memory: 10 }),
    estimateMs: 100,
    after: [],
    gang: false,
    sameRack: false,
    requiredLabel: '',
    dataRack: '',
    tasksPerTarget: 0,
    longRunning: false,
    fillsSpareProcessors: false,
    responseTargetMs: 0,
    ...overrides
  }
}

/** Creates the record of a job in the test queue. */
export function createJobRecord (id: string, steps: readonly StepDefinition[], spec = ''): JobRecord {
  return { type: 'job', id, queue: TEST_QUEUE.name, team: 'weavers', acceptedWallMs: 0, withinShare: true, definition: { spec, steps } }
}
