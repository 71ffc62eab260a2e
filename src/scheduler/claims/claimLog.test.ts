import test from 'ava'
import fc from 'fast-check'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { SeededRandom } from '../../adapters/random/seededRandom.ts'
import type { Clock } from '../../ports/clock.ts'
import { FakeStore } from '../testing/fakeStore.ts'
import { InstanceFaults } from '../testing/instanceFaults.ts'
import { ClaimClient } from './claimClient.ts'
import { ClaimLog } from './claimLog.ts'
import { CLAIM_RETENTION_MS } from './claimSegment.ts'

const SEED = 20_261_204
const RUNS = Number(process.env.RUNS ?? 150)
const WRITERS = 3

/** A long holder, so that a few claims fill a segment. */
const LONG_HOLDER = 'h'.repeat(5_000)

function createWriter (store: FakeStore, clock: ManualClock, seed: number): { readonly log: ClaimLog, readonly faults: InstanceFaults } {
  const faults = new InstanceFaults(new SeededRandom(seed))
  const pausable: Clock = {
    monotonicMs: () => clock.monotonicMs(),
    wallMs: () => clock.wallMs(),
    sleep: async (durationMs, signal) => {
      await clock.sleep(durationMs, signal)
      await faults.waitWhilePaused()
    }
  }
  return { faults, log: new ClaimLog({ store: store.connect(faults, pausable), clock: pausable }) }
}

const action = fc.record({
  type: fc.constantFrom('claim', 'claim', 'fill', 'fill', 'pause', 'resume', 'faulty', 'calm', 'longWait'),
  writer: fc.nat(WRITERS - 1),
  identity: fc.nat(3),
  waitMs: fc.nat(400)
})

test('two holders never claim the same identity, even if the store fails and writers pause', async t => {
  let claimed = 0
  await fc.assert(fc.asyncProperty(fc.array(action, { minLength: 10, maxLength: 60 }), async actions => {
    const clock = new ManualClock()
    const store = new FakeStore()
    const writers = Array.from({ length: WRITERS }, (_, index) => createWriter(store, clock, index))
    const claims = new Map<string, Array<{ readonly holder: string, readonly fromMs: number, readonly atMs: number }>>()
    let holders = 0
    const claim = (writer: number, identity: string, holder: string): void => {
      const fromMs = clock.monotonicMs()
      writers[writer]?.log.claim([{ identity, holder }]).then(([outcome]) => {
        if (outcome !== 'claimed') return
        claimed++
        claims.set(identity, [...claims.get(identity) ?? [], { holder, fromMs, atMs: clock.monotonicMs() }])
      }, () => {})
    }
    await Promise.all(writers.map(writer => writer.log.start()))
    for (const { type, writer, identity, waitMs } of actions) {
      const faults = writers[writer]?.faults
      if (type === 'claim') claim(writer, `00${identity}`, `holder-${holders++}`)
      else if (type === 'fill') for (let count = 0; count < 3; count++) claim(writer, `00-${holders}`, LONG_HOLDER + holders++)
      else if (type === 'pause') faults?.pause()
      else if (type === 'resume') faults?.resume()
      else if (type === 'faulty') faults?.setRates(0.3, 0.05)
      else if (type === 'calm') faults?.setRates(0, 0)
      await clock.advance(type === 'longWait' ? CLAIM_RETENTION_MS / 2 + 1 : waitMs)
    }
    for (const { faults } of writers) {
      faults.setRates(0, 0)
      faults.resume()
    }
    await clock.advance(5_000)
    const before = claimed
    claim(0, '00-last', 'last')
    await clock.advance(2_000)
    await Promise.all(writers.map(writer => writer.log.stop()))
    if (claimed === before) throw new Error('an identity could not be claimed after the faults had ended')
    for (const [identity, all] of claims) {
      const twice = all.some(first => all.some(second => first.holder !== second.holder &&
        second.atMs >= first.atMs && second.atMs - first.fromMs < CLAIM_RETENTION_MS))
      if (twice) throw new Error(`${identity} was claimed by two holders: ${JSON.stringify(all)}`)
    }
  }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true, endOnFailure: true })
  t.log(`${claimed} identities claimed`)
  t.true(claimed > RUNS)
})

test('claims are written in batches, and a repeated claim by the same holder is not refused', async t => {
  const clock = new ManualClock()
  const store = new FakeStore()
  const { log } = createWriter(store, clock, 1)
  const outcomes = log.claim(Array.from({ length: 100 }, (_, index) => ({ identity: `00${index}`, holder: 'first' })))
  await clock.advance(1_000)
  t.true((await outcomes).every(outcome => outcome === 'claimed'))
  t.is(store.read('claim/0/head')?.version, 4)
  t.is(log.storeCalls, 6, 'expected two reads and four writes')
  const again = log.claim([{ identity: '001', holder: 'first' }, { identity: '001', holder: 'second' }])
  await clock.advance(1_000)
  t.deepEqual(await again, ['claimed', 'duplicate'])
  await log.stop()
})

test('an identity can be claimed while the responsible instance hangs, and claiming ends at the deadline while the store is down', async t => {
  const clock = new ManualClock()
  const store = new FakeStore()
  const { log, faults } = createWriter(store, clock, 1)
  const self = { name: 'howrah-1', incarnation: 'a' }
  const client = new ClaimClient({
    claimLog: log,
    peerClient: { claim: () => new Promise(() => {}) },
    clock,
    self: () => self,
    liveInstances: () => [{ ref: { name: 'howrah-2', incarnation: 'b' }, address: 'howrah-2' }]
  })
  const outcome = client.claim('weavers', 'order-1', 'first', 10_000)
  await clock.advance(5_000)
  t.is(await outcome, 'claimed')
  faults.setDown('store', true)
  const refused = client.claim('weavers', 'order-2', 'first', 20_000)
  await clock.advance(20_000)
  t.is(await refused, 'unavailable')
  await log.stop()
})
