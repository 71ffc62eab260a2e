import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { DesiredStateWatcher } from '../coordinator/desiredStateWatcher.ts'
import { segmentKey } from '../coordinator/log/recordLog.ts'
import { MemoryTransactionalStore } from '../coordinator/testing/memoryTransactionalStore.ts'
import type { DesiredState, TeamSettings } from '../jobs/desiredState.ts'
import { TEST_QUEUE } from '../jobs/testing/definitions.ts'
import { StoreUnavailableError } from '../model/errors.ts'
import { resources } from '../model/resources.ts'
import { createLogger } from '../observability/logger.ts'
import type { CoordinatorPeer, InstanceReport } from '../ports/coordinatorPeer.ts'
import type { JobTargetClient } from '../ports/jobTarget.ts'
import type { ListedTarget } from '../ports/targetDirectory.ts'
import type { TransactionalStore, WatchResult } from '../ports/transactionalStore.ts'
import type { CallerCall } from './callerCall.ts'
import { JobInstance } from './jobInstance.ts'

const PREFIX = 'operators/'
const KEY = 'operators/desired-state'
const WATCH_POLL_MS = 20
const FAR_INSTANCES = 51
const READ: CallerCall = { action: 'read', host: TEST_QUEUE.host, path: TEST_QUEUE.pathPrefix, key: 'k', definition: '', desiredStateVersion: 0 }
const TEAM: TeamSettings = { name: 'weavers', keys: ['k'], weight: 1, cap: resources({}) }

/** A store whose watches wait for changes; counts the bytes that leave the store's region. */
class RegionalStore extends MemoryTransactionalStore {
  readonly #clock: ManualClock
  /** Bytes of values read from each region. */
  readonly bytesRead = new Map<string, number>()
  /** Delay of reads of the desired state. */
  readDelayMs = 0
  /** Pages of the job log are not answered in time. */
  failsPages = false
  /** Whether leases that are not renewed end after the time for which they were granted. */
  expiresLeases = false
  /** Time at which each lease ends, and the time for which it was granted. */
  readonly #leaseTimes = new Map<number, { readonly untilMs: number, readonly grantedMs: number }>()

  constructor (clock: ManualClock) {
    super()
    this.#clock = clock
  }

  /** The store as instances of the region see it. */
  seenFrom (region: string, refuses: () => boolean): TransactionalStore {
    const count = (values: readonly (string | undefined)[]): void => {
      const bytes = values.reduce((sum, value) => sum + (value?.length ?? 0), 0)
      this.bytesRead.set(region, (this.bytesRead.get(region) ?? 0) + bytes)
    }
    const refuse = (): void => { if (refuses()) throw new StoreUnavailableError('refused') }
    return {
      get: async key => {
        refuse()
        if (key === KEY) await this.#clock.sleep(this.readDelayMs)
        const read = await this.get(key)
        count([read.item?.value])
        return read
      },
      watch: async (prefix, after, waitMs, signal) => {
        const result = await this.#awaitChanges(prefix, after, waitMs, signal)
        if (result.outcome === 'changes') count(result.changes.map(change => change.type === 'written' ? change.item.value : undefined))
        return result
      },
      listPage: async (prefix, after) => {
        if (prefix === PREFIX) {
          refuse()
          await this.#clock.sleep(this.readDelayMs)
          const page = await this.listPage(prefix, after)
          count(page.items.map(({ value }) => value))
          return page
        }
        if (!this.failsPages) return await this.listPage(prefix, after)
        await this.#clock.sleep(4_000)
        throw new StoreUnavailableError('no answer within 4000 ms')
      },
      commit: async transaction => await this.commit(transaction),
      grantLease: async grantedMs => {
        const lease = await this.grantLease()
        this.#extendLease(lease, grantedMs)
        return lease
      },
      renewLease: async lease => {
        refuse()
        await this.#endExpiredLeases()
        const grantedMs = this.#leaseTimes.get(lease)?.grantedMs
        if (grantedMs !== undefined) this.#extendLease(lease, grantedMs)
        return await this.renewLease(lease)
      },
      endLease: async lease => {
        refuse()
        await this.endLease(lease)
      }
    }
  }

  #extendLease (lease: number, grantedMs: number): void {
    this.#leaseTimes.set(lease, { grantedMs, untilMs: this.#clock.monotonicMs() + grantedMs })
  }

  async #endExpiredLeases (): Promise<void> {
    if (!this.expiresLeases) return
    for (const [lease, { untilMs }] of this.#leaseTimes) {
      if (untilMs > this.#clock.monotonicMs()) continue
      this.#leaseTimes.delete(lease)
      await this.endLease(lease)
    }
  }

  async #awaitChanges (key: string, after: number, waitMs: number, signal?: AbortSignal): Promise<WatchResult> {
    const untilMs = this.#clock.monotonicMs() + waitMs
    const existed = this.items.has(key)
    for (;;) {
      await this.#endExpiredLeases()
      const result = await this.watch(key, after)
      if (result.outcome === 'history-lost' || result.changes.length > 0) return result
      if (existed && !this.items.has(key)) return { ...result, changes: [{ type: 'removed', key }] }
      if (this.#clock.monotonicMs() >= untilMs) return result
      await this.#clock.sleep(WATCH_POLL_MS, signal)
    }
  }
}

function createDesiredState (version: number, queues: number): string {
  const state: DesiredState = {
    version, services: [], teams: [TEAM], maximumBodyBytes: 1_000, queues: Array.from({ length: queues }, (_, number) => ({ ...TEST_QUEUE, name: `queue-${number}` }))
  }
  return JSON.stringify(state)
}

/** Instances in one process whose calls to each other are counted in bytes, by region of the caller. */
class Cluster {
  readonly clock = new ManualClock()
  readonly store = new RegionalStore(this.clock)
  readonly instances = new Map<string, JobInstance>()
  readonly bytesReceived = new Map<string, number>()
  /** Questions to peers whether they reach the store. */
  storeQuestions = 0
  /** Whether peers answer questions about the store, and requests to end a lease. */
  answersAboutStore = true
  /** Instances that the store refuses. */
  readonly refused = new Set<string>()
  /** By instance; 1 by default. */
  readonly processors = new Map<string, number>()
  readonly watchers = new Map<string, DesiredStateWatcher>()
  targets: readonly ListedTarget[] = []
  /** Instances that called a target themselves, once for each call. */
  readonly callers: string[] = []

  async start (name: string, region: string): Promise<void> {
    const store = this.store.seenFrom(region, () => this.refused.has(name))
    const logger = createLogger({ level: 'silent', instance: name, dataCentre: region, secrets: [] })
    const { clock } = this
    const desired = new DesiredStateWatcher({ store, prefix: PREFIX, key: KEY, evacuationPrefix: `${PREFIX}evacuate/`, parse: text => JSON.parse(text) as DesiredState, clock, logger })
    this.watchers.set(name, desired)
    const instance = new JobInstance({
      instance: name,
      address: name,
      region,
      processors: this.processors.get(name) ?? 1,
      bandwidthMbps: 1_000,
      store,
      clock,
      logger,
      desired,
      directory: { list: async () => this.targets },
      connect: () => this.#createTarget(name),
      regionOf: () => region,
      advisor: { ask: async () => [] },
      peers: { connect: address => this.#connect(address, region) },
      targetLeaseMs: () => 5_000,
      finishedJobMs: () => 60_000
    })
    this.instances.set(name, instance)
    await instance.start()
  }

  async stop (): Promise<void> {
    const stopped = Promise.all([...this.instances.values()].map(async instance => await instance.stop()))
    await this.clock.advance(10_000)
    await stopped
  }

  #createTarget (caller: string): JobTargetClient {
    return {
      start: async () => ({ outcome: 'unknown', message: '' }),
      stop: async () => 'unknown',
      renew: async ({ waitMs }) => {
        this.callers.push(caller)
        await this.clock.sleep(waitMs)
        return { outcome: 'report', report: { bornMs: 1, clockMs: this.clock.monotonicMs(), running: [], finished: [], mayOmitFinished: false } }
      },
      close: async () => {}
    }
  }

  #connect (address: string, region: string): CoordinatorPeer {
    const peer = this.instances.get(address) as JobInstance
    return {
      report: async report => {
        const answer = await peer.report(report)
        this.bytesReceived.set(region, (this.bytesReceived.get(region) ?? 0) + JSON.stringify(answer).length)
        return answer
      },
      handleAll: async (fence, calls) => await peer.handleAll(fence, calls),
      release: async lease => {
        if (!this.answersAboutStore) throw new Error('no answer')
        return await peer.release(lease)
      },
      reachesStore: async () => {
        this.storeQuestions += 1
        if (!this.answersAboutStore) throw new Error('no answer')
        return await peer.reachesStore()
      },
      advise: async question => await peer.advise(question),
      relay: async batch => await peer.relay(batch),
      announce: async coordinator => await peer.announce(coordinator)
    }
  }
}

test('a start of the whole cluster, or a large change, does not fill the link to a region far from the store with copies of the desired state', async t => {
  const cluster = new Cluster()
  const text = createDesiredState(1, 1_500)
  cluster.store.put(KEY, text)
  await cluster.start('near', 'attica')
  await cluster.clock.advance(100)
  for (let number = 0; number < FAR_INSTANCES; number++) await cluster.start(`far-${number}`, 'macedonia')
  await cluster.clock.advance(1_000)
  const far = [...cluster.instances].filter(([name]) => name !== 'near').map(([, instance]) => instance)
  t.true(far.every(instance => instance.canServeCalls && instance.desiredState.version === 1 && instance.desiredState.maximumBodyBytes === 1_000))
  cluster.store.put(KEY, createDesiredState(2, 1_600))
  await cluster.clock.advance(1_000)
  t.true(far.every(instance => instance.desiredState.version === 2))
  const crossed = (cluster.store.bytesRead.get('macedonia') ?? 0) + (cluster.bytesReceived.get('macedonia') ?? 0)
  t.true(crossed < text.length, `${crossed} bytes crossed the link; the desired state has ${text.length}`)
  await cluster.stop()
})

test('a new coordinator decides on no desired state older than its term, even if its predecessor had applied a newer one', async t => {
  const cluster = new Cluster()
  cluster.store.put(KEY, createDesiredState(1, 1))
  await cluster.start('first', 'attica')
  await cluster.clock.advance(500)
  await cluster.start('second', 'attica')
  // The second instance has read the first version in an earlier term.
  cluster.watchers.get('second')?.follow()
  await cluster.clock.advance(500)
  cluster.watchers.get('second')?.pause()
  cluster.store.put(KEY, createDesiredState(2, 0))
  await cluster.clock.advance(500)
  cluster.store.readDelayMs = 400
  const second = cluster.instances.get('second') as JobInstance
  await cluster.instances.get('first')?.stepDown()
  const answered = (async () => {
    for (;;) {
      const fence = second.coordinator?.fence ?? 0
      const [answer] = await second.handleAll(fence, [READ])
      if (answer !== undefined && answer.outcome !== 'unavailable' && answer.outcome !== 'underway') return answer.outcome
      await cluster.clock.sleep(5)
    }
  })()
  await cluster.clock.advance(3_000)
  t.is(await answered, 'no-queue', 'the queue was removed in the second version')
  await cluster.stop()
})

test('a coordinator that the store refuses hands over without asking every instance of a large cluster', async t => {
  const cluster = new Cluster()
  cluster.store.put(KEY, createDesiredState(1, 1))
  await cluster.start('first', 'attica')
  await cluster.clock.advance(100)
  for (let number = 0; number < FAR_INSTANCES; number++) await cluster.start(`other-${number}`, 'attica')
  await cluster.clock.advance(1_000)
  cluster.refused.add('first')
  for (let number = 0; number < FAR_INSTANCES; number += 3) cluster.refused.add(`other-${number}`)
  await cluster.clock.advance(1_000)
  const coordinatorsKnownTo = (names: readonly string[]): readonly (string | undefined)[] => [...new Set(names.map(name => cluster.instances.get(name)?.coordinator?.instance))]
  const all = [...cluster.instances.keys()]
  const [elected, ...others] = coordinatorsKnownTo(all.filter(name => !cluster.refused.has(name)))
  t.deepEqual(others, [])
  t.false(elected === undefined || cluster.refused.has(elected), elected)
  t.true(cluster.storeQuestions <= 24, `${cluster.storeQuestions} questions`)
  // Instances without the store learn of the change from a peer, which they choose at random.
  await cluster.clock.advance(6_000)
  t.deepEqual(coordinatorsKnownTo(all), [elected])
  cluster.refused.clear()
  await cluster.stop()
})

test('change of coordinator: instances that the store does not serve send their calls to the new one at once, instead of to none for seconds', async t => {
  const cluster = new Cluster()
  cluster.store.put(KEY, createDesiredState(1, 1))
  await cluster.start('first', 'attica')
  await cluster.clock.advance(100)
  for (let number = 0; number < FAR_INSTANCES; number++) await cluster.start(`other-${number}`, 'attica')
  await cluster.clock.advance(1_000)
  cluster.refused.add('first')
  for (let number = 3; number < FAR_INSTANCES; number++) cluster.refused.add(`other-${number}`)
  const all = [...cluster.instances.values()]
  const countOf = (): number => all.filter(({ coordinator }) => coordinator !== undefined && coordinator.instance !== 'first').length
  for (let waitedMs = 0; countOf() === 0 && waitedMs < 3_000; waitedMs += 10) await cluster.clock.advance(10)
  await cluster.clock.advance(100)
  t.is(countOf(), all.length)
  cluster.refused.clear()
  await cluster.stop()
})

// Guards against a coordinator that keeps the calls of its callers until its authority ends, 3 s after the election of another.
test('change of coordinator: if no peer ends the lease of a coordinator without the store, all instances know its successor soon after the lease has ended', async t => {
  const cluster = new Cluster()
  cluster.store.put(KEY, createDesiredState(1, 1))
  cluster.store.expiresLeases = true
  await cluster.start('first', 'attica')
  await cluster.clock.advance(100)
  for (let number = 0; number < FAR_INSTANCES; number++) await cluster.start(`other-${number}`, 'attica')
  await cluster.clock.advance(1_000)
  cluster.answersAboutStore = false
  cluster.refused.add('first')
  for (let number = 3; number < FAR_INSTANCES; number++) cluster.refused.add(`other-${number}`)
  // The lease lasts 1.4 s from its last renewal; an election takes less than 0.2 s.
  await cluster.clock.advance(1_600)
  const known = [...cluster.instances.values()].map(({ coordinator }) => coordinator?.instance)
  const [elected, ...others] = new Set(known)
  t.deepEqual(others, [])
  t.true(['other-0', 'other-1', 'other-2'].includes(elected ?? ''), elected)
  cluster.refused.clear()
  await cluster.stop()
})

test('change of coordinator: a successor knows large instances of each region before they report to it, instead of calling every target itself', async t => {
  const cluster = new Cluster()
  cluster.store.put(KEY, createDesiredState(1, 1))
  for (let number = 0; number < 6; number++) {
    const name = `entry-${number}`
    cluster.processors.set(name, number < 4 ? 1 : 0.3)
    await cluster.start(name, number % 2 === 0 ? 'attica' : 'macedonia')
    await cluster.clock.advance(100)
  }
  await cluster.clock.advance(1_500)
  const report: InstanceReport = { instance: 'entry-5', address: 'entry-5', region: 'macedonia', processors: 0.3, peersDigest: '', reachesStore: true }
  const answers = await Promise.all([...cluster.instances.values()].map(async instance => await instance.report(report)))
  const named = new Set(answers.map(({ relayCandidates = [] }) => relayCandidates.map(({ address, region, processors }) => `${address} ${region} ${processors}`).sort().join(', ')))
  t.deepEqual([...named], ['entry-0 attica 1, entry-1 macedonia 1, entry-2 attica 1, entry-3 macedonia 1, entry-4 attica 0.3, entry-5 macedonia 0.3'])
  await cluster.stop()
})

test('change of coordinator: a successor does not call many targets itself, not even before the first reports', async t => {
  const cluster = new Cluster()
  cluster.store.put(KEY, createDesiredState(1, 1))
  cluster.targets = Array.from({ length: 100 }, (_, number) => ({
    id: `worker-${number}`, bornMs: 1, address: '', service: 'renders', dataCentre: 'attica', capacity: resources({ processors: 1_000, memory: 10 }), labels: [], draining: false
  }))
  for (const name of ['first', 'second', 'third']) {
    await cluster.start(name, 'attica')
    await cluster.clock.advance(200)
  }
  await cluster.clock.advance(3_000)
  cluster.callers.length = 0
  await cluster.instances.get('first')?.stepDown()
  await cluster.clock.advance(600)
  const successor = cluster.instances.get('second')?.coordinator?.instance
  t.true(successor === 'second' || successor === 'third', successor)
  t.true(cluster.callers.length >= 100, `${cluster.callers.length} calls`)
  t.deepEqual(cluster.callers.filter(caller => caller === successor), [])
  await cluster.stop()
})

test('a small coordinator whose link is too slow for the job log hands over to a larger instance instead of reading it again and again', async t => {
  const cluster = new Cluster()
  cluster.store.put(KEY, createDesiredState(1, 1))
  cluster.processors.set('small', 0.3)
  cluster.store.failsPages = true
  await cluster.start('small', 'attica')
  await cluster.clock.advance(200)
  await cluster.start('large', 'attica')
  await cluster.clock.advance(3_500)
  const { coordinator } = cluster.instances.get('large') as JobInstance
  t.is(coordinator?.instance, 'large')
  cluster.store.failsPages = false
  await cluster.stop()
})

// Guards against jobs that are answered as unknown, and against elections in quick succession, when stored records can not be read.
test('while the job log can not be read, calls are refused and the coordinator changes every few seconds', async t => {
  const cluster = new Cluster()
  cluster.store.put(KEY, createDesiredState(1, 1))
  cluster.store.put(segmentKey(1), 'no records')
  await cluster.start('first', 'attica')
  await cluster.start('second', 'attica')
  const fences = new Set<number>()
  const outcomes = new Set<string>()
  for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 100) {
    await cluster.clock.advance(100)
    for (const instance of cluster.instances.values()) {
      if (instance.coordinator === undefined) continue
      fences.add(instance.coordinator.fence)
      for (const { outcome } of await instance.handleAll(instance.coordinator.fence, [READ])) outcomes.add(outcome)
    }
  }
  t.deepEqual([...outcomes], ['unavailable'])
  t.true(fences.size >= 2 && fences.size <= 5, `${fences.size} elections`)
  await cluster.stop()
})
