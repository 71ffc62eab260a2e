import { setImmediate } from 'node:timers/promises'
import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { SystemClock } from '../../adapters/clock/systemClock.ts'
import { createLogger } from '../../observability/logger.ts'
import type { TimerClock } from '../../ports/clock.ts'
import { COORDINATOR_KEY, Election } from './election.ts'
import type { ElectionListener } from './election.ts'
import { MemoryTransactionalStore } from '../testing/memoryTransactionalStore.ts'

function createElection (store: MemoryTransactionalStore, listener: ElectionListener, clock: TimerClock = new SystemClock()): Election {
  return new Election({
    store,
    clock,
    logger: createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'howrah', secrets: [] }),
    instance: 'entry-1',
    address: 'entry-1:1',
    listener
  })
}

test('a coordinator that was replaced or cannot reach the store does not confirm its leadership', async t => {
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

// Guards against as many reads of the store as clients ask for jobs that do not exist.
test('confirmations share a read that began after each of their calls', async t => {
  const store = new MemoryTransactionalStore()
  let resolveElected: () => void = () => {}
  const elected = new Promise<void>(resolve => { resolveElected = resolve })
  const election = createElection(store, {
    onElected: () => resolveElected(), onLost: () => {}, onChanged: () => {}, peerReachesStore: async () => false, releaseThroughPeers: async () => false
  })
  await election.start()
  await elected
  const answers: (() => void)[] = []
  const get = store.get.bind(store)
  store.get = async key => {
    // The store reads when the call arrives; only its answer is late.
    const read = await get(key)
    await new Promise<void>(resolve => answers.push(resolve))
    return read
  }
  const awaitRead = async (count: number): Promise<void> => { while (answers.length < count) await setImmediate() }
  const confirm = (): Promise<readonly boolean[]> => Promise.all(Array.from({ length: 50 }, async () => await election.confirm()))

  const first = election.confirm()
  await awaitRead(1)
  await store.commit({ conditions: [], writes: [{ key: COORDINATOR_KEY, value: JSON.stringify({ instance: 'entry-2', address: 'entry-2:1', lease: 99 }) }], removes: [] })
  const during = confirm()
  answers[0]?.()
  t.true(await first, 'its read began before the election of another instance')
  await awaitRead(2)
  for (const answer of answers) answer()
  t.deepEqual([...new Set(await during)], [false], 'the first read began before their calls')
  t.true(answers.length <= 5, `${answers.length} reads for 51 calls`)
  store.refusing = true
  t.deepEqual([...new Set(await confirm())], [false], 'a failed read refuses its callers')
  await election.stop()
})

// Guards against changes of coordinator one after another: answers of the store to the commits of a term come after its end.
test('a failure of an earlier term does not end the next term of the same instance', async t => {
  const store = new MemoryTransactionalStore()
  const fences: number[] = []
  const lost: string[] = []
  let resolveElected: () => void = () => {}
  const election = createElection(store, {
    onElected: ({ fence }) => {
      fences.push(fence)
      resolveElected()
    },
    onLost: reason => lost.push(reason),
    onChanged: () => {},
    peerReachesStore: async () => false,
    releaseThroughPeers: async () => false
  })
  const awaitElected = (): Promise<void> => new Promise(resolve => { resolveElected = resolve })
  const first = awaitElected()
  await election.start()
  await first
  const second = awaitElected()
  await election.resign('the log could not be written', fences[0])
  await second
  await election.resign('the log could not be written', fences[0])
  t.deepEqual(lost, ['the log could not be written'])
  t.true(election.hasAuthority())
  await election.stop()
})

/** Runs a coordinator whose store refuses all calls, until the peers are asked whether they reach the store. */
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
      setTimeout(resolveAsked, 400)
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

test('end of a store outage: leadership does not change because the store answers another instance first', async t => {
  const { releases, lost } = await loseStore(store => { store.refusing = false })
  t.is(releases, 0)
  t.deepEqual(lost, [])
})

test('a coordinator that is the only instance unable to reach the store hands over', async t => {
  const { releases, lost } = await loseStore(() => {})
  t.is(releases, 1)
  t.deepEqual(lost, ['the store serves other instances only'])
})

// Guards against a cluster without a coordinator for as long as the lease lasts: stores may grant a longer one than was requested.
test('a coordinator whose term has ended without the store asks the other instances until one of them ends its lease', async t => {
  const clock = new ManualClock()
  const store = new MemoryTransactionalStore()
  const lost: string[] = []
  let peersAnswer = false
  let questions = 0
  let releases = 0
  const election = createElection(store, {
    onElected: () => {},
    onLost: reason => lost.push(reason),
    onChanged: () => {},
    peerReachesStore: async () => peersAnswer,
    releaseThroughPeers: async () => {
      questions += 1
      if (peersAnswer) releases += 1
      return peersAnswer
    }
  }, clock)
  await election.start()
  await clock.advance(500)
  t.true(election.hasAuthority())
  store.refusing = true
  await clock.advance(10_000)
  t.deepEqual(lost, ['the lease could not be renewed'])
  t.true(questions <= 6, `${questions} questions in about 5 s`)
  peersAnswer = true
  await clock.advance(2_000)
  t.is(releases, 1)
  await clock.advance(5_000)
  t.is(releases, 1, 'a lease that was ended is not ended again')
  const stopped = election.stop()
  await clock.advance(5_000)
  await stopped
})

test('a suspended coordinator gains no authority from a renewal sent before its suspension', async t => {
  const clock = new ManualClock()
  const store = new MemoryTransactionalStore()
  const election = createElection(store, {
    onElected: () => {}, onLost: () => {}, onChanged: () => {}, peerReachesStore: async () => false, releaseThroughPeers: async () => false
  }, clock)
  let answer: () => void = () => {}
  store.renewLease = async () => {
    await new Promise<void>(resolve => { answer = resolve })
    return true
  }
  await election.start()
  await clock.advance(500)
  t.true(election.hasAuthority())
  clock.suspend(5_000)
  answer()
  await clock.settle()
  t.false(election.hasAuthority(), 'its lease may have ended while it was suspended')
  await clock.advance(400)
  answer()
  await clock.settle()
  t.true(election.hasAuthority(), 'the store has renewed it since')
  const stopped = election.stop()
  await clock.advance(5_000)
  await stopped
})

test('a coordinator whom alone the store refuses does not wait for its next regular renewal to hand over', async t => {
  const clock = new ManualClock()
  const store = new MemoryTransactionalStore()
  const lost: string[] = []
  const election = createElection(store, {
    onElected: () => {}, onLost: reason => lost.push(reason), onChanged: () => {}, peerReachesStore: async () => true, releaseThroughPeers: async () => true
  }, clock)
  await election.start()
  await clock.advance(10)
  t.true(election.hasAuthority())
  store.refusing = true
  election.renewNow()
  await clock.advance(0)
  t.true(election.storeFails, 'the failed commit has started a renewal')
  election.renewNow()
  await clock.advance(160)
  t.deepEqual(lost, ['the store serves other instances only'])
  store.refusing = false
  const stopped = election.stop()
  await clock.advance(5_000)
  await stopped
})

/** Runs a coordinator whose calls to the store are not answered from 500 ms on, for `cutMs`; others reach the store. */
async function cutFromStore (cutMs: number, answerMs: number): Promise<{ readonly lostAfterMs: number | undefined, readonly questions: number }> {
  const clock = new ManualClock()
  const store = new MemoryTransactionalStore()
  const cutAtMs = clock.monotonicMs() + 500
  const isCut = (): boolean => clock.monotonicMs() >= cutAtMs && clock.monotonicMs() < cutAtMs + cutMs
  let lostAtMs: number | undefined
  let questions = 0
  const election = createElection(store, {
    onElected: () => {},
    onLost: () => { lostAtMs ??= clock.monotonicMs() },
    onChanged: () => {},
    peerReachesStore: async () => {
      questions += 1
      await clock.sleep(40)
      return true
    },
    releaseThroughPeers: async () => true
  }, clock)
  const { renewLease } = store
  store.renewLease = async lease => {
    await clock.sleep(isCut() ? 1e9 : answerMs)
    return await renewLease.call(store, lease)
  }
  await election.start()
  await clock.advance(3_000)
  const result = { lostAfterMs: lostAtMs === undefined ? undefined : lostAtMs - cutAtMs, questions }
  const stopped = election.stop()
  await clock.advance(5_000)
  await stopped
  return result
}

test('a coordinator whose calls alone the store leaves unanswered hands over before its lease would end', async t => {
  const { lostAfterMs } = await cutFromStore(10_000, 4)
  // The lease lasts 1.4 s from the last renewal, which may have been sent 0.3 s before the cut.
  t.log(`handed over after ${lostAfterMs} ms`)
  t.true(lostAfterMs !== undefined && lostAfterMs < 1_100, `${lostAfterMs} ms`)
})

test('a slow store, or one lost renewal, does not change the coordinator', async t => {
  t.is((await cutFromStore(0, 210)).lostAfterMs, undefined)
  t.true((await cutFromStore(0, 210)).questions <= 1, 'the usual response time is learned')
  t.is((await cutFromStore(300, 4)).lostAfterMs, undefined)
})

test('the report of a newer election ends the term of a coordinator without the store, but not of one that the store confirms', async t => {
  const clock = new ManualClock()
  const store = new MemoryTransactionalStore()
  const lost: string[] = []
  const election = createElection(store, {
    onElected: () => {}, onLost: reason => lost.push(reason), onChanged: () => {}, peerReachesStore: async () => false, releaseThroughPeers: async () => false
  }, clock)
  await election.start()
  await clock.advance(500)
  const newer = { instance: 'entry-2', address: 'entry-2:1', fence: 1_000, lease: 99 }
  election.updateFromPeer(newer)
  await clock.advance(500)
  t.true(election.hasAuthority())
  t.deepEqual(lost, [])
  store.refusing = true
  await clock.advance(500)
  t.true(election.hasAuthority(), 'without the store, and without a successor')
  election.updateFromPeer(newer)
  t.false(election.hasAuthority())
  t.deepEqual(lost, ['another instance was elected'])
  t.deepEqual(election.coordinator, newer)
  store.refusing = false
  const stopped = election.stop()
  await clock.advance(5_000)
  await stopped
})

// Guards against a planned stop that takes its whole grace period because the store has fallen silent.
test('a stop does not wait for a read that the store leaves unanswered', async t => {
  const clock = new ManualClock()
  const store = new MemoryTransactionalStore()
  store.get = async () => await new Promise(() => {})
  const election = createElection(store, {
    onElected: () => {}, onLost: () => {}, onChanged: () => {}, peerReachesStore: async () => false, releaseThroughPeers: async () => false
  }, clock)
  await election.start()
  await clock.advance(100)
  let hasStopped = false
  election.stop().then(() => { hasStopped = true }, () => {})
  await clock.settle()
  t.true(hasStopped)
})

// Guards against an instance that acts for seconds beside its successor, which announces itself only once.
test('the report of a newer election that comes before the first failed renewal ends the term with that renewal', async t => {
  const clock = new ManualClock()
  const store = new MemoryTransactionalStore()
  const lost: string[] = []
  const election = createElection(store, {
    onElected: () => {}, onLost: reason => lost.push(reason), onChanged: () => {}, peerReachesStore: async () => false, releaseThroughPeers: async () => false
  }, clock)
  await election.start()
  await clock.advance(500)
  store.refusing = true
  election.updateFromPeer({ instance: 'entry-2', address: 'entry-2:1', fence: 1_000, lease: 99 })
  t.true(election.hasAuthority())
  await clock.advance(10)
  t.false(election.hasAuthority())
  t.deepEqual(lost, ['another instance was elected'])
  store.refusing = false
  const stopped = election.stop()
  await clock.advance(5_000)
  await stopped
})

// Guards against an instance that takes an election for its own which has ended, and gains authority without the store.
test('the late answer to a commit does not replace a newer election that was announced meanwhile', async t => {
  const clock = new ManualClock()
  const store = new MemoryTransactionalStore()
  const commit = store.commit.bind(store)
  const elected: number[] = []
  store.commit = async transaction => {
    const result = await commit(transaction)
    await clock.sleep(1_450)
    return result
  }
  const election = createElection(store, {
    onElected: ({ fence }) => elected.push(fence), onLost: () => {}, onChanged: () => {}, peerReachesStore: async () => false, releaseThroughPeers: async () => false
  }, clock)
  await election.start()
  await clock.advance(1_420)
  const newer = { instance: 'entry-2', address: 'entry-2:1', fence: 1_000, lease: 99 }
  election.updateFromPeer(newer)
  store.refusing = true
  await clock.advance(4_000)
  t.deepEqual(elected, [])
  t.deepEqual(election.coordinator, newer)
  store.refusing = false
  const stopped = election.stop()
  await clock.advance(5_000)
  await stopped
})

test('an instance that reads its ended election once, and can not end its lease, goes on asking the other instances', async t => {
  const clock = new ManualClock()
  const store = new MemoryTransactionalStore()
  let questions = 0
  const election = createElection(store, {
    onElected: () => {},
    onLost: () => {},
    onChanged: () => {},
    peerReachesStore: async () => false,
    releaseThroughPeers: async () => {
      questions += 1
      return false
    }
  }, clock)
  await election.start()
  await clock.advance(500)
  const { get, renewLease, endLease } = store
  const refuse = async (): Promise<never> => { throw new Error('refused') }
  Object.assign(store, { get: refuse, renewLease: refuse, endLease: refuse })
  await clock.advance(8_000)
  store.get = get
  await clock.advance(160)
  store.get = refuse
  questions = 0
  await clock.advance(5_000)
  t.true(questions >= 4 && questions <= 6, `${questions} questions in 5 s`)
  Object.assign(store, { get, renewLease, endLease })
  const stopped = election.stop()
  await clock.advance(5_000)
  await stopped
})
