/** One shard of the claim log as an instance knows it: all segments within the retention period. */
import type { Clock } from '../../ports/clock.ts'
import type { ClaimEntry } from '../../ports/peerClient.ts'
import type { Store, StoreEntry } from '../../ports/store.ts'
import { CLAIM_RETENTION_MS, isFull, parseSegment, segmentKey, segmentNumber, serialiseSegment, shardPrefix } from './claimSegment.ts'

/** Segments are kept this much longer than the retention period, for clock skew and slow writers. */
const RETENTION_MARGIN_MS = 60_000

/** The known segments must have been the latest ones within this time when a write succeeds. */
const LONGEST_KNOWLEDGE_MS = CLAIM_RETENTION_MS - RETENTION_MARGIN_MS

interface KnownSegment {
  readonly entry: StoreEntry | undefined
  readonly holders: ReadonlyMap<string, string>
}

export class ClaimShard {
  readonly #store: Store
  readonly #clock: Clock
  readonly #shard: number
  /** In order; the last one is the present segment. */
  #segments = new Map<number, KnownSegment>()
  /** When the call began whose answer showed that the present segment was the latest; undefined before loading. */
  #currentAsOfMs: number | undefined

  constructor (store: Store, clock: Clock, shard: number) {
    this.#store = store
    this.#clock = clock
    this.#shard = shard
  }

  /** Reads the shard's segments unless they are known. */
  async ensureLoaded (signal?: AbortSignal): Promise<void> {
    if (this.#currentAsOfMs !== undefined) return
    const startedMs = this.#clock.monotonicMs()
    const entries = await this.#store.list(shardPrefix(this.#shard), signal)
    this.#segments = new Map(entries.map(entry => [segmentNumber(entry.key), knowSegment(entry)]))
    this.#currentAsOfMs = startedMs
  }

  findHolder (identity: string): string | undefined {
    for (const segment of this.#segments.values()) {
      const holder = segment.holders.get(identity)
      if (holder !== undefined) return holder
    }
    return undefined
  }

  /**
   * Tries once to append claims to the present segment. True if they are in it, false if another writer was first
   * and its claims must be looked at. A rejected call leaves the shard unloaded, so that reading settles it.
   */
  async append (claims: readonly ClaimEntry[], signal?: AbortSignal): Promise<boolean> {
    const startedMs = this.#clock.monotonicMs()
    const { number, entry } = this.#present()
    const key = segmentKey(this.#shard, number)
    const value = serialiseSegment({
      writtenAt: this.#clock.wallMs(), entries: [...(entry === undefined ? [] : parseSegment(entry.value).entries), ...claims]
    })
    const asOfMs = this.#currentAsOfMs
    this.#currentAsOfMs = undefined
    const result = await this.#store.put(key, value, { expectedVersion: entry?.version ?? 0 }, signal)
    const current = result.outcome === 'written' ? { key, value, version: result.version } : result.current
    // After a longer pause, later segments may exist, and this one may have been deleted and created anew.
    const known = asOfMs !== undefined && this.#clock.monotonicMs() - asOfMs <= LONGEST_KNOWLEDGE_MS
    if (!known || current === undefined) return false
    this.#segments.set(number, knowSegment(current))
    this.#currentAsOfMs = startedMs
    return result.outcome === 'written'
  }

  /** Deletes segments that were last written before the retention period; the latest one stays. */
  async deleteOld (signal?: AbortSignal): Promise<void> {
    const present = this.#present().number
    for (const [number, { entry }] of [...this.#segments]) {
      if (number === present || entry === undefined) continue
      const age = this.#clock.wallMs() - parseSegment(entry.value).writtenAt
      if (age <= CLAIM_RETENTION_MS + RETENTION_MARGIN_MS) continue
      await this.#store.delete(entry.key, entry.version, signal)
      this.#segments.delete(number)
    }
  }

  /** The segment that takes the next claims. */
  #present (): { readonly number: number, readonly entry: StoreEntry | undefined } {
    const number = Math.max(0, ...this.#segments.keys())
    const entry = this.#segments.get(number)?.entry
    return entry !== undefined && isFull(entry.value) ? { number: number + 1, entry: undefined } : { number, entry }
  }
}

function knowSegment (entry: StoreEntry): KnownSegment {
  return { entry, holders: new Map(parseSegment(entry.value).entries.map(({ identity, holder }) => [identity, holder])) }
}
