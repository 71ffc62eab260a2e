/** Writes claims of request identities in batches. The instance responsible for a shard uses it; use by other instances is safe, too. */
import type { Component } from '../../lifecycle/component.ts'
import type { Clock } from '../../ports/clock.ts'
import type { ClaimEntry, ClaimOutcome } from '../../ports/peerClient.ts'
import type { Store } from '../../ports/store.ts'
import { CountingStore } from '../limits/countingStore.ts'
import { BATCH_SIZE, SHARD_COUNT, shardOf } from './claimSegment.ts'
import { ClaimShard } from './claimShard.ts'

/** Shortest time between two writes to a shard; limits 8 shards to 200 writes/s in total. */
export const CLAIM_WRITE_INTERVAL_MS = 40

/** A claim that is not written within this time is answered with `unavailable`. */
const CLAIM_TIMEOUT_MS = 1_000

const CLEANUP_INTERVAL_MS = 60_000

interface PendingClaim {
  readonly entry: ClaimEntry
  readonly enqueuedAtMs: number
  readonly resolve: (outcome: ClaimOutcome) => void
}

interface ShardQueue {
  readonly shard: ClaimShard
  pending: PendingClaim[]
  writing: boolean
}

/**
 * The claim log. At most one holder can claim an identity; the same holder may repeat its claim.
 *
 * @example
 * const [outcome] = await claimLog.claim([{ identity: hashIdentity('weavers', 'order-17'), holder: attemptId }])
 */
export class ClaimLog implements Component {
  readonly name = 'claim log'
  readonly #clock: Clock
  readonly #store: CountingStore
  readonly #queues: readonly ShardQueue[]
  readonly #abort = new AbortController()
  #running: Promise<unknown> = Promise.resolve()

  constructor (dependencies: { readonly store: Store, readonly clock: Clock }) {
    this.#clock = dependencies.clock
    this.#store = new CountingStore(dependencies.store)
    this.#queues = Array.from({ length: SHARD_COUNT }, (_, shard) =>
      ({ shard: new ClaimShard(this.#store, this.#clock, shard), pending: [], writing: false }))
  }

  get storeCalls (): number {
    return this.#store.calls
  }

  async start (): Promise<void> {
    this.#running = this.#cleanUp()
  }

  async stop (): Promise<void> {
    this.#abort.abort(new Error('claim log was stopped'))
    for (const queue of this.#queues) queue.pending.splice(0).forEach(claim => claim.resolve('unavailable'))
    await this.#running
  }

  /** Claims identities. `unavailable` means that the store did not answer in time; the claim may still have been written. */
  async claim (entries: readonly ClaimEntry[]): Promise<readonly ClaimOutcome[]> {
    return await Promise.all(entries.map(entry => this.#enqueue(entry)))
  }

  async #enqueue (entry: ClaimEntry): Promise<ClaimOutcome> {
    const queue = this.#queues[shardOf(entry.identity)]
    if (queue === undefined || this.#abort.signal.aborted) return 'unavailable'
    return await new Promise<ClaimOutcome>(resolve => {
      queue.pending.push({ entry, enqueuedAtMs: this.#clock.monotonicMs(), resolve })
      if (!queue.writing) this.#writePending(queue).catch(() => {})
    })
  }

  async #writePending (queue: ShardQueue): Promise<void> {
    queue.writing = true
    try {
      while (queue.pending.length > 0) {
        await this.#writeBatch(queue).catch(() => {})
        this.#expirePending(queue)
        await this.#clock.sleep(CLAIM_WRITE_INTERVAL_MS, this.#abort.signal)
      }
    } finally {
      queue.writing = false
    }
  }

  async #writeBatch (queue: ShardQueue): Promise<void> {
    const { signal } = this.#abort
    await queue.shard.ensureLoaded(signal)
    const batch = this.#selectBatch(queue)
    if (batch.length === 0) return
    const unclaimed = new Map(batch.map(claim => [claim.entry.identity, claim.entry]))
    if (await queue.shard.append([...unclaimed.values()], signal)) this.#answerDecided(queue)
  }

  /** Answers claims of identities that already have a holder and selects the claims to write, at most one for each identity. */
  #selectBatch (queue: ShardQueue): readonly PendingClaim[] {
    this.#answerDecided(queue)
    const first = new Map<string, PendingClaim>()
    for (const claim of queue.pending) {
      if (first.size < BATCH_SIZE && !first.has(claim.entry.identity)) first.set(claim.entry.identity, claim)
    }
    return [...first.values()]
  }

  #answerDecided (queue: ShardQueue): void {
    queue.pending = queue.pending.filter(claim => {
      const holder = queue.shard.findHolder(claim.entry.identity)
      if (holder !== undefined) claim.resolve(holder === claim.entry.holder ? 'claimed' : 'duplicate')
      return holder === undefined
    })
  }

  #expirePending (queue: ShardQueue): void {
    const oldest = this.#clock.monotonicMs() - CLAIM_TIMEOUT_MS
    queue.pending = queue.pending.filter(claim => {
      if (claim.enqueuedAtMs <= oldest) claim.resolve('unavailable')
      return claim.enqueuedAtMs > oldest
    })
  }

  async #cleanUp (): Promise<void> {
    while (!this.#abort.signal.aborted) {
      await this.#clock.sleep(CLEANUP_INTERVAL_MS, this.#abort.signal).catch(() => {})
      for (const queue of this.#queues) {
        if (!queue.writing) await queue.shard.deleteExpired(this.#abort.signal).catch(() => {})
      }
    }
  }
}
