import { setTimeout as delay } from 'node:timers/promises'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import type { RouteRequest } from '../../adapters/http/routes.ts'
import { StandInWorker, TICKET_VALIDITY_MS } from './standInWorker.ts'
import type { StandInWorkerOptions } from './standInWorker.ts'

const WORK_MS = 20
const LATE_MS = 200
const UNANSWERED_MS = 20

interface SetUp {
  readonly worker: StandInWorker
  readonly acknowledged: readonly string[]
  /** Resolves with the body of the answer; with undefined if there is none in time. */
  readonly call: (path: string, body: object) => Promise<unknown>
  readonly start: (attempt: number, task?: string) => Promise<unknown>
}

function setUp (t: ExecutionContext, workMs: StandInWorkerOptions['workMs'] = () => WORK_MS): SetUp {
  const acknowledged: string[] = []
  const worker = new StandInWorker({ id: 'worker-1', bornMs: Date.now(), workMs, onEvent: () => {}, onAcknowledged: (task, attempt) => acknowledged.push(`${task}#${attempt}`) })
  t.teardown(() => worker.close())
  const call = async (path: string, body: object): Promise<unknown> => {
    const route = worker.routes.find(({ pattern }) => pattern === `/-/${path}`)
    return await Promise.race([route?.handle({ body, signal: AbortSignal.timeout(5_000) } as unknown as RouteRequest).then(response => response?.body), delay(UNANSWERED_MS)])
  }
  return { worker, acknowledged, call, start: async (attempt, task = 'task') => await call('run-start', { task, attempt, deadline_ms: 9_000 }) }
}

// Guards against a stand-in that hides delayed holds and stops, which the next incarnation of a real target executes.
test('a late worker leaves every order unanswered, and its next incarnation executes it', async t => {
  const { worker, acknowledged, call, start } = setUp(t)
  worker.fault = 'late'
  worker.lateMs = LATE_MS
  t.deepEqual(await Promise.all([start(1), call('hold', { acked: 1 }), call('run-stop', { task: 'other', attempt: 1 })]), [undefined, undefined, undefined])
  t.deepEqual(worker.running, [])
  worker.fault = 'none'
  worker.crash()
  await start(2, 'earlier')
  await delay(WORK_MS + LATE_MS)
  t.deepEqual(acknowledged, ['earlier#2'], 'hold')
  t.like(await start(1, 'other'), { reason: 'old' }, 'stop')
  t.like(await call('hold', {}), { running: [], finished: [[2, 'task', 1, 'done', '']] }, 'start')
})

// Guards against a coordinator that distinguishes incarnations by what the platform does not say.
test('only reports name the incarnation; answers to starts and stops carry the clock, and the reason of a refusal', async t => {
  const { call, start } = setUp(t)
  const keysOf = async (answer: Promise<unknown>): Promise<readonly string[]> => Object.keys(await answer as object).sort()
  t.deepEqual(await keysOf(start(2)), ['clock_ms'])
  t.deepEqual(await keysOf(call('run-stop', { task: 'task', attempt: 2 })), ['clock_ms'])
  t.deepEqual(await keysOf(start(1)), ['clock_ms', 'reason'])
  t.deepEqual(await keysOf(call('hold', {})), ['born', 'clock_ms', 'finished', 'running'])
})

test('the clock of an incarnation starts where it is drawn, given what the earlier one would show', async t => {
  const given: (number | undefined)[] = []
  const worker = new StandInWorker({
    id: 'worker-1',
    bornMs: Date.now(),
    clockRate: 2,
    workMs: () => WORK_MS,
    onEvent: () => {},
    initialClockMs: earlierMs => {
      given.push(earlierMs)
      return earlierMs === undefined ? 500_000 : earlierMs + 2_000
    }
  })
  t.teardown(() => worker.close())
  const hold = worker.routes.find(({ pattern }) => pattern === '/-/hold')
  const readClock = async (): Promise<number> => {
    const response = await hold?.handle({ body: {}, signal: AbortSignal.timeout(5_000) } as unknown as RouteRequest)
    return (response?.body as { readonly clock_ms: number }).clock_ms
  }
  const firstMs = await readClock()
  t.true(firstMs >= 500_000 && firstMs < 501_000, String(firstMs))
  await worker.crashDark(LATE_MS)
  t.is(given.length, 2)
  t.true((given[1] ?? 0) >= 500_000 + LATE_MS * 2 - 4, String(given[1]))
  t.true(await readClock() >= (given[1] ?? Infinity) + 2_000)
})

// Guards against a stand-in that executes starts which targets refuse, long after their tickets have expired.
test('a worker refuses a start whose ticket was issued for another incarnation or has expired when it is executed', async t => {
  const { worker, call } = setUp(t)
  const start = async (task: string, ticket: string): Promise<unknown> => await call('run-start', { task, attempt: 1, deadline_ms: 9_000, ticket })
  const [bornMs, issuedAtMs] = worker.issueTicket().split('/').map(Number)
  t.like(await start('expired', `${bornMs}/${(issuedAtMs ?? 0) - TICKET_VALIDITY_MS - 1}`), { reason: 'ticket' })
  const ticket = worker.issueTicket()
  t.is((await start('valid', ticket) as { reason?: string }).reason, undefined)
  worker.crash()
  t.like(await start('earlier', ticket), { reason: 'ticket' })
})

test('calls during a dark crash get no answer and are executed by the next incarnation', async t => {
  const { worker, call, start } = setUp(t, () => 5_000)
  await start(1, 'lost')
  const { bornMs } = worker
  const hold = call('hold', { wait_ms: 2_000 })
  const up = worker.crashDark(LATE_MS)
  t.deepEqual(await Promise.all([hold, start(1), call('hold', { fencing_token: 7 }), call('run-stop', { task: 'stopped', attempt: 1, fencing_token: 7 })]), [undefined, undefined, undefined, undefined])
  t.deepEqual(worker.running, [])
  await up
  t.true(worker.bornMs > bornMs)
  t.deepEqual(worker.running, ['task'])
  t.like(await start(2), { reason: 'fence' })
  t.like(await call('run-start', { task: 'stopped', attempt: 1, deadline_ms: 9_000, fencing_token: 7 }), { reason: 'old' })
})

test('an end counts as acknowledged neither after the lease has lapsed nor after a crash', async t => {
  const { worker, acknowledged, call, start } = setUp(t)
  await call('run-start', { task: 'lapsed', attempt: 1, deadline_ms: WORK_MS * 3 })
  await delay(WORK_MS * 4)
  await start(1, 'crashed')
  await delay(WORK_MS * 2)
  await call('hold', { acked: 1 })
  worker.crash()
  await start(1, 'done')
  await delay(WORK_MS * 2)
  await call('hold', { acked: 2 })
  t.deepEqual(acknowledged, ['done#1'])
})
