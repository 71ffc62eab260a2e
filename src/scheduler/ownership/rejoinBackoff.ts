/** Exponential backoff with jitter before an instance that was removed from the members may rejoin. */
import type { Clock } from '../../ports/clock.ts'
import type { Random } from '../../ports/random.ts'
import { LONGEST_REJOIN_BACKOFF_MS, REJOIN_BACKOFF_MS } from './ownershipTiming.ts'

export class RejoinBackoff {
  readonly #clock: Clock
  readonly #random: Random
  #delayMs = 0
  #endMs = -Infinity

  constructor (clock: Clock, random: Random) {
    this.#clock = clock
    this.#random = random
  }

  hasElapsed (): boolean {
    return this.#clock.monotonicMs() >= this.#endMs
  }

  recordRemoval (): void {
    const now = this.#clock.monotonicMs()
    const sinceEndMs = now - this.#endMs
    const resets = sinceEndMs > LONGEST_REJOIN_BACKOFF_MS
    this.#delayMs = resets ? REJOIN_BACKOFF_MS : Math.min(LONGEST_REJOIN_BACKOFF_MS, this.#delayMs * 2)
    this.#endMs = now + this.#delayMs * (0.5 + this.#random.next() / 2)
  }
}
