import test from 'ava'
import type { TargetFault } from '../../adapters/target/targetFault.ts'
import { RefusalError } from '../../model/errors.ts'
import type { Verdict } from '../../model/verdict.ts'
import { LEASE_MS, LocalSchedulerHarness } from '../testing/localSchedulerHarness.ts'

const RUN = { payload: { runMs: 1_000 } }

interface StartCase {
  readonly name: string
  readonly arrange: (harness: LocalSchedulerHarness) => void
  readonly payload?: object
  readonly verdict: Verdict
  readonly code: string
  readonly retryable: boolean
  readonly ran: number
}

function failStart (fault: TargetFault): (harness: LocalSchedulerHarness) => void {
  return harness => { harness.client.chooseFault = call => call.method === 'start' ? fault : undefined }
}

const starts: readonly StartCase[] = [
  { name: 'the target is unreachable', arrange: failStart({ type: 'unreachable' }), verdict: 'not-run', code: 'target-failed', retryable: true, ran: 0 },
  { name: 'the start request is lost', arrange: failStart({ type: 'loseCall' }), verdict: 'not-run', code: 'target-failed', retryable: true, ran: 0 },
  { name: 'the start request arrives after its start-by time', arrange: failStart({ type: 'delay', durationMs: 5_000 }), verdict: 'not-run', code: 'no-capacity', retryable: true, ran: 0 },
  { name: 'the answer is lost', arrange: failStart({ type: 'loseAnswer' }), verdict: 'may-have-run', code: 'target-failed', retryable: true, ran: 1 },
  { name: 'another owner has fenced the target', arrange: harness => harness.targets[0]!.fence(2), verdict: 'not-run', code: 'fenced', retryable: true, ran: 0 },
  { name: 'the target is leaving', arrange: harness => { harness.targets[0]!.leaving = true }, verdict: 'not-run', code: 'no-capacity', retryable: true, ran: 0 },
  { name: 'the task fails', arrange: () => {}, payload: { fail: 'broken' }, verdict: 'ran', code: 'target-failed', retryable: true, ran: 1 },
  { name: 'the target crashes', arrange: harness => { harness.clock.sleep(100).then(() => harness.targets[0]!.crash(), () => {}) }, verdict: 'may-have-run', code: 'target-failed', retryable: true, ran: 1 },
  { name: 'the answer is for another task', arrange: failStart({ type: 'echo', taskId: 'f9.9' }), verdict: 'may-have-run', code: 'target-failed', retryable: true, ran: 1 }
]

for (const { name, arrange, payload = RUN.payload, verdict, code, retryable, ran } of starts) {
  test(`a start reports the correct verdict and releases all resources when ${name}`, async t => {
    const harness = new LocalSchedulerHarness()
    arrange(harness)
    const { refusal } = await harness.finish(harness.run({ payload }, undefined, 50_000))
    t.like(refusal, { verdict, code, retryable })
    await harness.clock.advance(70_000)
    t.is(harness.targets[0]!.history.length, ran)
    t.deepEqual(harness.held, [])
  })
}

test('a complete answer releases all resources', async t => {
  const harness = new LocalSchedulerHarness()
  t.deepEqual(await harness.finish(harness.run(RUN)), { events: ['accepted', 'head', 'chunk', 'end'] })
  t.deepEqual(harness.held, [])
})

test('capacity and allotment are released if the caller leaves after the placement', async t => {
  const harness = new LocalSchedulerHarness()
  const events = harness.scheduler.run(harness.createWork(RUN))[Symbol.asyncIterator]()
  t.is((await events.next()).value?.type, 'accepted')
  await events.return?.()
  t.deepEqual(harness.held, [])
})

test('a task that a successor has taken over is not retried, since it is still running', async t => {
  const harness = new LocalSchedulerHarness()
  const abandoned = harness.run({ payload: { runMs: 60_000 } }, undefined, 50_000)
  await harness.clock.advance(500)
  harness.client.chooseFault = call => ({ type: call.method === 'start' ? 'loseAnswer' : 'loseCall' })
  const lost = harness.run({ payload: { runMs: 60_000 } }, undefined, 50_000)
  await harness.clock.settle()
  t.is(harness.targets[0]!.history.length, 2)
  harness.loseTarget(harness.targets[0]!)
  harness.targets[0]!.crash()
  for (const { refusal } of [await harness.finish(lost), await harness.finish(abandoned)]) {
    t.like(refusal, { verdict: 'may-have-run', retryable: false })
  }
})

test('a fenced owner that has not yet read the ownership record does not report the successor\'s task as ended', async t => {
  const harness = new LocalSchedulerHarness()
  harness.client.chooseFault = call => ({ type: call.method === 'start' ? 'loseAnswer' : 'loseCall' })
  const run = harness.run({ payload: { runMs: 90_000 } }, undefined, 50_000)
  await harness.clock.settle()
  harness.targets[0]!.fence(2)
  harness.targets[0]!.renew('f1.1', 2, 90_000)
  harness.client.chooseFault = () => undefined
  t.like((await harness.finish(run)).refusal, { verdict: 'may-have-run', retryable: false })
  t.is(harness.targets[0]!.history[0]?.endedAtWallMs, undefined)
})

test('a gang with one certain and one uncertain failure is neither reported as not run nor retried', async t => {
  for (const first of [0, 1]) {
    const harness = new LocalSchedulerHarness({ targets: 2, type: 'worker' })
    let starts = 0
    harness.client.chooseFault = call => {
      if (call.method !== 'start') return { type: 'loseCall' }
      return starts++ === first ? { type: 'unreachable' } : { type: 'loseAnswer' }
    }
    const { refusal } = await harness.finish(harness.run({ kind: 'gang', tasks: 2, payload: { runMs: 60_000 } }, undefined, 5_000))
    t.like(refusal, { verdict: 'may-have-run', retryable: false })
  }
})

test('a gang whose started task can not be stopped is answered at its deadline and not retried', async t => {
  const harness = new LocalSchedulerHarness({ targets: 2, type: 'worker' })
  let starts = 0
  harness.client.chooseFault = call => call.method === 'start'
    ? starts++ === 0 ? undefined : { type: 'unreachable' }
    : { type: 'loseCall' }
  const { refusal } = await harness.finish(harness.run({ kind: 'gang', tasks: 2, payload: { runMs: 60_000 } }, undefined, 5_000), 6_000)
  t.like(refusal, { verdict: 'ran', retryable: false })
  await harness.clock.advance(LEASE_MS * 2)
  t.deepEqual(harness.held, [])
})

test('neither a duplicate nor a request whose claim has an unknown outcome is sent to a target', async t => {
  const harness = new LocalSchedulerHarness()
  harness.claim = async () => 'duplicate'
  t.like((await harness.finish(harness.run({ repeatable: false }))).refusal, { code: 'duplicate', verdict: 'may-have-run' })
  harness.claim = async () => { throw new Error('the store is down') }
  t.like((await harness.finish(harness.run({ repeatable: false }))).refusal, { code: 'claim-unavailable', verdict: 'not-run', claimed: true })
  harness.claim = async () => 'claimed'
  t.deepEqual((await harness.finish(harness.run({ repeatable: false }))).events, ['accepted', 'head', 'chunk', 'end'])
  t.is(harness.targets[0]!.history.length, 1)
  t.deepEqual(harness.held, [])
})

test('a request whose claim may have been written is not refused as unclaimed while it waits again', async t => {
  const harness = new LocalSchedulerHarness()
  harness.claim = async () => {
    harness.placements.close()
    return 'unavailable'
  }
  t.like((await harness.finish(harness.run({ repeatable: false }))).refusal, { code: 'draining', verdict: 'not-run', claimed: true })
})

test('a non-repeatable request is not refused as unclaimed after its claim', async t => {
  const harness = new LocalSchedulerHarness()
  failStart({ type: 'unreachable' })(harness)
  t.like((await harness.finish(harness.run({ repeatable: false }))).refusal, { verdict: 'not-run', claimed: true, retryable: true })
})

test('a cancelled request is reported as not run only if it was not sent, at each stage', async t => {
  const cancel = new RefusalError('cancelled', { code: 'cancelled', verdict: 'may-have-run' })
  const harness = new LocalSchedulerHarness()
  const running = new AbortController()
  const runs = [harness.run({ payload: { runMs: 5_000 } }, running.signal), harness.run({ payload: { runMs: 5_000 } })]
  const waiting = new AbortController()
  const queued = harness.run(RUN, waiting.signal)
  await harness.clock.settle()
  t.is(harness.placements.length, 1)
  waiting.abort(cancel)
  t.like((await queued).refusal, { code: 'cancelled', verdict: 'not-run' })
  running.abort(cancel)
  t.like((await harness.finish(runs[0]!)).refusal, { verdict: 'may-have-run', retryable: false })
  const claiming = new AbortController()
  harness.claim = async () => {
    claiming.abort(cancel)
    return 'claimed'
  }
  t.like((await harness.finish(harness.run({ repeatable: false }, claiming.signal))).refusal, { code: 'cancelled', verdict: 'not-run', claimed: true })
  await harness.finish(runs[1]!)
  await harness.clock.advance(1_000)
  t.deepEqual(harness.held, [])
})

test('a burst of cancellations does not open the circuit breaker of a target', async t => {
  const harness = new LocalSchedulerHarness()
  for (let count = 0; count < 10; count++) {
    const abort = new AbortController()
    const events = harness.scheduler.run(harness.createWork(RUN, abort.signal))[Symbol.asyncIterator]()
    await events.next()
    abort.abort()
    await t.throwsAsync(async () => await events.next(), { instanceOf: RefusalError })
  }
  t.false(harness.breaker.isOpen('r-1'))
})

test('a preempted task is not reported as failed, does not count against the target, and releases all resources', async t => {
  const harness = new LocalSchedulerHarness()
  const run = harness.run({ kind: 'batch', size: harness.targets[0]!.info.capacity, payload: { runMs: 60_000 } })
  await harness.clock.advance(100)
  await harness.tracker.checkpoint('f1.1')
  t.like((await harness.finish(run)).refusal, { code: 'preempted', verdict: 'ran', retryable: true })
  t.deepEqual(harness.held, [])
})

test('a preempted task is not reported as failed if the answer to its checkpoint is lost, and a later failure is not reported as preempted', async t => {
  const harness = new LocalSchedulerHarness()
  const request = { kind: 'batch' as const, payload: { runMs: 1_000, fail: 'broken' } }
  const preempted = harness.run(request)
  await harness.clock.advance(100)
  harness.client.chooseFault = call => call.method === 'command' ? { type: 'loseAnswer' } : undefined
  await t.throwsAsync(harness.tracker.checkpoint('f1.1'))
  t.like((await harness.finish(preempted)).refusal, { code: 'preempted', verdict: 'ran', retryable: true })
  const failed = harness.run(request)
  await harness.clock.advance(100)
  harness.client.chooseFault = call => call.method === 'command' ? { type: 'unreachable' } : undefined
  await t.throwsAsync(harness.tracker.checkpoint('f2.1'))
  t.like((await harness.finish(failed)).refusal, { code: 'target-failed', verdict: 'ran' })
})

test('the checkpoint mark of a task is removed when the task ends', async t => {
  const harness = new LocalSchedulerHarness()
  const run = harness.run({ kind: 'batch', payload: { runMs: 1_000 } })
  await harness.clock.advance(100)
  harness.client.chooseFault = call => call.method === 'command' ? { type: 'loseCall' } : undefined
  await t.throwsAsync(harness.tracker.checkpoint('f1.1'))
  t.deepEqual((await harness.finish(run)).events, ['accepted', 'head', 'chunk', 'end'])
  t.false(harness.tracker.consumeCheckpointMark('f1.1'))
})

test('the connection of an answer for another task is released', async t => {
  const harness = new LocalSchedulerHarness()
  let closed = false
  const start = harness.client.start.bind(harness.client)
  harness.client.start = async (...call) => {
    const result = await start(...call)
    if (result.outcome !== 'started') return result
    const body = async function * (): AsyncIterable<Uint8Array> {
      try {
        yield Buffer.from('x')
      } finally {
        closed = true
      }
    }
    return { outcome: 'started', answer: { ...result.answer, taskId: 'f9.9', body: body() } }
  }
  await harness.finish(harness.run())
  t.true(closed)
})
