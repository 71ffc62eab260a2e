import test from 'ava'
import { SystemClock } from '../adapters/clock/systemClock.ts'
import { createLogger } from '../observability/logger.ts'
import { COORDINATOR_KEY, Election } from './election.ts'
import type { ElectionListener } from './election.ts'
import { MemoryTransactionalStore } from './testing/memoryTransactionalStore.ts'

function createElection (store: MemoryTransactionalStore, listener: ElectionListener): Election {
  return new Election({
    store,
    clock: new SystemClock(),
    logger: createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'howrah', secrets: [] }),
    instance: 'entry-1',
    address: 'entry-1:1',
    listener
  })
}

test('a coordinator that was replaced, or does not reach the store, does not take its office for confirmed', async t => {
  const store = new MemoryTransactionalStore()
  let resolveElected: () => void = () => {}
  const elected = new Promise<void>(resolve => { resolveElected = resolve })
  const election = createElection(store, {
    onElected: () => resolveElected(), onLost: () => {}, onChanged: () => {}, peerReachesStore: async () => false, releaseThroughPeers: async () => false
  })
  t.false(await election.confirm())
  await election.start()
  await elected
  t.true(await election.confirm())
  store.refusing = true
  t.false(await election.confirm())
  store.refusing = false
  await store.commit({ conditions: [], writes: [{ key: COORDINATOR_KEY, value: JSON.stringify({ instance: 'entry-2', address: 'entry-2:1', lease: 99 }) }], removes: [] })
  t.false(await election.confirm())
  await election.stop()
})

/** A coordinator whose store refuses everything, until the peers are asked whether they reach it. */
async function loseStore (whenPeersAreAsked: (store: MemoryTransactionalStore) => void): Promise<{ readonly releases: number, readonly lost: readonly string[] }> {
  const store = new MemoryTransactionalStore()
  const lost: string[] = []
  let releases = 0
  let resolveAsked: () => void = () => {}
  const asked = new Promise<void>(resolve => { resolveAsked = resolve })
  const election = createElection(store, {
    onElected: () => { store.refusing = true },
    onLost: reason => lost.push(reason),
    onChanged: () => {},
    peerReachesStore: async () => {
      whenPeersAreAsked(store)
      setTimeout(resolveAsked, 50)
      return true
    },
    releaseThroughPeers: async () => {
      releases += 1
      return true
    }
  })
  await election.start()
  await asked
  const lostBeforeStop = [...lost]
  store.refusing = false
  await election.stop()
  return { releases, lost: lostBeforeStop }
}

test('end of a store outage: the office does not change because the store answers another instance first', async t => {
  const { releases, lost } = await loseStore(store => { store.refusing = false })
  t.is(releases, 0)
  t.deepEqual(lost, [])
})

test('a coordinator that alone does not reach the store hands over', async t => {
  const { releases, lost } = await loseStore(() => {})
  t.is(releases, 1)
  t.deepEqual(lost, ['the store serves other instances only'])
})
