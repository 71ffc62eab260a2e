/** Exponential backoff with jitter before an instance that was removed from the members may rejoin. */
import type { Clock } from '../../ports/clock.ts'
import type { Random } from '../../ports/random.ts'
import { LONGEST_REJOIN_BACKOFF_MS, REJOIN_BACKOFF_MS } from './ownershipTiming.ts'

export class RejoinBackoff {
  readonly #clock: Clock
  readonly #random: Random
  #lastMs = 0
  #endMs = -Infinity

  constructor (clock: Clock, random: Random) {
    this.#clock = clock
    this.#random = random
  }

  isOver (): boolean {
    return this.#clock.monotonicMs() >= this.#endMs
  }

  noteRemoval (): void {
    const now = this.#clock.monotonicMs()
    const undisturbedMs = now - this.#endMs
    const calm = undisturbedMs > LONGEST_REJOIN_BACKOFF_MS
    this.#lastMs = calm ? REJOIN_BACKOFF_MS : Math.min(LONGEST_REJOIN_BACKOFF_MS, this.#lastMs * 2)
    this.#endMs = now + this.#lastMs * (0.5 + this.#random.next() / 2)
  }
}
