/** Admission by the load of the coordinator: jobs beyond a team's share are refused while it is busy. */
import type { Clock } from '../../ports/clock.ts'

/** Event loop utilization above which the coordinator falls behind in bursts. */
const BUSY_UTILIZATION = 0.85
/** How long the coordinator counts as busy after a sample; longer than one sampling interval. */
const BUSY_DURATION_MS = 1_000
/** Refused callers retry after 2 to 4 s, spread to avoid synchronized retries. */
const MIN_RETRY_SECONDS = 2
const RETRY_SPREAD_SECONDS = 3

/**
 * Tracks the load of the coordinator. Handles bursts in which its processor is the bound.
 *
 * @example
 * if (!withinShare && admission.busy) return limited(admission.retryAfterSeconds(random))
 */
export class AdmissionControl {
  readonly #clock: Clock
  #busyUntilMs = -Infinity

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Records the event loop utilization since the previous sample, from 0 to 1. */
  recordUtilization (utilization: number): void {
    if (utilization >= BUSY_UTILIZATION) this.#busyUntilMs = this.#clock.monotonicMs() + BUSY_DURATION_MS
  }

  get busy (): boolean {
    return this.#clock.monotonicMs() < this.#busyUntilMs
  }

  /** `random` is in [0, 1). */
  retryAfterSeconds (random: number): number {
    return MIN_RETRY_SECONDS + Math.floor(random * RETRY_SPREAD_SECONDS)
  }
}
