/** A clock for tests: time passes only by `advance`. */
import type { CancelTimer, TimerClock } from '../../ports/clock.ts'

interface Sleeper {
  readonly wakeAt: number
  readonly order: number
  readonly wake: () => void
}

/** Turns of the event loop after each wake-up, enough for chained promises of fakes to settle. */
const SETTLE_TURNS = 3

export class ManualClock implements TimerClock {
  #now: number
  #order = 0
  #wallOffset: number
  readonly #sleepers = new Set<Sleeper>()

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

  /** Moves the wall clock alone, as a suspension of the machine does. */
  suspend (durationMs: number): void {
    this.#wallOffset += durationMs
  }

  sleep (durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) return reject(signal.reason)
      const onAbort = (): void => {
        this.#sleepers.delete(sleeper)
        reject(signal?.reason)
      }
      const sleeper: Sleeper = {
        wakeAt: this.#now + Math.max(0, durationMs),
        order: this.#order++,
        wake: () => {
          signal?.removeEventListener('abort', onAbort)
          resolve()
        }
      }
      signal?.addEventListener('abort', onAbort, { once: true })
      this.#sleepers.add(sleeper)
    })
  }

  schedule (durationMs: number, action: () => void): CancelTimer {
    const sleeper: Sleeper = { wakeAt: this.#now + Math.max(0, durationMs), order: this.#order++, wake: action }
    this.#sleepers.add(sleeper)
    return () => { this.#sleepers.delete(sleeper) }
  }

  /** Lets time pass, waking sleepers in order of their times. */
  async advance (durationMs: number): Promise<void> {
    const end = this.#now + durationMs
    await this.settle()
    for (let next = this.#nextBefore(end); next !== undefined; next = this.#nextBefore(end)) {
      this.#now = Math.max(this.#now, next.wakeAt)
      this.#sleepers.delete(next)
      next.wake()
      await this.settle()
    }
    this.#now = end
  }

  /** Lets pending promises run without passing time. */
  async settle (): Promise<void> {
    for (let turn = 0; turn < SETTLE_TURNS; turn++) await new Promise(resolve => setImmediate(resolve))
  }

  #nextBefore (end: number): Sleeper | undefined {
    let next: Sleeper | undefined
    for (const sleeper of this.#sleepers) {
      if (sleeper.wakeAt > end) continue
      if (next === undefined || sleeper.wakeAt < next.wakeAt ||
        (sleeper.wakeAt === next.wakeAt && sleeper.order < next.order)) next = sleeper
    }
    return next
  }
}
