/** Assignments for unit tests. */
import type { StepDefinition } from '../../jobs/job.ts'
import { JobProgress } from '../../jobs/jobProgress.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../../jobs/testing/definitions.ts'
import { Assignment } from '../targets/assignment.ts'
import type { AssignmentState } from '../targets/assignment.ts'

/** Creates a job of the test queue. */
export function createJob (id: string, steps: readonly StepDefinition[]): JobProgress {
  return new JobProgress(createJobRecord(id, steps), TEST_QUEUE, 0)
}

/** Creates one assignment for each task of a new job's step. */
export function createAssignments (id: string, count = 1, overrides: Partial<StepDefinition> = {}, state: AssignmentState = 'running'): readonly Assignment[] {
  const [step] = createJob(id, [createStep(count, overrides)]).steps
  if (step === undefined) throw new Error('the job has no step')
  return step.tasks.map(task => new Assignment(task, 1, step.definition.size, state))
}
