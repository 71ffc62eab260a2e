/** Runs a repeated piece of work soon after it is asked for, with a rest that grows with its duration. */
import type { TimerClock } from '../ports/clock.ts'

export interface ThrottleLimits {
  /** Collects what is asked for within this time. */
  readonly minDelayMs: number
  readonly maxDelayMs: number
  /** The next run waits at least this many times as long as the last one took, so that other work gets its turn. */
  readonly idleFactor: number
}

/**
 * Each request is followed by a run; requests that come before it share it.
 *
 * @example
 * const passes = new PacedPasses(clock, { minDelayMs: 5, maxDelayMs: 100, idleFactor: 3 }, () => place())
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

  /** A run that was asked for does not take place any more. */
  close (): void {
    this.#cancel?.()
  }
}
