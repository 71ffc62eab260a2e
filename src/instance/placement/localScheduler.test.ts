import test from 'ava'
import type { TargetFault } from '../../adapters/target/targetFault.ts'
import { RefusalError } from '../../model/errors.ts'
import type { Verdict } from '../../model/verdict.ts'
import { LEASE_MS, LocalBench } from '../testing/localBench.ts'

const RUN = { payload: { runMs: 1_000 } }

interface StartCase {
  readonly name: string
  readonly arrange: (bench: LocalBench) => void
  readonly payload?: object
  readonly verdict: Verdict
  readonly code: string
  readonly retryable: boolean
  readonly ran: number
}

function failStart (fault: TargetFault): (bench: LocalBench) => void {
  return bench => { bench.client.chooseFault = call => call.method === 'start' ? fault : undefined }
}

const starts: readonly StartCase[] = [
  { name: 'the target can not be reached', arrange: failStart({ type: 'unreachable' }), verdict: 'not-run', code: 'target-failed', retryable: true, ran: 0 },
  { name: 'the call is lost', arrange: failStart({ type: 'loseCall' }), verdict: 'not-run', code: 'target-failed', retryable: true, ran: 0 },
  { name: 'the call arrives after the start-by time', arrange: failStart({ type: 'delay', durationMs: 5_000 }), verdict: 'not-run', code: 'no-capacity', retryable: true, ran: 0 },
  { name: 'the answer is lost', arrange: failStart({ type: 'loseAnswer' }), verdict: 'may-have-run', code: 'target-failed', retryable: true, ran: 1 },
  { name: 'another owner has fenced the target', arrange: bench => bench.targets[0]!.fence(2), verdict: 'not-run', code: 'fenced', retryable: true, ran: 0 },
  { name: 'the target is leaving', arrange: bench => { bench.targets[0]!.leaving = true }, verdict: 'not-run', code: 'no-capacity', retryable: true, ran: 0 },
  { name: 'the work fails', arrange: () => {}, payload: { fail: 'broken' }, verdict: 'ran', code: 'target-failed', retryable: true, ran: 1 },
  { name: 'the target crashes', arrange: bench => { bench.clock.sleep(100).then(() => bench.targets[0]!.crash(), () => {}) }, verdict: 'may-have-run', code: 'target-failed', retryable: true, ran: 1 },
  { name: 'the answer is for another task', arrange: failStart({ type: 'echo', taskId: 'f9.9' }), verdict: 'may-have-run', code: 'target-failed', retryable: true, ran: 1 }
]

for (const { name, arrange, payload = RUN.payload, verdict, code, retryable, ran } of starts) {
  test(`a start has a true verdict and leaves nothing held when ${name}`, async t => {
    const bench = new LocalBench()
    arrange(bench)
    const { refusal } = await bench.finish(bench.run({ payload }, undefined, 50_000))
    t.like(refusal, { verdict, code, retryable })
    await bench.clock.advance(70_000)
    t.is(bench.targets[0]!.history.length, ran)
    t.deepEqual(bench.held, [])
  })
}

test('a whole answer leaves nothing held', async t => {
  const bench = new LocalBench()
  t.deepEqual(await bench.finish(bench.run(RUN)), { events: ['accepted', 'head', 'chunk', 'end'] })
  t.deepEqual(bench.held, [])
})

test('a caller that leaves after the placement does not keep capacity or allotment', async t => {
  const bench = new LocalBench()
  const events = bench.scheduler.run(bench.createWork(RUN))[Symbol.asyncIterator]()
  t.is((await events.next()).value?.type, 'accepted')
  await events.return?.()
  t.deepEqual(bench.held, [])
})

test('a task that a successor took over is not retried, since it runs on', async t => {
  const bench = new LocalBench()
  const abandoned = bench.run({ payload: { runMs: 60_000 } }, undefined, 50_000)
  await bench.clock.advance(500)
  bench.client.chooseFault = call => ({ type: call.method === 'start' ? 'loseAnswer' : 'loseCall' })
  const lost = bench.run({ payload: { runMs: 60_000 } }, undefined, 50_000)
  await bench.clock.settle()
  t.is(bench.targets[0]!.history.length, 2)
  bench.loseTarget(bench.targets[0]!)
  bench.targets[0]!.crash()
  for (const { refusal } of [await bench.finish(lost), await bench.finish(abandoned)]) {
    t.like(refusal, { verdict: 'may-have-run', retryable: false })
  }
})

test('a fenced owner that has not read the record yet does not take the successor\'s task for ended', async t => {
  const bench = new LocalBench()
  bench.client.chooseFault = call => ({ type: call.method === 'start' ? 'loseAnswer' : 'loseCall' })
  const run = bench.run({ payload: { runMs: 90_000 } }, undefined, 50_000)
  await bench.clock.settle()
  bench.targets[0]!.fence(2)
  bench.targets[0]!.renew('f1.1', 2, 90_000)
  bench.client.chooseFault = () => undefined
  t.like((await bench.finish(run)).refusal, { verdict: 'may-have-run', retryable: false })
  t.is(bench.targets[0]!.history[0]?.endedAtWallMs, undefined)
})

test('a gang with one certain and one uncertain failure is neither reported as not run nor retried', async t => {
  for (const first of [0, 1]) {
    const bench = new LocalBench({ targets: 2, type: 'worker' })
    let starts = 0
    bench.client.chooseFault = call => {
      if (call.method !== 'start') return { type: 'loseCall' }
      return starts++ === first ? { type: 'unreachable' } : { type: 'loseAnswer' }
    }
    const { refusal } = await bench.finish(bench.run({ kind: 'gang', tasks: 2, payload: { runMs: 60_000 } }, undefined, 5_000))
    t.like(refusal, { verdict: 'may-have-run', retryable: false })
  }
})

test('a gang whose started task can not be stopped is answered at its deadline and not retried', async t => {
  const bench = new LocalBench({ targets: 2, type: 'worker' })
  let starts = 0
  bench.client.chooseFault = call => call.method === 'start'
    ? starts++ === 0 ? undefined : { type: 'unreachable' }
    : { type: 'loseCall' }
  const { refusal } = await bench.finish(bench.run({ kind: 'gang', tasks: 2, payload: { runMs: 60_000 } }, undefined, 5_000), 6_000)
  t.like(refusal, { verdict: 'ran', retryable: false })
  await bench.clock.advance(LEASE_MS * 2)
  t.deepEqual(bench.held, [])
})

test('a duplicate is not sent, and a claim whose outcome is unknown leads to no send', async t => {
  const bench = new LocalBench()
  bench.claim = async () => 'duplicate'
  t.like((await bench.finish(bench.run({ repeatable: false }))).refusal, { code: 'duplicate', verdict: 'may-have-run' })
  bench.claim = async () => { throw new Error('the store is down') }
  t.like((await bench.finish(bench.run({ repeatable: false }))).refusal, { code: 'claim-unavailable', verdict: 'not-run', claimed: true })
  bench.claim = async () => 'claimed'
  t.deepEqual((await bench.finish(bench.run({ repeatable: false }))).events, ['accepted', 'head', 'chunk', 'end'])
  t.is(bench.targets[0]!.history.length, 1)
  t.deepEqual(bench.held, [])
})

test('a request whose claim may have been written is not refused as unclaimed while it waits again', async t => {
  const bench = new LocalBench()
  bench.claim = async () => {
    bench.placements.close()
    return 'unavailable'
  }
  t.like((await bench.finish(bench.run({ repeatable: false }))).refusal, { code: 'draining', verdict: 'not-run', claimed: true })
})

test('a request that must not be repeated is not refused as unclaimed after its claim', async t => {
  const bench = new LocalBench()
  failStart({ type: 'unreachable' })(bench)
  t.like((await bench.finish(bench.run({ repeatable: false }))).refusal, { verdict: 'not-run', claimed: true, retryable: true })
})

test('a cancelled request is reported as not run only if it was not sent, at each stage', async t => {
  const cancel = new RefusalError('cancelled', { code: 'cancelled', verdict: 'may-have-run' })
  const bench = new LocalBench()
  const running = new AbortController()
  const runs = [bench.run({ payload: { runMs: 5_000 } }, running.signal), bench.run({ payload: { runMs: 5_000 } })]
  const waiting = new AbortController()
  const queued = bench.run(RUN, waiting.signal)
  await bench.clock.settle()
  t.is(bench.placements.length, 1)
  waiting.abort(cancel)
  t.like((await queued).refusal, { code: 'cancelled', verdict: 'not-run' })
  running.abort(cancel)
  t.like((await bench.finish(runs[0]!)).refusal, { verdict: 'may-have-run', retryable: false })
  const claiming = new AbortController()
  bench.claim = async () => {
    claiming.abort(cancel)
    return 'claimed'
  }
  t.like((await bench.finish(bench.run({ repeatable: false }, claiming.signal))).refusal, { code: 'cancelled', verdict: 'not-run', claimed: true })
  await bench.finish(runs[1]!)
  await bench.clock.advance(1_000)
  t.deepEqual(bench.held, [])
})

test('a wave of cancellations does not take a target out of use', async t => {
  const bench = new LocalBench()
  for (let count = 0; count < 10; count++) {
    const abort = new AbortController()
    const events = bench.scheduler.run(bench.createWork(RUN, abort.signal))[Symbol.asyncIterator]()
    await events.next()
    abort.abort()
    await t.throwsAsync(async () => await events.next(), { instanceOf: RefusalError })
  }
  t.false(bench.breaker.isOpen('r-1'))
})

test('preempted work is told from failed work, does not count against the target, and keeps nothing', async t => {
  const bench = new LocalBench()
  const run = bench.run({ kind: 'batch', size: bench.targets[0]!.info.capacity, payload: { runMs: 60_000 } })
  await bench.clock.advance(100)
  await bench.tracker.checkpoint('f1.1')
  t.like((await bench.finish(run)).refusal, { code: 'preempted', verdict: 'ran', retryable: true })
  t.deepEqual(bench.held, [])
})

test('preempted work is not taken for failed when the target\'s confirmation is lost, and a later failure is not taken for preempted', async t => {
  const bench = new LocalBench()
  const request = { kind: 'batch' as const, payload: { runMs: 1_000, fail: 'broken' } }
  const preempted = bench.run(request)
  await bench.clock.advance(100)
  bench.client.chooseFault = call => call.method === 'command' ? { type: 'loseAnswer' } : undefined
  await t.throwsAsync(bench.tracker.checkpoint('f1.1'))
  t.like((await bench.finish(preempted)).refusal, { code: 'preempted', verdict: 'ran', retryable: true })
  const failed = bench.run(request)
  await bench.clock.advance(100)
  bench.client.chooseFault = call => call.method === 'command' ? { type: 'unreachable' } : undefined
  await t.throwsAsync(bench.tracker.checkpoint('f2.1'))
  t.like((await bench.finish(failed)).refusal, { code: 'target-failed', verdict: 'ran' })
})

test('a mark of a checkpoint does not outlive its task', async t => {
  const bench = new LocalBench()
  const run = bench.run({ kind: 'batch', payload: { runMs: 1_000 } })
  await bench.clock.advance(100)
  bench.client.chooseFault = call => call.method === 'command' ? { type: 'loseCall' } : undefined
  await t.throwsAsync(bench.tracker.checkpoint('f1.1'))
  t.deepEqual((await bench.finish(run)).events, ['accepted', 'head', 'chunk', 'end'])
  t.false(bench.tracker.takeCheckpointed('f1.1'))
})

test('an answer for another task does not keep its connection', async t => {
  const bench = new LocalBench()
  let closed = false
  const start = bench.client.start.bind(bench.client)
  bench.client.start = async (...call) => {
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
  await bench.finish(bench.run())
  t.true(closed)
})
