import test from 'ava'
import { MemoryPeerNetwork } from '../../adapters/peer/memoryPeerNetwork.ts'
import type { PeerFault } from '../../adapters/peer/memoryPeerNetwork.ts'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { SeededRandom } from '../../adapters/random/seededRandom.ts'
import { RefusalError } from '../../model/errors.ts'
import type { RefusalDetails } from '../../model/errors.ts'
import type { InstanceDigest } from '../../model/digest.ts'
import { NO_RESOURCES, resources } from '../../model/resources.ts'
import type { ForwardedRequest, PeerHandler, RunEvent } from '../../ports/peerClient.ts'
import { RetryBudget } from '../../scheduler/retries/retryBudget.ts'
import { decideRetry } from '../../scheduler/retries/retryPolicy.ts'
import { chooseInstance, CrossRegionBudget, HOP_ACROSS_REGIONS } from '../../scheduler/routing/router.ts'
import type { Route } from '../../scheduler/routing/router.ts'
import { Dispatcher } from './dispatcher.ts'

type Attempt = RefusalDetails | 'complete' | 'broken' | 'cut'

const PEER: InstanceDigest = {
  ref: { name: 'entry-2', incarnation: 'b' },
  dataCentre: 'howrah',
  region: 'Kolkata',
  peerAddress: 'entry-2:1',
  state: 'serving',
  configurationVersion: 1,
  heardAge: 0,
  free: NO_RESOURCES,
  largestFree: NO_RESOURCES,
  queued: 0,
  teams: []
}

class DispatcherHarness {
  readonly clock = new ManualClock()
  readonly network = new MemoryPeerNetwork(this.clock)
  readonly budget = new RetryBudget()
  readonly attemptIds: string[] = []
  readonly destinations: string[] = []
  /** Chooses the destination of each attempt; this instance by default. */
  route: (excluded: ReadonlySet<string>) => Route = () => ({ destination: 'local' })
  readonly #outcomes: Attempt[]

  constructor (...outcomes: readonly Attempt[]) {
    this.#outcomes = [...outcomes]
    this.network.join(PEER.peerAddress, { run: (forwarded: ForwardedRequest) => this.#runForwarded(forwarded) } as unknown as PeerHandler)
  }

  async run ({ repeatable = true, hops = 0, signal = new AbortController().signal, deadlineAt = 60_000 } = {}): Promise<{ readonly events: readonly string[], readonly refusal?: RefusalError }> {
    const random = new SeededRandom(7)
    const dispatcher = new Dispatcher({
      selfName: 'entry-1',
      clock: this.clock,
      peerClient: this.network.createClient('entry-1:1'),
      runLocally: work => this.#runLocally(work.attemptId),
      chooseRoute: ({ excluded }) => this.route(excluded),
      decideRetry: question => decideRetry(question, this.budget, random),
      configurationVersion: () => 1,
      onRetry: () => {},
      onCrossRegionBytes: () => {}
    })
    const request = { id: 'q', kind: 'urgent' as const, name: 'n', size: resources({ slots: 1 }), tasks: 1, deadlineMs: 60_000, repeatable, payload: null }
    const events: string[] = []
    const run = (async () => {
      try {
        for await (const event of dispatcher.run({ admitted: { team: 'cooks', request, deadlineAt }, attemptIdPrefix: 'f', hops, signal, onStateChange: () => {} })) events.push(event.type)
        return { events }
      } catch (error) {
        return { events, refusal: error as RefusalError }
      }
    })()
    await this.clock.advance(30_000)
    return await run
  }

  async * #runLocally (attemptId: string): AsyncIterable<RunEvent> {
    this.destinations.push('local')
    this.attemptIds.push(attemptId)
    const outcome = this.#outcomes.shift() ?? 'complete'
    if (typeof outcome === 'object') throw new RefusalError('refused', outcome)
    if (outcome === 'broken') throw new Error('a fault')
    yield { type: 'head', target: 'r-1', contentType: 'text/plain' }
    if (outcome === 'cut') throw new RefusalError('cut', { code: 'answer-incomplete', verdict: 'ran', retryable: true })
    yield { type: 'end', byteCount: 0 }
  }

  async * #runForwarded ({ attemptId }: ForwardedRequest): AsyncIterable<RunEvent> {
    this.destinations.pop()
    try {
      yield * this.#runLocally(attemptId)
    } catch (error) {
      if (!(error instanceof RefusalError)) return
      const { code, message, verdict, claimed, retryable } = error
      yield { type: 'refused', code, message, verdict, claimed, retryable }
    } finally {
      this.destinations[this.destinations.length - 1] = 'peer'
    }
  }
}

const notRun: RefusalDetails = { code: 'target-failed', verdict: 'not-run', retryable: true }
const mayHaveRun: RefusalDetails = { code: 'target-failed', verdict: 'may-have-run' }
const ended: RefusalDetails = { code: 'target-failed', verdict: 'ran', retryable: true }

test('a non-repeatable request is retried only if it has certainly not run', async t => {
  const again = new DispatcherHarness(notRun)
  t.deepEqual((await again.run({ repeatable: false })).events, ['head', 'end'])
  t.deepEqual(again.attemptIds, ['f.1', 'f.2'])
  for (const outcome of [mayHaveRun, ended, 'broken', 'cut'] as const) {
    const harness = new DispatcherHarness(outcome)
    const { refusal } = await harness.run({ repeatable: false })
    t.not(refusal?.verdict, 'not-run')
    t.deepEqual(harness.attemptIds, ['f.1'], JSON.stringify(outcome))
  }
})

test('a repeatable request is not retried while an earlier attempt may still run, nor after the head of its answer', async t => {
  for (const [outcome, sends] of [[ended, 2], [mayHaveRun, 1], ['broken', 1], ['cut', 1]] as const) {
    const harness = new DispatcherHarness(outcome)
    await harness.run()
    t.is(harness.attemptIds.length, sends, JSON.stringify(outcome))
  }
})

test('the verdict combines all attempts, and the claim of an earlier attempt is preserved', async t => {
  const harness = new DispatcherHarness(ended, { ...notRun, claimed: true }, { code: 'deadline', verdict: 'not-run' })
  t.like((await harness.run()).refusal, { code: 'deadline', verdict: 'ran', claimed: true })
})

test('retries stay within the team\'s retry budget, and rerouting consumes none of it and ends at the deadline', async t => {
  const harness = new DispatcherHarness()
  for (let count = 0; count < 10; count++) t.true(harness.budget.tryTake('cooks'))
  const spent = new DispatcherHarness(notRun)
  Object.assign(spent, { budget: harness.budget })
  t.like((await spent.run()).refusal, { verdict: 'not-run' })
  const rerouted = new DispatcherHarness(...Array.from({ length: 2_000 }, (): RefusalDetails => ({ code: 'draining', verdict: 'not-run', retryable: true })))
  Object.assign(rerouted, { budget: harness.budget })
  t.like((await rerouted.run({ deadlineAt: 10_000 })).refusal, { code: 'draining', verdict: 'not-run' })
  // Urgent work is rerouted after 40 ms at most, so only the deadline of 10 s bounds the attempts.
  t.true(rerouted.attemptIds.length > 8 && rerouted.attemptIds.length < 300, `${rerouted.attemptIds.length} attempts`)
})

const peerFaults: ReadonlyArray<readonly [PeerFault['type'], PeerFault, string, number]> = [
  ['unreachable', { type: 'unreachable' }, 'none', 1],
  ['loseAnswer', { type: 'loseAnswer' }, 'may-have-run', 1]
]

for (const [name, fault, verdict, sends] of peerFaults) {
  test(`a forwarded request is retried only if the peer has certainly not received it: ${name}`, async t => {
    const harness = new DispatcherHarness()
    harness.network.chooseFault = () => fault
    harness.route = excluded => excluded.has('entry-2') ? { destination: 'local' } : { destination: 'peer', instance: PEER, acrossRegions: false, hops: 1 }
    const { refusal, events } = await harness.run({ repeatable: false })
    t.is(refusal?.verdict ?? 'none', verdict)
    t.is(harness.attemptIds.length, sends)
    if (verdict === 'none') t.deepEqual(events, ['head', 'end'])
  })
}

test('an instance that received a forwarded request leaves retries to the forwarding instance', async t => {
  const harness = new DispatcherHarness(notRun)
  t.like((await harness.run({ hops: 1 })).refusal, { verdict: 'not-run', retryable: true })
  t.is(harness.attemptIds.length, 1)
})

test('a request cancelled between two attempts is not retried and keeps the verdict of the first attempt', async t => {
  const abort = new AbortController()
  const harness = new DispatcherHarness(ended)
  harness.clock.sleep(0).then(() => abort.abort(new Error('the caller left')), () => {})
  t.like((await harness.run({ signal: abort.signal })).refusal, { code: 'cancelled', verdict: 'ran' })
  t.is(harness.attemptIds.length, 1)
})

// Guards against a request that full instances of two regions, each with an outdated digest of the other, exchange without end.
test('a request that instances of two regions refuse in turn goes to each once before a pause, and ends at its deadline as not-run', async t => {
  const noCapacity: RefusalDetails = { code: 'no-capacity', verdict: 'not-run', retryable: true }
  const outcomes = Array.from({ length: 2_000 }, () => noCapacity)
  const size = resources({ slots: 1 })
  const peer: InstanceDigest = { ...PEER, region: 'Mumbai', dataCentre: 'matigara', free: size, largestFree: size }
  const here = { ref: { name: 'entry-1', incarnation: 'a' }, dataCentre: 'howrah', region: 'Kolkata', fitsNow: false, waitMs: 0 }
  const createHarness = (hops: number): { readonly harness: DispatcherHarness, readonly routes: Array<Route['destination']> } => {
    const harness = new DispatcherHarness(...outcomes)
    const budget = new CrossRegionBudget(harness.clock, () => ({ bytesPerSecond: 1e6, burstBytes: 1e6 }))
    const context = { random: new SeededRandom(7), budget, crossRegionRoundTripMs: 40, crossRegionWaitMs: 500 }
    const routes: Array<Route['destination']> = []
    harness.route = excluded => {
      const request = { team: 'cooks', size, tasks: 1, bytes: 100, hops, excluded }
      const route = chooseInstance(request, { ...here, mayWait: !excluded.has('entry-1') }, [peer], context)
      routes.push(route.destination)
      return route
    }
    return { harness, routes }
  }

  const { harness, routes } = createHarness(0)
  t.like((await harness.run({ deadlineAt: 10_000 })).refusal, { code: 'no-capacity', verdict: 'not-run' })
  t.true(routes.length < 300, `${routes.length} routes`)
  t.deepEqual(routes, routes.map((_, index) => (['local', 'peer', 'none'] as const)[index % 3]))

  const receiver = createHarness(HOP_ACROSS_REGIONS)
  t.like((await receiver.harness.run({ hops: HOP_ACROSS_REGIONS })).refusal, { code: 'no-capacity', verdict: 'not-run', retryable: true })
  t.deepEqual(receiver.routes, ['local'], 'the receiver returns the request instead of sending it on')
})
