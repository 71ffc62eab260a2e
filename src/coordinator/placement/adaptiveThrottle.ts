/** Throttles a repeated action: it runs soon after a request, after a delay that grows with its last duration. */
import type { TimerClock } from '../../ports/clock.ts'

export interface ThrottleLimits {
  /** Requests within this time share one run. */
  readonly minDelayMs: number
  readonly maxDelayMs: number
  /** Minimum delay as a multiple of the last run's duration, so that other work gets processor time. */
  readonly idleFactor: number
}

/**
 * Each request is followed by a run, which later requests share until it starts.
 *
 * @example
 * const passes = new AdaptiveThrottle(clock, { minDelayMs: 5, maxDelayMs: 100, idleFactor: 3 }, () => place())
 * passes.request()
 */
export class AdaptiveThrottle {
  readonly #clock: TimerClock
  readonly #limits: ThrottleLimits
  readonly #run: () => void
  #cancel: (() => void) | undefined
  #lastDurationMs = 0

  constructor (clock: TimerClock, limits: ThrottleLimits, run: () => void) {
    this.#clock = clock
    this.#limits = limits
    this.#run = run
  }

  request (): void {
    if (this.#cancel !== undefined) return
    const { minDelayMs, maxDelayMs, idleFactor } = this.#limits
    this.#cancel = this.#clock.schedule(Math.min(Math.max(minDelayMs, this.#lastDurationMs * idleFactor), maxDelayMs), () => {
      this.#cancel = undefined
      const begunMs = this.#clock.monotonicMs()
      this.#run()
      this.#lastDurationMs = this.#clock.monotonicMs() - begunMs
    })
  }

  /** Cancels a scheduled run. */
  close (): void {
    this.#cancel?.()
  }
}
