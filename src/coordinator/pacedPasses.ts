/** Runs a repeated piece of work soon after it is asked for, with a rest that grows with its duration. */
import type { TimerClock } from '../ports/clock.ts'

export interface PaceLimits {
  /** Collects what is asked for within this time. */
  readonly shortestDelayMs: number
  readonly longestDelayMs: number
  /** The next run waits at least this many times as long as the last one took, so that other work gets its turn. */
  readonly restFactor: number
}

/**
 * Each request is followed by a run; requests that come before it share it.
 *
 * @example
 * const passes = new PacedPasses(clock, { shortestDelayMs: 5, longestDelayMs: 100, restFactor: 3 }, () => place())
 * passes.request()
 */
export class PacedPasses {
  readonly #clock: TimerClock
  readonly #limits: PaceLimits
  readonly #run: () => void
  #cancel: (() => void) | undefined
  #lastMs = 0

  constructor (clock: TimerClock, limits: PaceLimits, run: () => void) {
    this.#clock = clock
    this.#limits = limits
    this.#run = run
  }

  request (): void {
    if (this.#cancel !== undefined) return
    const { shortestDelayMs, longestDelayMs, restFactor } = this.#limits
    this.#cancel = this.#clock.schedule(Math.min(Math.max(shortestDelayMs, this.#lastMs * restFactor), longestDelayMs), () => {
      this.#cancel = undefined
      const begunMs = this.#clock.monotonicMs()
      this.#run()
      this.#lastMs = this.#clock.monotonicMs() - begunMs
    })
  }

  /** A run that was asked for does not take place any more. */
  close (): void {
    this.#cancel?.()
  }
}
