import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import type { JobTargetClient } from '../../ports/jobTarget.ts'
import { RunRecorder } from './runRecorder.ts'
import { SimulatedTarget } from './simulatedTarget.ts'

const TRANSIT_MS = 4
const LATE_MS = 2_000
const WORK_MS = 100
const TICKET_VALIDITY_MS = 500

function setUp (): { readonly clock: ManualClock, readonly recorder: RunRecorder, readonly target: SimulatedTarget, readonly client: JobTargetClient, readonly start: (attempt: number) => void, readonly renew: (acknowledged: number) => void } {
  const clock = new ManualClock(5_000)
  const recorder = new RunRecorder(clock)
  const target = new SimulatedTarget({ id: 'worker-1', clock, workMs: task => task === 'lasting' ? Infinity : WORK_MS, endOf: () => 'done', lateMs: LATE_MS, recorder, ticketValidityMs: task => task.startsWith('advised') ? TICKET_VALIDITY_MS : undefined })
  const client = target.connect({ id: 'worker-1', bornMs: 1 })
  const order = { spec: '', leaseUntilTargetMs: 60_000, fencingToken: 1, checkpoint: '' }
  return {
    clock,
    recorder,
    target,
    client,
    start: attempt => { client.start({ ...order, task: 'task', attempt }).catch(() => {}) },
    renew: acknowledged => { client.renew({ fencingToken: 1, acknowledged, leaseUntilTargetMs: 60_000, waitMs: 0 }).catch(() => {}) }
  }
}

// Guards against a simulation in which a restart hides every delayed call from the next incarnation.
test('the next incarnation of a simulated target executes delayed starts, stops and renewals', async t => {
  const { clock, target, client, start, renew, recorder } = setUp()
  target.fault = 'late'
  start(1)
  await clock.advance(TRANSIT_MS)
  target.restart()
  target.fault = 'none'
  await clock.advance(LATE_MS)
  t.deepEqual([target.starts, target.running], [1, ['task']], 'start')
  await clock.advance(WORK_MS)
  renew(0)
  target.fault = 'late'
  renew(1)
  client.stop({ task: 'task', attempt: 2, fencingToken: 1 }).catch(() => {})
  await clock.advance(TRANSIT_MS)
  target.restart()
  target.fault = 'none'
  start(1)
  await clock.advance(LATE_MS + TRANSIT_MS)
  start(2)
  await clock.advance(TRANSIT_MS)
  t.is(target.starts, 2, 'the stop refuses the second attempt')
  target.restart()
  start(3)
  await clock.advance(WORK_MS + TRANSIT_MS)
  t.is(recorder.findRepeatedRuns().length, 1, 'the renewal acknowledges the end of the next incarnation')
})

test('a simulated target measures leases on the clock of its incarnation and limits those of an earlier one', async t => {
  const { clock, target, client } = setUp()
  await clock.advance(20_000)
  target.restart()
  const order = { task: 'lasting', attempt: 1, spec: '', leaseUntilTargetMs: 29_500, fencingToken: 1, checkpoint: '' }
  const started = client.start(order)
  await clock.advance(TRANSIT_MS)
  t.deepEqual(await started, { outcome: 'started', clockMs: 3 })
  await clock.advance(9_990)
  t.deepEqual(target.running, ['lasting'])
  await clock.advance(20)
  t.deepEqual(target.running, [])
})

// Guards against a simulation in which a delayed start is executed after its ticket has expired, or by the next incarnation.
test('a simulated target refuses starts without a ticket of its incarnation that is valid when they are executed', async t => {
  const { clock, target, client } = setUp()
  const order = { spec: '', leaseUntilTargetMs: 60_000, fencingToken: 1, checkpoint: '', attempt: 1 }
  const start = async (task: string, ticket?: string): Promise<string> => {
    const outcome = client.start({ ...order, task, ...(ticket === undefined ? {} : { ticket }) })
    await clock.advance(TRANSIT_MS)
    const result = await outcome
    return result.outcome === 'refused' ? result.refusal : result.outcome
  }
  t.is(await start('advised-1'), 'ticket', 'missing')
  const ticket = target.issueTicket()
  await clock.advance(TICKET_VALIDITY_MS - TRANSIT_MS)
  t.is(await start('advised-1', ticket), 'started')
  t.is(await start('advised-2', ticket), 'ticket', 'expired')
  t.is(await start('task', ticket), 'started', 'a task that needs none')
  const earlier = target.issueTicket()
  target.restart()
  t.is(await start('advised-3', earlier), 'ticket', 'of the earlier incarnation')
  target.fault = 'late'
  target.lateMs = TICKET_VALIDITY_MS
  client.start({ ...order, task: 'advised-4', ticket: target.issueTicket() }).catch(() => {})
  await clock.advance(TRANSIT_MS)
  target.lateMs = TICKET_VALIDITY_MS / 2
  client.start({ ...order, task: 'advised-5', ticket: target.issueTicket() }).catch(() => {})
  await clock.advance(TICKET_VALIDITY_MS + TRANSIT_MS)
  t.is(target.starts, 3, 'delayed starts, one of them until after the validity')
})

// Guards against a simulation in which all calls of a target take the same time, so that none overtakes another.
test('requests and answers of a simulated target overtake earlier ones, and those that take longer than the time limit are unanswered', async t => {
  const { clock, target, client } = setUp()
  const order = { spec: '', leaseUntilTargetMs: 60_000, fencingToken: 1, checkpoint: '', attempt: 1 }
  const events: string[] = []
  const start = (task: string, requestMs: number, answerMs: number): void => {
    target.transit = { requestMs, answerMs }
    client.start({ ...order, task }).then(({ outcome }) => events.push(`${task} ${outcome} at ${clock.monotonicMs() - 5_000}`), () => {})
  }
  start('lasting', 20, 0)
  start('task', 10, 0)
  await clock.advance(15)
  t.deepEqual(target.running, ['task'], 'the later request')
  target.transit = { requestMs: 0, answerMs: 100 }
  await clock.advance(10)
  t.deepEqual(target.running, ['task', 'lasting'])
  start('third', 0, 5)
  await clock.advance(200)
  t.deepEqual(events, ['task started at 10', 'third started at 30', 'lasting started at 120'], 'the later answer')
  start('fourth', 1_100, 0)
  start('fifth', 600, 500)
  await clock.advance(1_200)
  t.deepEqual(events.slice(3), ['fourth unknown at 1225', 'fifth unknown at 1225'])
  t.is(target.starts, 5, 'unanswered requests are executed')
  target.transit = { requestMs: 100, answerMs: 1_500 }
  const renewal = client.renew({ fencingToken: 1, acknowledged: 0, leaseUntilTargetMs: 60_000, waitMs: 0 })
  await clock.advance(1_201)
  t.deepEqual(await renewal, { outcome: 'failed', message: 'no answer' })
})

test('a run is reported as repeated if an earlier one is in progress or its end as done is acknowledged, but not after a crash or a lapsed lease', async t => {
  const { clock, recorder, target, start, renew } = setUp()
  start(1)
  await clock.advance(TRANSIT_MS + WORK_MS)
  target.restart()
  start(2)
  await clock.advance(TRANSIT_MS + WORK_MS)
  t.deepEqual(recorder.findRepeatedRuns(), [], 'the target crashed before the acknowledgement')
  await clock.advance(10_000)
  renew(1)
  await clock.advance(TRANSIT_MS)
  start(3)
  await clock.advance(TRANSIT_MS)
  t.deepEqual(recorder.findRepeatedRuns(), [], 'the lease lapsed before the acknowledgement')
  await clock.advance(WORK_MS)
  recorder.end(recorder.start('task', 4, 'worker-2'), 'done')
  t.deepEqual(recorder.findRepeatedRuns(), [], 'there is no acknowledgement yet')
  renew(2)
  await clock.advance(TRANSIT_MS)
  t.is(recorder.findRepeatedRuns().length, 1, 'a later acknowledgement counts')
  recorder.start('task', 5, 'worker-2')
  recorder.start('task', 6, 'worker-3')
  t.is(recorder.findRepeatedRuns().length, 4, 'attempts 5 and 6 after attempt 3 was done, and 6 while 5 runs')
})
