/** One instance's cached copy of a shard of the claim log: the current segment and the full ones within the retention period. */
import type { Clock } from '../../ports/clock.ts'
import type { ClaimEntry } from '../../ports/peerClient.ts'
import type { Store, StoreEntry } from '../../ports/store.ts'
import { CLAIM_RETENTION_MS, headKey, isFull, parseSegment, segmentKey, serialiseSegment, shardPrefix } from './claimSegment.ts'

/** Segments are kept for this long beyond the retention period, to allow for clock skew and slow writers. */
const RETENTION_MARGIN_MS = 60_000

interface CachedSegment {
  readonly entry: StoreEntry
  readonly number: number
  readonly writtenAt: number
  readonly holders: ReadonlyMap<string, string>
}

export class ClaimShard {
  readonly #store: Store
  readonly #clock: Clock
  readonly #shard: number
  #head: CachedSegment | undefined
  #fullSegments = new Map<string, CachedSegment>()
  #loaded = false

  constructor (store: Store, clock: Clock, shard: number) {
    this.#store = store
    this.#clock = clock
    this.#shard = shard
  }

  /**
   * Reads the shard's segments unless they are cached. The head is read first: if it becomes full between the two
   * calls, its content is in the list.
   */
  async ensureLoaded (signal?: AbortSignal): Promise<void> {
    if (this.#loaded) return
    const head = await this.#store.get(headKey(this.#shard), signal)
    const entries = await this.#store.list(shardPrefix(this.#shard), signal)
    this.#head = head === undefined ? undefined : parseEntry(head)
    this.#fullSegments = new Map(entries.filter(entry => entry.key !== headKey(this.#shard)).map(entry => [entry.key, parseEntry(entry)]))
    this.#loaded = true
  }

  findHolder (identity: string): string | undefined {
    const inHead = this.#head?.holders.get(identity)
    if (inHead !== undefined) return inHead
    for (const segment of this.#fullSegments.values()) {
      const holder = segment.holders.get(identity)
      if (holder !== undefined) return holder
    }
    return undefined
  }

  /**
   * Tries once to append claims to the current segment. Returns true if they were written, and false if another writer
   * was faster and its claims must be checked first. After a rejection the shard is not loaded, so that the next read
   * shows whether the write took effect.
   */
  async append (claims: readonly ClaimEntry[], signal?: AbortSignal): Promise<boolean> {
    const head = this.#head
    this.#loaded = false
    const rollsOver = head !== undefined && isFull(head.entry.value)
    if (rollsOver) await this.#archiveFull(head, signal)
    const entries = head === undefined || rollsOver ? claims : [...parseSegment(head.entry.value).entries, ...claims]
    const number = (head?.number ?? 0) + (rollsOver ? 1 : 0)
    const key = headKey(this.#shard)
    const value = serialiseSegment({ number, writtenAt: this.#clock.wallMs(), entries })
    const result = await this.#store.put(key, value, { expectedVersion: head?.entry.version ?? 0 }, signal)
    if (result.outcome === 'written') {
      this.#head = parseEntry({ key, value, version: result.version })
      this.#loaded = true
      return true
    }
    const current = result.current === undefined ? undefined : parseEntry(result.current)
    // If the number changed, the cached segment may have received further claims before it became full: reload the shard.
    if (current !== undefined && head !== undefined && current.number === head.number) {
      this.#head = current
      this.#loaded = true
    }
    return false
  }

  /** Deletes full segments whose last write is older than the retention period and its margin. */
  async deleteExpired (signal?: AbortSignal): Promise<void> {
    for (const [key, { entry, writtenAt }] of [...this.#fullSegments]) {
      if (this.#clock.wallMs() - writtenAt <= CLAIM_RETENTION_MS + RETENTION_MARGIN_MS) continue
      await this.#store.delete(key, entry.version, signal)
      this.#fullSegments.delete(key)
    }
  }

  /** Copies a full segment to its own key before the next one replaces it. All writers copy the same content. */
  async #archiveFull (head: CachedSegment, signal?: AbortSignal): Promise<void> {
    const key = segmentKey(this.#shard, head.number)
    const value = head.entry.value
    const result = await this.#store.put(key, value, { expectedVersion: 0 }, signal)
    const version = result.outcome === 'written' ? result.version : result.current?.version ?? 0
    this.#fullSegments.set(key, parseEntry({ key, value, version }))
  }
}

function parseEntry (entry: StoreEntry): CachedSegment {
  const { number, writtenAt, entries } = parseSegment(entry.value)
  return { entry, number, writtenAt, holders: new Map(entries.map(({ identity, holder }) => [identity, holder])) }
}
