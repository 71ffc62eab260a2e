/** A clock for tests whose time advances only on `advance`. */
import type { CancelTimer, TimerClock } from '../../ports/clock.ts'

interface PendingTimer {
  readonly dueAt: number
  readonly order: number
  readonly fire: () => void
}

/** Event-loop iterations after each timer, enough for the chained promises of test doubles to settle. */
const SETTLE_ITERATIONS = 3

export class ManualClock implements TimerClock {
  #now: number
  #order = 0
  #wallOffset: number
  readonly #timers = new Set<PendingTimer>()

  constructor (startMs = 0, wallOffsetMs = 1_700_000_000_000) {
    this.#now = startMs
    this.#wallOffset = wallOffsetMs
  }

  monotonicMs (): number {
    return this.#now
  }

  wallMs (): number {
    return this.#now + this.#wallOffset
  }

  /** Advances only the wall clock, as a suspended machine does. */
  suspend (durationMs: number): void {
    this.#wallOffset += durationMs
  }

  /** Advances both clocks without firing timers, as they appear to a process that was paused. */
  pause (durationMs: number): void {
    this.#now += durationMs
  }

  sleep (durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) return reject(signal.reason)
      const onAbort = (): void => {
        this.#timers.delete(timer)
        reject(signal?.reason)
      }
      const timer: PendingTimer = {
        dueAt: this.#now + Math.max(0, durationMs),
        order: this.#order++,
        fire: () => {
          signal?.removeEventListener('abort', onAbort)
          resolve()
        }
      }
      signal?.addEventListener('abort', onAbort, { once: true })
      this.#timers.add(timer)
    })
  }

  schedule (durationMs: number, action: () => void): CancelTimer {
    const timer: PendingTimer = { dueAt: this.#now + Math.max(0, durationMs), order: this.#order++, fire: action }
    this.#timers.add(timer)
    return () => { this.#timers.delete(timer) }
  }

  /** Advances the time, firing due timers in order of their due times. */
  async advance (durationMs: number): Promise<void> {
    const end = this.#now + durationMs
    await this.settle()
    for (let next = this.#nextDueBy(end); next !== undefined; next = this.#nextDueBy(end)) {
      this.#now = Math.max(this.#now, next.dueAt)
      this.#timers.delete(next)
      next.fire()
      await this.settle()
    }
    this.#now = Math.max(this.#now, end)
  }

  /** Runs pending promise callbacks without advancing the time. */
  async settle (): Promise<void> {
    for (let iteration = 0; iteration < SETTLE_ITERATIONS; iteration++) await new Promise(resolve => setImmediate(resolve))
  }

  #nextDueBy (end: number): PendingTimer | undefined {
    let next: PendingTimer | undefined
    for (const timer of this.#timers) {
      if (timer.dueAt > end) continue
      if (next === undefined || timer.dueAt < next.dueAt ||
        (timer.dueAt === next.dueAt && timer.order < next.order)) next = timer
    }
    return next
  }
}
