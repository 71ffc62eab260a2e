/**
 * Prevents starvation of large requests. If small entries start as soon as any capacity is free, a gang never fits.
 * An entry is bypassed when it is refused for lack of capacity in its turn and an entry behind it starts on the same
 * target type. `AGEING_THRESHOLD_MS` after it was first bypassed, it gets a reservation window: until the window ends,
 * entries of the same target type that are not more urgent are blocked, so that freed capacity accumulates for it.
 * Windows double in length until one outlasts the running tasks. Each is followed by a pause of the same length, so
 * that shares determine the order at least half of the time. Waiting time alone does not earn a window, because the
 * queue of an overloaded cell would then be served by age instead of share.
 */
import type { TargetType } from '../../model/target.ts'
import type { WaitingEntry } from './teamQueue.ts'

/** Time from the first bypass to the first window; ordinary bursts are over sooner. */
export const AGEING_THRESHOLD_MS = 5_000
export const FIRST_WINDOW_MS = 2_000
export const LONGEST_WINDOW_MS = 60_000

interface ReservationWindow<T> {
  readonly holder: WaitingEntry<T>
  readonly startedAt: number
  readonly endsAt: number
}

export class Ageing<T> {
  /** At most one window for each target type. */
  readonly #windows = new Map<TargetType, ReservationWindow<T>>()
  readonly #pausedUntil = new Map<TargetType, number>()
  /** Length of the next window of each entry that has had one. */
  readonly #nextDurations = new WeakMap<WaitingEntry<T>, number>()

  closeExpiredWindows (now: number): void {
    for (const window of this.#windows.values()) if (now >= window.endsAt) this.#close(window, now)
  }

  /** Returns whether the window of another entry blocks this one. */
  isBlocked (waiting: WaitingEntry<T>): boolean {
    if (this.#windows.size === 0) return false
    const window = this.#windows.get(waiting.targetType)
    return window !== undefined && window.holder !== waiting && waiting.entry.urgency >= window.holder.entry.urgency
  }

  /** Returns the entries of an urgency that hold a window; they are offered first. */
  holdersAt (urgency: number): readonly WaitingEntry<T>[] {
    if (this.#windows.size === 0) return []
    return [...this.#windows.values()].map(window => window.holder).filter(holder => holder.entry.urgency === urgency)
  }

  /**
   * Records that an entry started on the target type although the entries ahead of it were refused for lack of capacity.
   * Opens a window for the one bypassed longest if it has reached the threshold and no window or pause is in effect.
   */
  recordBypass (targetType: TargetType, refused: readonly WaitingEntry<T>[], now: number): void {
    let longestBypassed: WaitingEntry<T> | undefined
    for (const waiting of refused) {
      if (waiting.targetType !== targetType) continue
      waiting.bypassedSince ??= now
      if (longestBypassed === undefined || waiting.bypassedSince < longestBypassed.bypassedSince!) longestBypassed = waiting
    }
    if (longestBypassed === undefined || now - longestBypassed.bypassedSince! < AGEING_THRESHOLD_MS) return
    if (this.#windows.has(targetType) || now < (this.#pausedUntil.get(targetType) ?? -Infinity)) return
    const durationMs = this.#nextDurations.get(longestBypassed) ?? FIRST_WINDOW_MS
    this.#windows.set(targetType, { holder: longestBypassed, startedAt: now, endsAt: now + durationMs })
  }

  /** Closes the window, if any, of an entry that left the queue or that cannot start for a reason other than capacity. */
  end (waiting: WaitingEntry<T>, now: number): void {
    const window = this.#windows.get(waiting.targetType)
    if (window?.holder === waiting) this.#close(window, now)
  }

  #close ({ holder, startedAt }: ReservationWindow<T>, now: number): void {
    const durationMs = now - startedAt
    this.#windows.delete(holder.targetType)
    this.#pausedUntil.set(holder.targetType, now + durationMs)
    this.#nextDurations.set(holder, Math.min(LONGEST_WINDOW_MS, Math.max(FIRST_WINDOW_MS, durationMs * 2)))
    // Deducts the window and the pause from the bypass time, so that entries bypassed for less time get a window in between.
    holder.bypassedSince! += 2 * durationMs
  }
}
