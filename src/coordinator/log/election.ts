/** Leader election: the coordinator of jobs is the instance that holds a leased key in the store. */
import { z } from 'zod'
import type { Component } from '../../lifecycle/component.ts'
import type { Logger } from '../../observability/logger.ts'
import type { Clock } from '../../ports/clock.ts'
import type { StoredItem, StoreRead, TransactionalStore } from '../../ports/transactionalStore.ts'
import { SharedRead } from './sharedRead.ts'

export const COORDINATOR_KEY = 'agategauge/coordinator'

/** Time after which a failed coordinator is replaced; the store grants no lease shorter than 1 s. */
const LEASE_MS = 1_400
const RENEW_INTERVAL_MS = 300
/** After this time an unanswered renewal counts as failed, and is followed by the next one; a late answer still counts. */
const RENEWAL_TIMEOUT_MS = 400
/**
 * A renewal unanswered for this many times the last response time makes the coordinator ask other instances whether they
 * reach the store, so that it can hand over before its lease ends.
 */
const SUSPICION_FACTOR = 3
/** Above the round trip to another region. */
const MIN_SUSPICION_MS = 150
/**
 * While the store does not answer, no successor can be elected, so the coordinator keeps its authority for this
 * time after its lease. A successor adds the same time before it takes the runs on targets that it cannot reach
 * for ended.
 */
export const AUTHORITY_GRACE_MS = 3_000
/** If the wall clock gains more than this on the monotonic clock, the process is assumed to have been suspended. */
const SUSPENSION_THRESHOLD_MS = 400
/** A watch that times out confirms that the store is reachable. */
const WATCH_TIMEOUT_MS = 1_500
const RETRY_DELAY_MS = 150
/** Interval at which other instances are asked to end the lease of a term that ended without the store. */
const RELEASE_INTERVAL_MS = 1_000
/** Candidates wait this many times the store's response time, so that one close to the store wins. */
const CANDIDATE_DELAY_FACTOR = 4
const MAX_CANDIDATE_DELAY_MS = 400

const recordSchema = z.object({ instance: z.string(), address: z.string(), lease: z.number() })

export interface CoordinatorInfo {
  readonly instance: string
  readonly address: string
  /** Revision of the election; serves as fencing token and rises with each election. */
  readonly fence: number
  /** Lease of the election in the store. */
  readonly lease: number
}

export interface ElectionListener {
  /** This instance was elected; its authority lasts until `onLost`. */
  onElected (info: CoordinatorInfo): void
  onLost (reason: string): void
  /** The known coordinator changed; undefined if there is none. */
  onChanged (info: CoordinatorInfo | undefined): void
  /** Whether another instance can reach the store. */
  peerReachesStore (): Promise<boolean>
  /** Asks other instances to end the election lease; false if none of them reaches the store. */
  releaseThroughPeers (lease: number): Promise<boolean>
}

export interface ElectionOptions {
  readonly store: TransactionalStore
  readonly clock: Clock
  readonly logger: Logger
  readonly instance: string
  readonly address: string
  readonly leaseMs?: number
  /** Delay that lets more suitable instances be elected first, in addition to the delay for the distance to the store. */
  readonly candidateDelayMs?: () => number
  readonly listener: ElectionListener
}

/** Both clocks read at the same time. */
interface ClockReading {
  readonly monotonicMs: number
  readonly wallMs: number
}

export class Election implements Component {
  readonly name = 'election'
  readonly #options: ElectionOptions
  readonly #stopping = new AbortController()
  readonly #confirmation: SharedRead<StoreRead | undefined>
  #ownElection: CoordinatorInfo | undefined
  #coordinator: CoordinatorInfo | undefined
  /** Fencing token of the newest election that this instance has known of. */
  #newestFence = 0
  /** Time on the monotonic clock until which the lease is known to be valid. */
  #validUntilMs = 0
  /** Wall clock minus monotonic clock when the last successful renewal was sent. */
  #clockGapMs = 0
  #failedRenewals = 0
  /** Response time of the last renewal that was answered. */
  #renewalAnswerMs = 0
  #storeAnsweredAtMs = -Infinity
  /** Fencing token of the last election that this instance ended for an unreachable coordinator. */
  #endedFence = 0
  /** Lease of a term that ended without the store. The store may have extended it, so no successor can be elected until it is ended. */
  #unreleasedLease: number | undefined
  /** When the other instances may be asked again to end that lease; infinite while they are asked. */
  #nextReleaseMs = -Infinity
  /** A newer election that a peer has reported, until the store has confirmed this instance's after that. */
  #reported: { readonly info: CoordinatorInfo, readonly atMs: number } | undefined
  #withdrawn = false
  /** Ends the wait for the next regular renewal. */
  #endRenewalWait: () => void = () => {}
  /** Rejects the read of the coordinator that is in progress. */
  #endRead: (error: Error) => void = () => {}
  #running: Promise<void> = Promise.resolve()

  constructor (options: ElectionOptions) {
    this.#options = options
    this.#confirmation = new SharedRead(options.clock, async () => await this.#readElection())
  }

  async start (): Promise<void> {
    this.#running = this.#run()
  }

  async stop (): Promise<void> {
    await this.withdraw()
    this.#stopping.abort()
    this.#endRenewalWait()
    this.#endRead(new Error('the instance is stopping'))
    await this.#running
  }

  get coordinator (): CoordinatorInfo | undefined {
    return this.#coordinator
  }

  /** Whether this instance may act as coordinator now. */
  hasAuthority (): boolean {
    if (this.#ownElection === undefined) return false
    const { clock } = this.#options
    const nowMs = clock.monotonicMs()
    if (clock.wallMs() - nowMs - this.#clockGapMs > SUSPENSION_THRESHOLD_MS) return false
    return nowMs < this.#validUntilMs + (this.#failedRenewals > 0 ? AUTHORITY_GRACE_MS : 0)
  }

  /** Whether the last renewal failed. */
  get storeFails (): boolean {
    return this.#failedRenewals > 0
  }

  /** Milliseconds since the store last answered. */
  get storeAnswerAgeMs (): number {
    return this.#options.clock.monotonicMs() - this.#storeAnsweredAtMs
  }

  /**
   * Whether the store still holds this instance's election; false if that cannot be determined. Calls share reads of the
   * store, since clients can cause any number of them; each gets one that began after its call.
   */
  async confirm (): Promise<boolean> {
    const held = this.#ownElection
    if (held === undefined) return false
    const read = await this.#confirmation.read()
    return read?.item?.revision === held.fence && this.#ownElection === held
  }

  /** Logs a failure once for all callers that share the read. */
  async #readElection (): Promise<StoreRead | undefined> {
    try {
      return await this.#options.store.get(COORDINATOR_KEY)
    } catch (error) {
      this.#options.logger.info({ error: String(error), fence: this.#ownElection?.fence }, 'failed to confirm the election')
      return undefined
    }
  }

  /**
   * Renews the lease now instead of after the interval: another call to the store has failed, and if the store refuses
   * this instance only, others should take over soon.
   */
  renewNow (): void {
    this.#endRenewalWait()
  }

  /** Resigns and does not become a candidate again; a successor can be elected at once. */
  async withdraw (): Promise<void> {
    this.#withdrawn = true
    await this.resign('the instance is stopping')
  }

  /** Resigns as coordinator and ends the election lease; has no effect on an election other than the given one. */
  async resign (reason: string, fence = this.#ownElection?.fence): Promise<void> {
    const held = this.#ownElection
    if (held === undefined || held.fence !== fence) return
    this.#endTerm(reason)
    try {
      await this.#options.store.endLease(held.lease)
    } catch (error) {
      this.#options.logger.warn({ error: String(error), lease: held.lease }, 'failed to end the election lease; it will expire')
    }
  }

  /** Ends the election of a coordinator whose process appears to be gone; fencing keeps this safe if it is not. */
  async endElectionOf (info: CoordinatorInfo): Promise<void> {
    if (this.#coordinator?.fence !== info.fence || this.#ownElection !== undefined || this.#endedFence === info.fence) return
    this.#endedFence = info.fence
    this.#options.logger.warn({ coordinator: info.instance, fence: info.fence }, 'the coordinator refuses connections; ending its election')
    try {
      await this.#options.store.endLease(info.lease)
    } catch (error) {
      this.#options.logger.warn({ error: String(error), lease: info.lease }, 'failed to end the election lease; it will expire')
    }
  }

  /**
   * Adopts a newer election reported by a peer, for instances that cannot read the store; an ended one is not adopted
   * again. A coordinator that reaches the store lets the store decide.
   */
  updateFromPeer (info: CoordinatorInfo): void {
    if (info.fence <= this.#newestFence) return
    if (this.#ownElection !== undefined && !this.storeFails) {
      this.#reported = { info, atMs: this.#options.clock.monotonicMs() }
      return this.renewNow()
    }
    this.#endTerm('another instance was elected')
    this.#setCoordinator(info)
  }

  async #run (): Promise<void> {
    const { signal } = this.#stopping
    while (!signal.aborted) {
      try {
        if (this.#ownElection !== undefined) await this.#renew(this.#ownElection)
        else await this.#follow()
      } catch (error) {
        this.#options.logger.debug({ error: String(error) }, 'election request to the store failed; retrying')
        this.#releaseLeaseOfEndedTerm()
        await this.#sleep(RETRY_DELAY_MS)
      }
    }
  }

  #releaseLeaseOfEndedTerm (): void {
    const { clock, listener } = this.#options
    const lease = this.#unreleasedLease
    if (lease === undefined || clock.monotonicMs() < this.#nextReleaseMs) return
    this.#nextReleaseMs = Infinity
    const settle = (ended: boolean): void => {
      if (ended && this.#unreleasedLease === lease) this.#unreleasedLease = undefined
      this.#nextReleaseMs = clock.monotonicMs() + RELEASE_INTERVAL_MS
    }
    listener.releaseThroughPeers(lease).then(settle, () => settle(false))
  }

  async #follow (): Promise<void> {
    const { clock } = this.#options
    const askedMs = clock.monotonicMs()
    const { item, revision } = await this.#readCoordinator()
    this.#markStoreAnswer()
    const answerMs = clock.monotonicMs() - askedMs
    if (item !== undefined) {
      const info = this.#readItem(item)
      // An earlier process of this instance was elected and no longer runs.
      if (info.instance === this.#options.instance) return await this.#endOwnLease(info.lease)
      await this.#watch(revision)
      return
    }
    this.#unreleasedLease = undefined
    this.#setCoordinator(undefined)
    if (this.#withdrawn) return await this.#sleep(RETRY_DELAY_MS)
    await this.#sleep(Math.min(answerMs * CANDIDATE_DELAY_FACTOR, MAX_CANDIDATE_DELAY_MS) + (this.#options.candidateDelayMs?.() ?? 0))
    await this.#campaign()
  }

  /** The other instances are asked if the store does not answer. */
  async #endOwnLease (lease: number): Promise<void> {
    this.#unreleasedLease = lease
    await this.#options.store.endLease(lease)
    this.#unreleasedLease = undefined
  }

  /** A read that the store leaves unanswered must not delay the stop. */
  async #readCoordinator (): Promise<StoreRead> {
    const stopping = new Promise<never>((_resolve, reject) => { this.#endRead = reject })
    return await Promise.race([this.#options.store.get(COORDINATOR_KEY), stopping])
  }

  async #watch (revision: number): Promise<void> {
    const { store } = this.#options
    let after = revision
    while (!this.#stopping.signal.aborted) {
      const result = await store.watch(COORDINATOR_KEY, after, WATCH_TIMEOUT_MS, this.#stopping.signal)
      this.#markStoreAnswer()
      if (result.outcome === 'history-lost') return await this.#sleep(RETRY_DELAY_MS)
      if (result.changes.length > 0) return
      after = result.revision
    }
  }

  async #campaign (): Promise<void> {
    const { store, instance, address, leaseMs = LEASE_MS } = this.#options
    const sent = this.#readClocks()
    const lease = await store.grantLease(leaseMs)
    const result = await store.commit({
      conditions: [{ key: COORDINATOR_KEY, revision: 0 }],
      writes: [{ key: COORDINATOR_KEY, value: JSON.stringify({ instance, address, lease }), lease }],
      removes: []
    })
    if (result.outcome !== 'committed' || this.#withdrawn) return
    const info: CoordinatorInfo = { instance, address, fence: result.revision, lease }
    // The answer took longer than the lease, and another instance has been elected since.
    if ((this.#coordinator?.fence ?? 0) > info.fence) return
    this.#ownElection = info
    this.#extendValidity(sent)
    this.#setCoordinator(info)
    this.#options.listener.onElected(info)
  }

  async #renew ({ lease }: CoordinatorInfo): Promise<void> {
    const { clock, logger } = this.#options
    await this.#awaitRenewal()
    if (this.#ownElection === undefined) return
    const renewal = this.#renewOnce(lease)
    const onlyOneWithoutStore = this.#isOnlyInstanceWithoutStore(lease, renewal)
    const failure = await renewal
    if (failure === undefined || this.#ownElection === undefined) return
    if (this.#failedRenewals === 0) logger.warn({ error: failure, validForMs: Math.round(this.#validUntilMs - clock.monotonicMs()) }, 'election lease renewal failed')
    this.#failedRenewals += 1
    if (this.#reported !== undefined) return this.updateFromPeer(this.#reported.info)
    if (await onlyOneWithoutStore && await this.#options.listener.releaseThroughPeers(lease)) this.#endTerm('the store serves other instances only')
    if (this.#ownElection === undefined || clock.monotonicMs() <= this.#validUntilMs + AUTHORITY_GRACE_MS) return
    this.#unreleasedLease = lease
    this.#endTerm('the lease could not be renewed')
  }

  /** Failed renewals are retried at a fixed interval. */
  async #awaitRenewal (): Promise<void> {
    if (this.#failedRenewals > 0) return await this.#sleep(RETRY_DELAY_MS)
    const waiting = new AbortController()
    this.#endRenewalWait = () => waiting.abort()
    await this.#options.clock.sleep(RENEW_INTERVAL_MS, waiting.signal).catch(() => {})
    this.#endRenewalWait = () => {}
  }

  /** Returns the reason if the election was not renewed in time. */
  async #renewOnce (lease: number): Promise<string | undefined> {
    const { store, clock } = this.#options
    const sent = this.#readClocks()
    const answer = store.renewLease(lease).then(renewed => {
      this.#handleRenewal(lease, renewed, sent)
      return undefined
    }, error => String(error))
    const answered = new AbortController()
    const timeout = clock.sleep(RENEWAL_TIMEOUT_MS, answered.signal).then(() => `no answer within ${RENEWAL_TIMEOUT_MS} ms`, () => undefined)
    try {
      return await Promise.race([answer, timeout])
    } finally {
      answered.abort()
    }
  }

  #handleRenewal (lease: number, renewed: boolean, sent: ClockReading): void {
    if (this.#ownElection?.lease !== lease) return
    this.#markStoreAnswer()
    this.#renewalAnswerMs = this.#options.clock.monotonicMs() - sent.monotonicMs
    if (!renewed) return this.#endTerm('the lease has ended')
    if (this.#failedRenewals > 0) this.#options.logger.info({ failed: this.#failedRenewals }, 'election lease renewals succeed again')
    this.#failedRenewals = 0
    if (this.#reported !== undefined && sent.monotonicMs >= this.#reported.atMs) this.#reported = undefined
    this.#extendValidity(sent)
  }

  /**
   * Whether the store is reachable for other instances while it is not for this one: a renewal was not answered in time,
   * another instance has reached the store since, and two more renewals after that have failed too.
   */
  async #isOnlyInstanceWithoutStore (lease: number, renewal: Promise<string | undefined>): Promise<boolean> {
    const suspicionMs = Math.min(Math.max(MIN_SUSPICION_MS, this.#renewalAnswerMs * SUSPICION_FACTOR), RENEWAL_TIMEOUT_MS)
    const overdue = this.#sleep(suspicionMs).then(() => 'overdue')
    if (await Promise.race([renewal, overdue]) === undefined) return false
    if (!await this.#options.listener.peerReachesStore()) return false
    const again = this.#sleep(RETRY_DELAY_MS).then(async () => await this.#renewOnce(lease))
    const failures = await Promise.all([this.#renewOnce(lease), again])
    return failures.every(failure => failure !== undefined) && this.#ownElection?.lease === lease
  }

  #markStoreAnswer (): void {
    this.#storeAnsweredAtMs = this.#options.clock.monotonicMs()
  }

  #readClocks (): ClockReading {
    const { clock } = this.#options
    return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() }
  }

  /** Keeps the clocks of the sending time: a process suspended since then has less time left than its monotonic clock shows. */
  #extendValidity (sent: ClockReading): void {
    const validUntilMs = sent.monotonicMs + (this.#options.leaseMs ?? LEASE_MS)
    if (validUntilMs < this.#validUntilMs) return
    this.#validUntilMs = validUntilMs
    this.#clockGapMs = sent.wallMs - sent.monotonicMs
  }

  #endTerm (reason: string): void {
    if (this.#ownElection === undefined) return
    this.#ownElection = undefined
    this.#failedRenewals = 0
    this.#reported = undefined
    this.#setCoordinator(undefined)
    this.#options.listener.onLost(reason)
  }

  #readItem ({ value, revision }: StoredItem): CoordinatorInfo {
    const parsed = recordSchema.safeParse(JSON.parse(value))
    if (!parsed.success) throw new Error('invalid coordinator record in the store')
    const info: CoordinatorInfo = { ...parsed.data, fence: revision }
    this.#setCoordinator(info)
    return info
  }

  #setCoordinator (info: CoordinatorInfo | undefined): void {
    if (info?.fence === this.#coordinator?.fence) return
    this.#coordinator = info
    if (info !== undefined) this.#unreleasedLease = undefined
    this.#newestFence = Math.max(this.#newestFence, info?.fence ?? 0)
    this.#options.listener.onChanged(info)
  }

  async #sleep (durationMs: number): Promise<void> {
    await this.#options.clock.sleep(durationMs, this.#stopping.signal).catch(() => {})
  }
}
