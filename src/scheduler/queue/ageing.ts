/**
 * Keeps large requests from starving. While small entries start as soon as anything is free, a gang never finds room.
 * An entry is overtaken when it is refused for capacity in its turn and one behind it starts on the same target type.
 * `AGEING_MS` after that began, it gets a window: until the window ends, entries of the same target type that aren't
 * more urgent are held back, so that freed capacity collects for the entry. Windows double, so that one outlasts the
 * running tasks; a pause as long as the window follows each, so that shares decide for at least half of the time.
 * Waiting alone earns no window, since the queue of an overloaded cell would then be served by age instead of share.
 */
import type { TargetType } from '../../model/target.ts'
import type { WaitingEntry } from './teamQueue.ts'

/** Time from being overtaken to the first window; ordinary bursts pass in less. */
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
  /** Lengths of the next windows of entries that had one. */
  readonly #nextDurations = new WeakMap<WaitingEntry<T>, number>()

  /** Ends windows whose time is over. */
  closeExpiredWindows (now: number): void {
    for (const window of this.#windows.values()) if (now >= window.endsAt) this.#close(window, now)
  }

  /** Says whether an entry must wait for another one's window. */
  isBlocked (waiting: WaitingEntry<T>): boolean {
    if (this.#windows.size === 0) return false
    const window = this.#windows.get(waiting.targetType)
    return window !== undefined && window.holder !== waiting && waiting.entry.urgency >= window.holder.entry.urgency
  }

  /** Holders of windows at an urgency; they are offered first. */
  holdersAt (urgency: number): readonly WaitingEntry<T>[] {
    if (this.#windows.size === 0) return []
    return [...this.#windows.values()].map(window => window.holder).filter(holder => holder.entry.urgency === urgency)
  }

  /** Notes that an entry started although those before it were refused for capacity. */
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

  /** Ends the window of an entry that left the queue, or that capacity alone would not help. */
  end (waiting: WaitingEntry<T>, now: number): void {
    const window = this.#windows.get(waiting.targetType)
    if (window?.holder === waiting) this.#close(window, now)
  }

  #close ({ holder, startedAt }: ReservationWindow<T>, now: number): void {
    const durationMs = now - startedAt
    this.#windows.delete(holder.targetType)
    this.#pausedUntil.set(holder.targetType, now + durationMs)
    this.#nextDurations.set(holder, Math.min(LONGEST_WINDOW_MS, Math.max(FIRST_WINDOW_MS, durationMs * 2)))
    // Counts window and pause as received, so that entries overtaken less long ago get their turn in between.
    holder.bypassedSince! += 2 * durationMs
  }
}
