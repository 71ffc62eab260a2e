import test from 'ava'
import { JOB_CLASSES } from './deploymentCallers.ts'
import type { CallRecord, DeploymentJob, JobClass } from './deploymentCallers.ts'
import { findCutCalls, findStuckJobs } from './deploymentChecker.ts'

const CALL: CallRecord = { instance: 1, method: 'GET', path: '/price-check/1', reusedConnection: true, startedAtMs: 10_000, sentAtMs: 10_000, endedAtMs: 10_500, failure: 'ECONNRESET' }
const STOP = { planned: true, what: 'SIGTERM', instance: 1, atMs: 8_000, untilMs: 8_000 }
const JOB: DeploymentJob = { id: '1', jobClass: JOB_CLASSES[0] as JobClass, key: 'key-1', gang: false, team: 'weavers', steps: [1, 1], cpu: 10_000, acceptedAtMs: 0, outcomeUnknown: false, cancelSent: false, shownStates: [{ atMs: 1_000, state: 'active' }] }

// Guards against a soak that passes over requests which a planned stop has cut.
test('a call that is cut around planned work is reported, unless its caller gave up or a fault was near', t => {
  t.is(findCutCalls([CALL], [STOP], []).length, 1)
  t.deepEqual(findCutCalls([{ ...CALL, endedAtMs: 10_200 }, { ...CALL, failure: 'time-out' }, { ...CALL, instance: 2 }, { ...CALL, sentAtMs: undefined }], [STOP], []), [])
  t.deepEqual(findCutCalls([CALL], [STOP, { planned: false, what: 'kill', instance: 1, atMs: 5_000, untilMs: 6_000 }], []), [])
  t.deepEqual(findCutCalls([CALL], [{ ...STOP, atMs: 3_000 }], []), [])
})

// Guards against a soak that passes over submissions whose answers a planned stop has cut although their work was handed out.
test('a submission that is cut soon after its last byte is reported if a task of it had been started by then', t => {
  const submission: CallRecord = { ...CALL, method: 'POST', endedAtMs: 10_100 }
  const start = { type: 'started' as const, atMs: 10_050, task: '1.0.0.0', attempt: 1, worker: 'worker-1' }
  t.is(findCutCalls([submission], [STOP], [start]).length, 1)
  t.deepEqual(findCutCalls([submission], [STOP], [{ ...start, atMs: 10_150 }]), [])
  t.deepEqual(findCutCalls([submission], [STOP], [{ ...start, atMs: 9_000 }]), [], 'an earlier attempt of the caller had submitted it')
  t.deepEqual(findCutCalls([{ ...submission, method: 'GET' }], [STOP], [start]), [])
})

// Guards against a soak that passes over accepted jobs which wait although there is room.
test('a job or a lasting task that waits with room is reported, one that runs or has no room is not', t => {
  const events = [{ type: 'started' as const, atMs: 1_000, task: '1.0.0.0', attempt: 1, worker: 'worker-1' }, { type: 'ended' as const, atMs: 2_000, task: '1.0.0.0', attempt: 1, worker: 'worker-1', end: 'done' }]
  const check = (changes: Partial<DeploymentJob>, run = {}): number => findStuckJobs({ jobs: [{ ...JOB, ...changes }], events, atMs: 9_000, capacity: 64_000, caps: new Map(), ...run }).length
  t.is(check({}), 1)
  t.is(check({ lasting: true }), 2)
  t.deepEqual([check({ cancelSent: true }), check({ acceptedAtMs: undefined }), check({ shownStates: [{ atMs: 3_000, state: 'completed' }] })], [0, 0, 0])
  t.deepEqual([check({}, { atMs: 4_000 }), check({}, { events: events.slice(0, 1) }), check({}, { atMs: 4_900, capacity: 20_000 })], [0, 0, 0])
})
