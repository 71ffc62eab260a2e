import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import type { CoordinatorPeer } from '../ports/coordinatorPeer.ts'
import type { KnownPeer } from './peerDirectory.ts'
import { PeersWithStore } from './peersWithStore.ts'

const PEERS = 51
const ROUND_TRIP_MS = 5
const CALL_TIMEOUT_MS = 1_000

/** Peers whose calls are counted; all have reported that they reach the store. */
class Peers {
  readonly clock = new ManualClock()
  readonly questions: string[] = []
  readonly releases: string[] = []
  readonly withStore = new Set<string>()
  /** Whether the store leaves the calls of the others unanswered, instead of refusing them. */
  silent = false
  readonly search = new PeersWithStore({
    clock: this.clock,
    candidates: () => Array.from({ length: PEERS }, (_, number): KnownPeer => {
      const address = `peer-${number}`
      return { address, instance: address, lastSeenAtMs: 0, report: { instance: address, address, region: 'attica', processors: 1, peersDigest: '', reachesStore: true } }
    }),
    connect: address => ({
      reachesStore: async () => await this.#answer(address, this.questions),
      release: async () => await this.#answer(address, this.releases)
    } as Partial<CoordinatorPeer> as CoordinatorPeer)
  })

  /** Returns the result of a search, and the time that it took. */
  async time (search: Promise<boolean>): Promise<{ readonly reached: boolean, readonly ms: number }> {
    const startMs = this.clock.monotonicMs()
    let hasEnded = (): boolean => false
    const result = search.then(reached => {
      hasEnded = () => true
      return { reached, ms: this.clock.monotonicMs() - startMs }
    })
    while (!hasEnded()) await this.clock.advance(5)
    return await result
  }

  async #answer (address: string, calls: string[]): Promise<boolean> {
    calls.push(address)
    const reached = this.withStore.has(address)
    await this.clock.sleep(this.silent && !reached ? CALL_TIMEOUT_MS : ROUND_TRIP_MS)
    if (this.silent && !reached) throw new Error('no answer')
    return reached
  }
}

// Guards against a coordinator that keeps its role without the store because it happens to ask none of the few peers that have it.
test('the only one of 51 peers that reaches the store is found in one search, with one question to each, and releases the lease', async t => {
  for (const silent of [false, true]) {
    const peers = new Peers()
    peers.silent = silent
    peers.withStore.add('peer-17')
    const { reached, ms } = await peers.time(peers.search.reachesStore())
    t.true(reached)
    t.true(ms <= (silent ? 310 : 20), `${ms} ms`)
    t.is(new Set(peers.questions).size, peers.questions.length)
    t.deepEqual(await peers.time(peers.search.release(1)), { reached: true, ms: ROUND_TRIP_MS })
    t.true(peers.releases.length <= 8 && peers.releases.includes('peer-17'), peers.releases.join(' '))
  }
})

test('a peer that loses the store after its answer does not count as having released the lease', async t => {
  const peers = new Peers()
  peers.withStore.add('peer-17')
  t.true((await peers.time(peers.search.reachesStore())).reached)
  peers.withStore.clear()
  t.false((await peers.time(peers.search.release(1))).reached)
})

// Guards against a load on the peers that grows with the number of retries, and against renewals that wait for the peers.
test('while the store serves nobody, a search ends within 1 s, and repeated ones do not ask every peer each time', async t => {
  for (const silent of [false, true]) {
    const peers = new Peers()
    peers.silent = silent
    let searches = 0
    for (const untilMs = peers.clock.monotonicMs() + 3_000; peers.clock.monotonicMs() < untilMs; searches += 1) {
      const { reached, ms } = await peers.time(peers.search.reachesStore())
      t.false(reached)
      t.true(ms <= 1_000, `${ms} ms`)
      await peers.clock.advance(150)
    }
    const bound = searches * 8 + PEERS * 4
    t.true(peers.questions.length <= bound, `${peers.questions.length} questions in ${searches} searches`)
    peers.withStore.add('peer-17')
    await peers.clock.advance(1_000)
    t.true((await peers.time(peers.search.reachesStore())).reached, 'its earlier answer does not keep a peer from being asked')
  }
})
