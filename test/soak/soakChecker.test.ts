import test from 'ava'
import type { CapacityChange } from '../../src/platform/standIn/standInPlatform.ts'
import type { WorkerEvent } from '../../src/platform/standIn/standInWorker.ts'
import { checkSoak } from './soakChecker.ts'
import type { SoakJob } from './soakChecker.ts'

const ID = '0000000000000001'

function event (type: WorkerEvent['type'], task: string, atMs: number, end?: string, attempt = 1, worker = 'worker-1'): WorkerEvent {
  return { type, task: `${ID}.0.${task}`, atMs, attempt, worker, ...(end === undefined ? {} : { end }) }
}

function check (events: readonly WorkerEvent[], changes: Partial<SoakJob> = {}, limits: { workerCpu?: number, capacityChanges?: readonly CapacityChange[], cap?: number, acknowledged?: boolean } = {}): readonly string[] {
  const job: SoakJob = { id: ID, team: 'weavers', steps: [1, 1], cpu: 1_000, acceptedAtMs: 0, outcomeUnknown: false, cancelSent: false, shownStates: [{ atMs: 100, state: 'completed' }], ...changes }
  const { workerCpu = 64_000, capacityChanges, cap = 0, acknowledged = true } = limits
  return checkSoak({
    jobs: new Map([[ID, job]]),
    events,
    acknowledged: new Set(acknowledged ? events.map(({ task, attempt }) => `${task}#${attempt}`) : []),
    workerCpu,
    capacityChanges,
    teamCaps: new Map([['weavers', cap]])
  }).map(fault => fault.split(':', 1)[0] as string)
}

const GOOD = [event('started', '0.0', 1), event('ended', '0.0', 2, 'done'), event('started', '1.0', 3), event('ended', '1.0', 4, 'done')]

test('the soak checker accepts a job that ran correctly, or ran again after a crash lost its end', t => {
  t.deepEqual(check(GOOD), [])
  t.deepEqual(check(GOOD, {}, { acknowledged: false }), [], 'the target crashed after the end of the task was stored and before it was acknowledged')
  const [start, end] = GOOD as [WorkerEvent, WorkerEvent]
  t.deepEqual(check([start, end, { ...start, attempt: 2, atMs: 5 }, { ...end, attempt: 2, atMs: 6 }], { steps: [1], shownStates: [{ atMs: 100, state: 'completed' }] }, { acknowledged: false }), [])
})

test('the soak checker reports every kind of violation', t => {
  const [start, end, next] = GOOD as [WorkerEvent, WorkerEvent, WorkerEvent]
  t.deepEqual(check([start, { ...start, attempt: 2 }, ...GOOD.slice(1)]), ['TWICE'])
  t.deepEqual(check([...GOOD, { ...start, attempt: 2, atMs: 9 }]), ['TWICE'])
  t.deepEqual(check([start, next, end, ...GOOD.slice(3)]), ['ORDER'])
  t.deepEqual(check(GOOD, {}, { workerCpu: 500 }), ['LIMIT'])
  t.deepEqual(check([start, event('started', '0.1', 1), event('started', '0.2', 1)], { steps: [3], shownStates: [], cancelSent: true }, { cap: 1_000 }), ['QUOTA'])
  t.deepEqual(check(GOOD, { acceptedAtMs: undefined, shownStates: [] }), ['REFUSED', 'REFUSED'])
  t.deepEqual(check(GOOD.map(each => ({ ...each, atMs: each.atMs + 9_000 })), { cancelledAtMs: 1, cancelSent: true, shownStates: [] }), ['UNASKED', 'UNASKED'])
  t.deepEqual(check([{ ...start, task: 'ffffffffffffffff.0.0.0' }], { cancelSent: true, shownStates: [] }), ['UNASKED'])
  t.deepEqual(check([start, end]), ['MIXED'])
  t.deepEqual(check(GOOD, { shownStates: [{ atMs: 3, state: 'completed' }] }), ['MIXED'])
  t.deepEqual(check(GOOD, { shownStates: [{ atMs: 50, state: 'no-job' }, { atMs: 100, state: 'completed' }] }), ['LOST'])
  t.deepEqual(check(GOOD, { shownStates: [{ atMs: 100, state: 'active' }] }), ['LOST'])
  t.deepEqual(check(GOOD, { shownStates: [{ atMs: 100, state: 'failed' }] }), ['LOST', 'LOST'])
  t.deepEqual(check(GOOD, { shownStates: [{ atMs: 100, state: 'cancelled' }] }), ['LOST', 'LOST'])
})

test('the soak checker counts the larger capacity of a target that has shrunk for as long as a coordinator may not know of it', t => {
  const events = GOOD.map(each => ({ ...each, atMs: each.atMs + 10_000 }))
  const shownStates = [{ atMs: 20_000, state: 'completed' }]
  const shrink = (atMs: number): CapacityChange => ({ worker: 'worker-1', atMs, processors: 500 })
  t.deepEqual(check(events, { shownStates }, { capacityChanges: [shrink(6_000)] }), [])
  t.deepEqual(check(events, { shownStates }, { capacityChanges: [shrink(1_000)] }), ['LIMIT'])
  t.deepEqual(check(events, { shownStates }, { capacityChanges: [shrink(1_000), { ...shrink(9_000), processors: 1_000 }] }), [])
})

test('the soak checker lets only a job that crashes its targets fail, and limits its starts', t => {
  const starts = (count: number): readonly WorkerEvent[] => Array.from({ length: count }, (_, position) =>
    [event('started', '0.0', position * 2, undefined, position + 1), event('ended', '0.0', position * 2 + 1, 'crashed', position + 1)]).flat()
  const shownStates = [{ atMs: 100, state: 'failed' }]
  t.deepEqual(check(starts(5), { deadly: true, shownStates }), [])
  t.deepEqual(check(starts(6), { deadly: true, shownStates }), ['BUDGET'])
  t.deepEqual(check(starts(3), { deadly: true, shownStates: [{ atMs: 100, state: 'active' }] }), ['LOST'])
  t.deepEqual(check(starts(3), { shownStates }), ['LOST', 'LOST'])
})
