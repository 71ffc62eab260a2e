/** Exchanges digests with peers, fetches newer configuration from them, and reads the store if no instance has lately. */
import type { ChangeLog } from '../configuration/changeLog.ts'
import type { FreshnessTracker } from '../configuration/freshness.ts'
import type { AcceptorRegistry } from '../configuration/registry.ts'
import { withTimeout } from '../configuration/withTimeout.ts'
import type { Component } from '../lifecycle/component.ts'
import type { ExchangeSender, InstanceDigest, KnownAnswer } from '../model/digest.ts'
import type { Clock } from '../ports/clock.ts'
import type { ListSnapshot } from '../ports/instanceList.ts'
import type { ExchangeAnswer, PeerClient } from '../ports/peerClient.ts'
import type { Random } from '../ports/random.ts'
import { AnswerDecoder } from './answerDecoder.ts'
import { selectPeers, shuffle } from './peerSelection.ts'
import type { MembershipTable } from './membershipTable.ts'

export const EXCHANGE_INTERVAL_MS = 1_000
/** Interval of exchanges with remote instances while no instance can read the store. */
const REMOTE_INTERVAL_IN_OUTAGE_MS = 250
const EXCHANGE_TIMEOUT_MS = 1_000

/** Fraction of the grace period without a known store read, by any instance, after which this instance reads the store. */
const STORE_READ_GRACE_FRACTION = 1 / 3

/** Random addition to that time, as a fraction of it, so that one instance of a data centre reads before the others. */
const STORE_READ_JITTER = 0.5
const STORE_CHECKS_PER_GRACE_PERIOD = 20

export interface ExchangeLoopOptions {
  readonly clock: Clock
  readonly random: Random
  readonly peers: PeerClient
  readonly table: MembershipTable
  readonly tracker: FreshnessTracker
  readonly log: ChangeLog
  readonly registry: AcceptorRegistry
  /** Returns this instance's digest without the configuration version and the ages, which the loop adds. */
  readonly describeSelf: () => Omit<InstanceDigest, 'heardAge' | 'storeReadAge' | 'quietAge' | 'configurationVersion'>
  /** Addresses from the settings, contacted until the instances there are known. */
  readonly seeds: readonly string[]
  readonly readList: () => ListSnapshot | undefined
  /** Shortest grace period of any team. */
  readonly keyGraceMs: () => number
  /** Receives unexpected errors of a round; the loop continues with the next round. */
  readonly onError?: (error: unknown) => void
}

/**
 * Runs one asynchronous task for each peer in the same data centre, and one that rotates through the remote peers.
 *
 * @example
 * const loop = new ExchangeLoop(options)
 * await loop.start()
 */
export class ExchangeLoop implements Component {
  readonly name = 'exchange'
  readonly #options: ExchangeLoopOptions
  readonly #stopping = new AbortController()
  readonly #localTasks = new Map<string, { readonly abort: AbortController, readonly done: Promise<void> }>()
  readonly #stoppingTasks = new Set<Promise<void>>()
  #tasks: readonly Promise<void>[] = []
  #remoteRotation: string[] = []
  readonly #decoder = new AnswerDecoder()
  /** Peers whose latest exchange failed. */
  readonly #unreachablePeers = new Set<string>()
  #fetching = false

  constructor (options: ExchangeLoopOptions) {
    this.#options = options
  }

  async start (): Promise<void> {
    const { keyGraceMs } = this.#options
    this.#tasks = [
      this.#repeat(this.#stopping.signal, () => EXCHANGE_INTERVAL_MS, async () => this.#reconcilePeers()),
      this.#repeat(this.#stopping.signal, () => this.#remoteIntervalMs(), () => this.#exchangeWithRemote()),
      this.#repeat(this.#stopping.signal, () => keyGraceMs() / STORE_CHECKS_PER_GRACE_PERIOD, () => this.#readStoreIfDue())
    ]
  }

  async stop (): Promise<void> {
    this.#stopping.abort()
    await Promise.all([...this.#tasks, ...this.#stoppingTasks, ...[...this.#localTasks.values()].map(task => task.done)])
  }

  /** Answers a peer's exchange. */
  answer (sender: ExchangeSender, registering: boolean): ExchangeAnswer {
    const { table, registry, log } = this.#options
    const { ref, place } = sender
    table.noteRequest(sender)
    if (registering && place !== undefined) registry.acknowledge({ ref, dataCentre: place.dataCentre, peerAddress: place.peerAddress })
    const address = place?.peerAddress ?? table.find(ref)?.digest.peerAddress
    if (sender.configurationVersion > log.version && address !== undefined) this.#fetchChangesFrom(address)
    this.#refreshOwnDigest()
    return { ...table.describeFor(sender), acknowledged: registry.isCounted(ref) }
  }

  /** Without the store, a configuration is fresh only if every instance was heard from, which takes a full rotation. */
  #remoteIntervalMs (): number {
    const { tracker, keyGraceMs } = this.#options
    return tracker.storeReadAgeMs() > keyGraceMs() / 2 ? REMOTE_INTERVAL_IN_OUTAGE_MS : EXCHANGE_INTERVAL_MS
  }

  /** Repeats a step until the signal aborts; the interval includes the duration of the step. */
  async #repeat (signal: AbortSignal, intervalMs: () => number, step: () => Promise<void>): Promise<void> {
    const { clock } = this.#options
    while (!signal.aborted) {
      const startedAt = clock.monotonicMs()
      try {
        await step()
      } catch (error) {
        this.#options.onError?.(error)
      }
      const remainingMs = Math.max(0, intervalMs() - (clock.monotonicMs() - startedAt))
      await clock.sleep(remainingMs, signal).catch(() => {})
    }
  }

  #refreshOwnDigest (): InstanceDigest {
    const { table, tracker, log, describeSelf } = this.#options
    const digest = { ...describeSelf(), heardAge: 0, configurationVersion: log.version, ...tracker.ownAges() }
    table.setOwnDigest(digest)
    return digest
  }

  /** Starts tasks for new peers of the data centre and stops those of removed peers. */
  #reconcilePeers (): void {
    const { table, seeds, readList } = this.#options
    const { local, remote } = selectPeers({ own: this.#refreshOwnDigest(), others: table.others(), list: readList(), seeds })
    for (const [address, { abort, done }] of this.#localTasks) {
      if (local.has(address)) continue
      abort.abort()
      this.#localTasks.delete(address)
      this.#stoppingTasks.add(done)
      done.then(() => this.#stoppingTasks.delete(done))
    }
    for (const address of local) if (!this.#localTasks.has(address)) this.#startLocal(address)
    for (const address of this.#unreachablePeers) if (!local.has(address) && !remote.has(address)) this.#unreachablePeers.delete(address)
    this.#decoder.retain(new Set([...local, ...remote]))
    this.#remoteRotation = this.#remoteRotation.filter(address => remote.has(address))
    if (this.#remoteRotation.length === 0) this.#remoteRotation = shuffle([...remote], this.#options.random)
  }

  #startLocal (address: string): void {
    const abort = new AbortController()
    const signal = AbortSignal.any([abort.signal, this.#stopping.signal])
    const done = this.#repeat(signal, () => EXCHANGE_INTERVAL_MS, () => this.#exchange(address, signal))
    this.#localTasks.set(address, { abort, done })
  }

  async #exchangeWithRemote (): Promise<void> {
    const address = this.#remoteRotation.pop()
    if (address !== undefined) await this.#exchange(address, this.#stopping.signal)
  }

  async #exchange (address: string, signal: AbortSignal): Promise<void> {
    const { clock, peers, table, tracker, registry, log } = this.#options
    const known = this.#decoder.lastAnswerFrom(address)
    const sender = this.#describeSender(address, known)
    const sentAt = clock.monotonicMs()
    try {
      const answer = await withTimeout(clock, EXCHANGE_TIMEOUT_MS,
        limited => peers.exchange(address, sender, registry.needsAcknowledgement, limited), signal)
      this.#unreachablePeers.delete(address)
      const updates = this.#decoder.decode(address, known, answer)
      table.merge(updates, sentAt)
      tracker.noteAnswer(updates, sentAt)
      const callee = updates[0]
      if (callee === undefined) return
      if (answer.acknowledged) registry.noteAcknowledged(callee.ref, sentAt)
      if (callee.configurationVersion > log.version) await this.#fetchChangesFrom(address)
    } catch {
      // The failure shows as the growing age of the peer in the table.
      this.#unreachablePeers.add(address)
    }
  }

  /** Includes the place until the callee has answered once, and while this instance still needs acknowledgements. */
  #describeSender (address: string, known: KnownAnswer | undefined): ExchangeSender {
    const { table, registry } = this.#options
    const { ref, state, configurationVersion, dataCentre, region, peerAddress } = this.#refreshOwnDigest()
    const includesPlace = known === undefined || registry.needsAcknowledgement
    const others = this.#unreachablePeers.size === 0 ? [] : table.others()
    return {
      ref,
      state,
      configurationVersion,
      place: includesPlace ? { dataCentre, region, peerAddress } : undefined,
      known,
      unanswered: others.filter(({ digest }) => this.#unreachablePeers.has(digest.peerAddress)).map(({ digest }) => digest.ref.name),
      // Answers without load do not advance the known revision, so a first one without load would be sent again in full.
      withoutLoad: known !== undefined && table.hasRecentLoadOf(address)
    }
  }

  /** Fetches newer changes, one fetch at a time, since all peers offer the same changes. */
  async #fetchChangesFrom (address: string): Promise<void> {
    const { clock, peers, log } = this.#options
    if (this.#fetching) return
    this.#fetching = true
    try {
      const fetched = await withTimeout(clock, EXCHANGE_TIMEOUT_MS,
        signal => peers.fetchChanges(address, log.version, signal), this.#stopping.signal)
      log.adopt(fetched)
    } catch {
      // The next exchange offers the changes again.
    } finally {
      this.#fetching = false
    }
  }

  async #readStoreIfDue (): Promise<void> {
    const { tracker, log, random, keyGraceMs } = this.#options
    const limit = keyGraceMs() * STORE_READ_GRACE_FRACTION * (1 + STORE_READ_JITTER * random.next())
    if (tracker.storeReadAgeMs() >= limit) await log.refresh()
  }
}
