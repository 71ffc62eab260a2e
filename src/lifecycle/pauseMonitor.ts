/** Notices that the process did not run for a while, since it was paused or its event loop was blocked. */
import type { CancelTimer, TimerClock } from '../ports/clock.ts'
import type { Component } from './component.ts'

const CHECK_INTERVAL_MS = 500
/** What has arrived during a pause is read within this time after it. */
const READ_TIME_MS = 2_000

/**
 * Input that is read soon after a pause may have been sent at any time during it, so that times counted from when it is read
 * are too short.
 *
 * @example
 * const monitor = new PauseMonitor(clock)
 * await monitor.start()
 * monitor.inputAgeMs // 0
 */
export class PauseMonitor implements Component {
  readonly name = 'pause monitor'
  readonly #clock: TimerClock
  #checkedAtMs: number
  #pausedMs = 0
  #resumedAtMs = -Infinity
  #cancelCheck: CancelTimer = () => {}

  constructor (clock: TimerClock) {
    this.#clock = clock
    this.#checkedAtMs = clock.monotonicMs()
  }

  async start (): Promise<void> {
    this.#checkedAtMs = this.#clock.monotonicMs()
    this.#scheduleCheck()
  }

  async stop (): Promise<void> {
    this.#cancelCheck()
  }

  /** Longest time in milliseconds for which input that is read now may have waited for the process; 0 without a pause. */
  get inputAgeMs (): number {
    const nowMs = this.#clock.monotonicMs()
    // Input may be read after a pause before the timer of the check expires.
    const unnoticedMs = nowMs - this.#checkedAtMs - CHECK_INTERVAL_MS
    const sinceResumedMs = nowMs - this.#resumedAtMs
    return Math.max(0, unnoticedMs, sinceResumedMs < READ_TIME_MS ? this.#pausedMs + sinceResumedMs : 0)
  }

  #scheduleCheck (): void {
    this.#cancelCheck = this.#clock.schedule(CHECK_INTERVAL_MS, () => this.#check())
  }

  #check (): void {
    const nowMs = this.#clock.monotonicMs()
    const pausedMs = nowMs - this.#checkedAtMs - CHECK_INTERVAL_MS
    this.#checkedAtMs = nowMs
    // A short pause soon after a long one does not hide it.
    if (pausedMs > 0 && (pausedMs >= this.#pausedMs || nowMs - this.#resumedAtMs >= READ_TIME_MS)) [this.#pausedMs, this.#resumedAtMs] = [pausedMs, nowMs]
    this.#scheduleCheck()
  }
}
