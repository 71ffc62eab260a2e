/** One shard of the claim log, as the instance that writes it knows it. */
import { StoreUnknownError } from '../../model/errors.ts'
import type { Clock } from '../../ports/clock.ts'
import type { ClaimEntry, ClaimOutcome } from '../../ports/peerClient.ts'
import type { Store, StoreEntry } from '../../ports/store.ts'
import { archiveKey, archivePrefix, CLAIM_RETENTION_MS, headKey, isFull, parseHead, serialiseHead } from './claimRecord.ts'
import type { ClaimHead, StoredClaim } from './claimRecord.ts'

/** Shortest time between two writes of a shard; claims that arrive in between share a write. */
export const FLUSH_INTERVAL_MS = 40
/** Attempts at one batch when other writers interfere. */
const CONFLICT_LIMIT = 8

interface PendingClaim {
  readonly entry: ClaimEntry
  settle (outcome: ClaimOutcome): void
}

export class ClaimShard {
  readonly #store: Store
  readonly #clock: Clock
  readonly #shard: number
  readonly #known = new Map<string, StoredClaim>()
  #head: ClaimHead | undefined
  #headVersion = 0
  #pending: PendingClaim[] = []
  #flushing: Promise<void> | undefined
  #lastWriteAt = -Infinity

  constructor (store: Store, clock: Clock, shard: number) {
    this.#store = store
    this.#clock = clock
    this.#shard = shard
  }

  /** Claims in the next write; `unavailable` means that the outcome could not be found out. */
  claim (entry: ClaimEntry): Promise<ClaimOutcome> {
    const outcome = new Promise<ClaimOutcome>(resolve => this.#pending.push({ entry, settle: resolve }))
    this.#flushing ??= this.#flush().finally(() => { this.#flushing = undefined })
    return outcome
  }

  async #flush (): Promise<void> {
    while (this.#pending.length > 0) {
      const wait = this.#lastWriteAt + FLUSH_INTERVAL_MS - this.#clock.monotonicMs()
      if (wait > 0) await this.#clock.sleep(wait)
      const batch = this.#pending
      this.#pending = []
      try {
        await this.#write(batch)
      } catch {
        // Without a view that is certain, the next batch reads the records anew.
        this.#head = undefined
        for (const pending of batch) pending.settle('unavailable')
      }
    }
  }

  async #write (batch: readonly PendingClaim[]): Promise<void> {
    for (let attempt = 0; attempt < CONFLICT_LIMIT; attempt++) {
      const head = this.#head ?? await this.#load()
      const fresh = this.#selectFresh(batch)
      if (fresh.length === 0) return this.#answer(batch)
      if (isFull(head)) {
        await this.#archive(head)
        continue
      }
      const next = { segment: head.segment, claims: [...head.claims, ...fresh] }
      if (await this.#swap(next)) return this.#answer(batch)
    }
    throw new Error(`shard ${this.#shard} of the claim log changed ${CONFLICT_LIMIT} times in a row`)
  }

  /** The first claim of each identity that nobody holds. */
  #selectFresh (batch: readonly PendingClaim[]): readonly StoredClaim[] {
    const fresh = new Map<string, StoredClaim>()
    const claimedAt = this.#clock.wallMs()
    for (const { entry: { identity, holder } } of batch) {
      if (!this.#known.has(identity) && !fresh.has(identity)) fresh.set(identity, { identity, holder, claimedAt })
    }
    return [...fresh.values()]
  }

  #answer (batch: readonly PendingClaim[]): void {
    for (const { entry, settle } of batch) {
      settle(this.#known.get(entry.identity)?.holder === entry.holder ? 'claimed' : 'duplicate')
    }
  }

  /** Replaces the head if it is the one last seen; false if another writer was first or the answer was lost. */
  async #swap (next: ClaimHead): Promise<boolean> {
    this.#lastWriteAt = this.#clock.monotonicMs()
    try {
      const result = await this.#store.put(headKey(this.#shard), serialiseHead(next), { expectedVersion: this.#headVersion })
      if (result.outcome === 'written') {
        this.#accept(next, result.version)
        return true
      }
    } catch (error) {
      if (!(error instanceof StoreUnknownError)) throw error
    }
    await this.#catchUp()
    return false
  }

  /** Copies a full head into an archive and empties it. Every writer that sees this head writes the same copy. */
  async #archive (head: ClaimHead): Promise<void> {
    try {
      await this.#store.put(archiveKey(this.#shard, head.segment), serialiseHead(head), { expectedVersion: 0 })
    } catch (error) {
      if (!(error instanceof StoreUnknownError)) throw error
      if (await this.#store.get(archiveKey(this.#shard, head.segment)) === undefined) return
    }
    if (await this.#swap({ segment: head.segment + 1, claims: [] })) this.#forgetExpired().catch(() => {})
  }

  /** Reads the head and what was archived since the last view. */
  async #catchUp (): Promise<void> {
    const seen = this.#head?.segment
    const entry = await this.#store.get(headKey(this.#shard))
    const head = parseHead(entry?.value)
    if (seen === undefined || head.segment > seen) await this.#load()
    else this.#accept(head, entry?.version ?? 0)
  }

  /** Reads the head first: what is moved to an archive after that is in the list. */
  async #load (): Promise<ClaimHead> {
    const entry = await this.#store.get(headKey(this.#shard))
    for (const archive of await this.#store.list(archivePrefix(this.#shard))) this.#remember(parseHead(archive.value))
    return this.#accept(parseHead(entry?.value), entry?.version ?? 0)
  }

  #accept (head: ClaimHead, version: number): ClaimHead {
    this.#remember(head)
    this.#headVersion = version
    this.#head = head
    return head
  }

  #remember ({ claims }: ClaimHead): void {
    for (const claim of claims) if (!this.#known.has(claim.identity)) this.#known.set(claim.identity, claim)
  }

  /** Deletes archives whose claims have all expired, and forgets those claims. */
  async #forgetExpired (): Promise<void> {
    const expired = this.#clock.wallMs() - CLAIM_RETENTION_MS
    for (const archive of await this.#store.list(archivePrefix(this.#shard))) {
      if (isExpired(archive, expired)) await this.#store.delete(archive.key, archive.version)
    }
    for (const [identity, { claimedAt }] of this.#known) if (claimedAt < expired) this.#known.delete(identity)
  }
}

function isExpired ({ value }: StoreEntry, expired: number): boolean {
  return parseHead(value).claims.every(({ claimedAt }) => claimedAt < expired)
}
