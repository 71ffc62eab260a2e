/** Tells which jobs lie within the rate that their team is owed. */
import type { Clock } from '../ports/clock.ts'

/** A team may save up its share of this time. */
const BURST_SECONDS = 1
const MS_PER_SECOND = 1_000

interface Bucket {
  tokens: number
  filledAtMs: number
}

/**
 * A token bucket for each team.
 *
 * @example
 * const withinShare = buckets.take('weavers', 27)
 */
export class ShareBuckets {
  readonly #clock: Clock
  readonly #buckets = new Map<string, Bucket>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** True if the team has not used up `perSecond` jobs a second. */
  take (team: string, perSecond: number): boolean {
    const nowMs = this.#clock.monotonicMs()
    const size = Math.max(1, perSecond * BURST_SECONDS)
    const bucket = this.#buckets.get(team) ?? { tokens: size, filledAtMs: nowMs }
    const refill = (nowMs - bucket.filledAtMs) / MS_PER_SECOND * perSecond
    bucket.tokens = Math.min(size, bucket.tokens + refill)
    bucket.filledAtMs = nowMs
    this.#buckets.set(team, bucket)
    if (bucket.tokens < 1) return false
    bucket.tokens -= 1
    return true
  }
}
