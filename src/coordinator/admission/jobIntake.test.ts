import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import type { CallerCall } from '../../entry/callerCall.ts'
import { DesiredStateIndex } from '../../jobs/desiredStateIndex.ts'
import { TEST_QUEUE } from '../../jobs/testing/definitions.ts'
import { resources } from '../../model/resources.ts'
import { createLogger } from '../../observability/logger.ts'
import { AdmissionControl } from './admissionControl.ts'
import type { DesiredStateWatcher } from '../desiredStateWatcher.ts'
import type { JobCoordinator } from '../jobCoordinator.ts'
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

test('a team at several times its usual load: its urgent jobs are accepted while its wide jobs wait, and its wide ones are not', async t => {
  const clock = new ManualClock()
  const admission = new AdmissionControl(clock)
  const urgent = { ...TEST_QUEUE, name: 'checks', pathPrefix: '/checks/', priority: 0 }
  const state = { version: 1, queues: [TEST_QUEUE, urgent], services: [], teams: [{ name: 'weavers', keys: ['k'], weight: 0.01, cap: resources({}) }], maximumBodyBytes: 0 }
  const coordinator = {
    ready: true,
    storeFails: false,
    admission,
    table: { jobs: new Map(), finished: new Map() },
    missingQueueRecords: () => [],
    applyAndAppend: async () => {}
  }
  const desired = { state, index: new DesiredStateIndex(state), refresh: async () => {} }
  const intake = new JobIntake(coordinator as unknown as JobCoordinator, desired as unknown as DesiredStateWatcher, clock,
    createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'howrah', secrets: [] }))
  const submit = async (path: string): Promise<string> => {
    const call: CallerCall = { action: 'submit', host: TEST_QUEUE.host, path, key: 'k', definition: '{}', desiredStateVersion: 1 }
    return (await intake.handle(call)).outcome
  }
  t.is(await submit('/renders/1'), 'accepted', 'within the share')
  admission.updateWaiting(Array.from({ length: 3 }, () => ({ team: 'weavers', priority: TEST_QUEUE.priority, waitedMs: 5_000 })))
  t.is(await submit('/renders/2'), 'limited')
  t.is(await submit('/checks/3'), 'accepted')
})

// Guards against accepted jobs that are answered as unknown, since their queue requires a key by now.
test('a job that was accepted without a key can be read with one, and those of other teams can not', async t => {
  const jobs = new Map([['1', ''], ['2', 'weavers'], ['3', 'dyers']].map(([id = '', team]) => [id, { state: 'active', queue: TEST_QUEUE, record: { team, queue: TEST_QUEUE.name } }]))
  const coordinator = { ready: true, storeFails: false, table: { jobs, finished: new Map() }, confirmLeadership: async () => true, applyAndAppend: async () => {} }
  const state = { version: 1, queues: [TEST_QUEUE], services: [], teams: [{ name: 'weavers', keys: ['k'], weight: 1, cap: resources({}) }], maximumBodyBytes: 0 }
  const desired = { state, index: new DesiredStateIndex(state), refresh: async () => {} }
  const intake = new JobIntake(coordinator as unknown as JobCoordinator, desired as unknown as DesiredStateWatcher, new ManualClock(),
    createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'howrah', secrets: [] }))
  const read = async (id: string): Promise<string> =>
    (await intake.handle({ action: 'read', host: TEST_QUEUE.host, path: `${TEST_QUEUE.pathPrefix}${id}`, key: 'k', definition: '', desiredStateVersion: 1 })).outcome
  t.deepEqual([await read('1'), await read('2'), await read('3'), await read('4')], ['state', 'state', 'no-job', 'no-job'])
})
