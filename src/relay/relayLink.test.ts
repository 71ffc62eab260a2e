import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { createLogger } from '../observability/logger.ts'
import { RelayLink } from './relayLink.ts'
import { createStart, FENCE, RelayHarness, TARGET } from './testing/relayHarness.ts'
import type { RelayOutcome, RelayResult } from './relayMessages.ts'

const OTHER_TARGETS = 40
/** The first order after the link was opened is sent after this time. */
const BATCH_WAIT_MS = 5

/** Submits a start, and returns its result once it is known. */
function submitStart ({ link }: RelayHarness, task: string): { result?: RelayResult } {
  const submitted: { result?: RelayResult } = {}
  link.submit(TARGET, { type: 'start', order: createStart(task) }).then(result => { submitted.result = result }, () => {})
  return submitted
}

test('a burst of starts takes few exchanges, and each order gets its own outcome', async t => {
  const harness = await RelayHarness.open()
  const before = harness.batches.length
  const starts = Array.from({ length: OTHER_TARGETS }, (_, number) => submitStart(harness, `task-${number}`))
  const stop = harness.link.submit(TARGET, { type: 'stop', order: { task: 'task-0', attempt: 1, fencingToken: FENCE } })
  await harness.clock.advance(60)
  t.true(starts.every(({ result }) => result?.type === 'start' && result.outcome.outcome === 'started'))
  t.deepEqual(await stop, { type: 'stop', outcome: 'stopping' })
  t.is(harness.target.orders.length, OTHER_TARGETS + 1)
  t.true(harness.batches.length - before <= 4, `${harness.batches.length - before} exchanges`)
})

test('a long poll of one target does not delay the outcomes of others', async t => {
  const harness = await RelayHarness.open()
  const renewed = harness.link.submit(TARGET, { type: 'renew', order: { fencingToken: FENCE, acknowledged: 0, waitMs: 1_000 } })
  const start = submitStart(harness, 'urgent')
  await harness.clock.advance(40)
  t.like(start.result, { type: 'start' })
  await harness.clock.advance(1_100)
  t.like(await renewed, { type: 'renew', outcome: { outcome: 'report' } })
})

test('a batch that arrives twice does not start its tasks twice', async t => {
  const harness = await RelayHarness.open()
  harness.duplicates = true
  submitStart(harness, 'once')
  await harness.clock.advance(400)
  t.deepEqual(harness.target.orders, ['start once#1 text'])
})

test('a batch that is overtaken by a later one on another connection is executed too', async t => {
  const harness = await RelayHarness.open()
  harness.delaysMs.push(30, 1)
  const overtaken = submitStart(harness, 'first')
  await harness.clock.advance(15)
  const later = submitStart(harness, 'second')
  await harness.clock.advance(100)
  t.deepEqual(harness.target.orders, ['start second#1 text', 'start first#1 text'])
  t.like(overtaken.result, { type: 'start' })
  t.like(later.result, { type: 'start' })
})

test('after the answer to a batch was lost, a start that ran is not reported as never sent', async t => {
  const harness = await RelayHarness.open()
  harness.losesAnswers = true
  const start = submitStart(harness, 'ran')
  await harness.clock.advance(1_100)
  t.deepEqual(harness.target.orders, ['start ran#1 text'])
  t.like(start.result, { type: 'unanswered' })
  t.true(harness.link.ended)
})

// Guards against an outcome that counts for an order to another target or incarnation without a trace in the log.
test('an outcome of another type than its order, or without one, is logged with the relay, the channel and the incarnation', async t => {
  const clock = new ManualClock()
  const lines: string[] = []
  const logger = createLogger({ level: 'info', instance: 'test', dataCentre: 'test', secrets: [], destination: { write: line => lines.push(line) } })
  const outcomes: RelayOutcome[] = [{ number: 1, result: { type: 'stop', outcome: 'stopping' } }, { number: 9, result: { type: 'stop', outcome: 'stopping' } }]
  const link = new RelayLink({
    relay: 'entry-2',
    fence: FENCE,
    channel: 'entry-1/7/1',
    intervalMs: () => 12,
    clock,
    logger,
    hasAuthority: () => true,
    onSuperseded: () => {},
    exchange: async ({ orders, waitMs }) => {
      await clock.sleep(orders.length > 0 ? 1 : waitMs)
      return { state: 'open', time: { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() }, outcomes: orders.length > 0 ? outcomes : [] }
    }
  })
  link.open()
  await clock.advance(20)
  link.submit(TARGET, { type: 'start', order: createStart('task') }).catch(() => {})
  await clock.advance(50)
  link.close()
  t.is(lines.length, 1)
  t.like(JSON.parse(lines[0] ?? ''), { relay: 'entry-2', channel: 'entry-1/7/1', outcomes: 2, number: 1, type: 'stop', orderType: 'start', target: TARGET.id, bornMs: TARGET.bornMs })
})

test('an order whose outcome a relay never gives is reported as unanswered before a gang waits for its members in vain', async t => {
  const harness = await RelayHarness.open()
  harness.target.answerMs = 60_000
  const start = submitStart(harness, 'silent')
  await harness.clock.advance(2_100)
  t.like(start.result, { type: 'unanswered' })
  t.true(harness.link.usable)
})

test('the loss of a relay is noticed within 1.1 s, and orders submitted after it are not queued', async t => {
  const harness = await RelayHarness.open()
  harness.delayMs = Infinity
  const start = submitStart(harness, 'sent')
  await harness.clock.advance(1_100)
  t.like(start.result, { type: 'unanswered' })
  t.false(harness.link.usable)
  t.like(await harness.link.submit(TARGET, { type: 'stop', order: { task: 'sent', attempt: 1, fencingToken: FENCE } }), { type: 'not-sent' })
})

test('a relay that was paused does not send orders whose time has run out, on either of its clocks', async t => {
  for (const pause of [
    async (harness: RelayHarness) => { harness.delayMs = 800 },
    // A suspended machine: its monotonic clock stands still.
    async (harness: RelayHarness) => { harness.clock.suspend(5_000) }
  ]) {
    const harness = await RelayHarness.open()
    const start = submitStart(harness, 'late')
    await pause(harness)
    await harness.clock.advance(900)
    t.deepEqual(harness.target.orders, [], 'nothing reaches the target')
    t.like(start.result, { type: 'not-sent', reason: 'the order has expired' })
    t.true(harness.link.retired, 'a relay that is too slow gets no further orders')
  }
})

test('a relay that knows a later coordinator sends nothing for a deposed one, and tells it', async t => {
  const harness = await RelayHarness.open()
  harness.latestFence = FENCE + 1
  const start = submitStart(harness, 'deposed')
  await harness.clock.advance(100)
  t.deepEqual(harness.target.orders, [])
  t.is(harness.superseded, 1)
  t.true(harness.link.ended)
  t.is(start.result?.type, 'unanswered')
})

test('a relay that stops as planned finishes what it accepted and takes nothing new', async t => {
  const harness = await RelayHarness.open()
  const renewed = harness.link.submit(TARGET, { type: 'renew', order: { fencingToken: FENCE, acknowledged: 0, waitMs: 500 } })
  await harness.clock.advance(50)
  harness.relay.beginClosing()
  await harness.clock.advance(50)
  t.false(harness.link.usable)
  await harness.clock.advance(600)
  t.like(await renewed, { type: 'renew', outcome: { outcome: 'report' } })
  t.true(harness.link.ended)
})

test('a coordinator that was paused while orders waited for their batch does not send them after its authority has ended', async t => {
  const harness = await RelayHarness.open()
  submitStart(harness, 'before')
  await harness.clock.advance(0)
  const start = submitStart(harness, 'queued')
  harness.hasAuthority = false
  await harness.clock.advance(400)
  t.deepEqual(start.result, { type: 'not-sent', reason: 'the coordinator has no authority any more' })
  t.false(harness.target.orders.some(order => order.includes('queued')))
  harness.hasAuthority = true
  const later = submitStart(harness, 'later')
  await harness.clock.advance(40)
  t.like(later.result, { type: 'start' }, 'authority that is regained is used')
})

// Guards against orders that are valid on the relay after the term of a coordinator that was paused before it sent them.
test('a coordinator that was paused after the check of its authority sends orders that have expired', async t => {
  const harness = await RelayHarness.open()
  const start = submitStart(harness, 'paused')
  harness.pauseAfterCheckMs = 750
  await harness.clock.advance(900)
  t.deepEqual(harness.target.orders, [])
  t.like(start.result, { type: 'not-sent', reason: 'the order has expired' })
})

// Guards against a longer time in relays than the coordinator allows for when it decides that a call can not be executed any more.
test('an order that was given up when its batch had just been sent reaches its target within 0.7 s or not at all', async t => {
  for (const [delayMs, orders] of [[690, ['start given-up#1 text']], [710, []]] as const) {
    const harness = await RelayHarness.open()
    harness.delayMs = delayMs
    const start = submitStart(harness, 'given-up')
    await harness.clock.advance(BATCH_WAIT_MS)
    harness.link.close()
    await harness.clock.advance(0)
    t.is(start.result?.type, 'unanswered')
    await harness.clock.advance(60_000)
    t.deepEqual(harness.target.orders, orders, `after ${delayMs} ms`)
  }
})

// Guards against a start that is taken for refused, and then arrives.
test('an order that was reported as not sent when the link ended, while it waited for its batch, does not reach its target', async t => {
  const harness = await RelayHarness.open()
  submitStart(harness, 'sent')
  await harness.clock.advance(BATCH_WAIT_MS)
  const queued = submitStart(harness, 'queued')
  harness.link.close()
  await harness.clock.advance(0)
  t.like(queued.result, { type: 'not-sent' })
  await harness.clock.advance(60_000)
  t.deepEqual(harness.target.orders, ['start sent#1 text'])
})

// Guards against an order that is decided on by what was known seconds ago, and whose lease is extended later than the coordinator allows for.
test('an order that waited for its batch for more than a second, on a relay that falls behind or in a paused process, is not sent', async t => {
  const harness = await RelayHarness.open()
  const paused = submitStart(harness, 'paused')
  harness.clock.pause(1_500)
  await harness.clock.advance(1_000)
  t.deepEqual(paused.result, { type: 'not-sent', reason: 'the order waited too long' })
  t.deepEqual(harness.target.orders, [])
  const slow = await RelayHarness.open()
  slow.delayMs = 600
  const submittedMs = slow.clock.monotonicMs()
  const starts = Array.from({ length: 4_000 }, (_, number) => submitStart(slow, `task-${number}`))
  const arrivals: number[] = []
  for (let waitedMs = 0; waitedMs < 6_000; waitedMs += 50) {
    await slow.clock.advance(50)
    if (slow.target.orders.length > arrivals.length) arrivals.push(...Array.from({ length: slow.target.orders.length - arrivals.length }, () => slow.clock.monotonicMs() - submittedMs))
  }
  t.true(arrivals.length > 0 && Math.max(...arrivals) <= 1_750, `${arrivals.length} orders, the last after ${Math.max(...arrivals)} ms`)
  const notSent = starts.filter(({ result }) => result?.type === 'not-sent').length
  t.is(notSent + arrivals.length, starts.length)
})
