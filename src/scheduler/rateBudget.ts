/** Rate limiting with one token bucket per owner. */
import type { Clock } from '../ports/clock.ts'

export interface RateAllowance {
  readonly perSecond: number
  readonly burst: number
}

interface Bucket {
  tokens: number
  refilledAtMs: number
}

const MS_PER_SECOND = 1_000

/**
 * One token bucket per owner, initially full.
 *
 * @example
 * const budget = new RateBudget(clock, team => ({ perSecond: 27, burst: 27 }))
 * const withinShare = budget.tryTake('weavers', 1)
 */
export class RateBudget {
  readonly #clock: Pick<Clock, 'monotonicMs'>
  readonly #allowanceOf: (owner: string) => RateAllowance
  readonly #buckets = new Map<string, Bucket>()

  constructor (clock: Pick<Clock, 'monotonicMs'>, allowanceOf: (owner: string) => RateAllowance) {
    this.#clock = clock
    this.#allowanceOf = allowanceOf
  }

  /** Returns the tokens that the owner may take now; negative while recorded use exceeds the rate. */
  available (owner: string): number {
    return this.#refill(owner).tokens
  }

  /** Takes the tokens, or returns false if the owner has too few. */
  tryTake (owner: string, tokens: number): boolean {
    if (this.available(owner) < tokens) return false
    this.record(owner, tokens)
    return true
  }

  /** Subtracts tokens whose number was not known in advance, even if the balance becomes negative. */
  record (owner: string, tokens: number): void {
    this.#refill(owner).tokens -= tokens
  }

  forget (owner: string): void {
    this.#buckets.delete(owner)
  }

  #refill (owner: string): Bucket {
    const nowMs = this.#clock.monotonicMs()
    const { perSecond, burst } = this.#allowanceOf(owner)
    const bucket = this.#buckets.get(owner) ?? { tokens: burst, refilledAtMs: nowMs }
    this.#buckets.set(owner, bucket)
    bucket.tokens = Math.min(burst, bucket.tokens + perSecond * (nowMs - bucket.refilledAtMs) / MS_PER_SECOND)
    bucket.refilledAtMs = nowMs
    return bucket
  }
}
