import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { DesiredStateIndex } from '../jobs/desiredStateIndex.ts'
import { TEST_QUEUE } from '../jobs/testing/definitions.ts'
import { resources } from '../model/resources.ts'
import { createLogger } from '../observability/logger.ts'
import type { DesiredStateWatcher } from './desiredStateWatcher.ts'
import type { JobCoordinator } from './jobCoordinator.ts'
import { JobIntake } from './jobIntake.ts'

test('a job that was never stored is not reported as accepted by a call that waited until the term had ended', async t => {
  const coordinator = { ready: true, table: { jobs: new Map([['1', {}]]), finished: new Map() } }
  const state = { version: 1, queues: [TEST_QUEUE], services: [], teams: [{ name: 'weavers', keys: ['k'], weight: 1, cap: resources({}) }], maximumBodyBytes: 0 }
  const desired = {
    state,
    index: new DesiredStateIndex(state),
    refresh: async () => { coordinator.ready = false }
  }
  const intake = new JobIntake(coordinator as unknown as JobCoordinator, desired as unknown as DesiredStateWatcher, new ManualClock(),
    createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'howrah', secrets: [] }))
  const answer = await intake.handle({ action: 'submit', host: TEST_QUEUE.host, path: `${TEST_QUEUE.pathPrefix}1`, key: 'k', definition: '{}', desiredStateVersion: 2 })
  t.is(answer.outcome, 'unavailable')
})
