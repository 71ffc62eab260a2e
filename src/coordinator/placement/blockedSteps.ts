/** Tracks since when steps have waited for capacity that is kept for others, and ends these waits. */
import type { StepProgress } from '../../jobs/stepProgress.ts'

/**
 * A job may have nothing running for 3 s at most, while there is room and its team uses less than half of its cap. A
 * step that has waited behind kept capacity for this long uses it.
 */
const MAX_BLOCKED_MS = 2_000
/** A step may wait for another reason in between, such as a place near its data; its time goes on for so long. */
const BLOCKED_RETENTION_MS = 1_000

/** Since when, and until when, a step has waited. */
interface BlockedTime {
  readonly sinceMs: number
  readonly lastMs: number
}

/**
 * `TaskPlacer` and `PlacementReservations` use the time; which waits count is decided by the caller of `record`.
 *
 * One time for each step, whatever the capacity is kept by: a step that waits behind a reservation and then behind a kept
 * target does not wait twice as long.
 *
 * @example
 * blocked.record(step, nowMs, true)
 * blocked.isOverdue(step, nowMs) // true 2 s later, if it is recorded in each pass until then
 */
export class BlockedSteps {
  readonly #times = new Map<StepProgress, BlockedTime>()

  /** Whether any step waits. */
  get any (): boolean {
    return this.#times.size > 0
  }

  has (step: StepProgress): boolean {
    return this.#times.has(step)
  }

  /** Whether the step has waited for so long that it may use what is kept for others. */
  isOverdue (step: StepProgress, nowMs: number): boolean {
    return nowMs - (this.#times.get(step)?.sinceMs ?? nowMs) >= MAX_BLOCKED_MS
  }

  /** Time until the step may use what is kept for others; undefined if it does not wait behind that. */
  remainingMs (step: StepProgress, nowMs: number): number | undefined {
    const time = this.#times.get(step)
    return time === undefined ? undefined : Math.max(0, Math.round(time.sinceMs + MAX_BLOCKED_MS - nowMs))
  }

  /** Records that a step could have started if nothing were kept for others; the time counts if its wait is to be bounded. */
  record (step: StepProgress, nowMs: number, counts: boolean): void {
    this.#times.set(step, { sinceMs: counts ? this.#times.get(step)?.sinceMs ?? nowMs : nowMs, lastMs: nowMs })
  }

  /** Records that a task of the step was placed. */
  recordStart (step: StepProgress): void {
    this.#times.delete(step)
  }

  /** Forgets steps that have not waited lately, and those of finished jobs. */
  expire (nowMs: number): void {
    for (const [step, { lastMs }] of this.#times) if (nowMs - lastMs > BLOCKED_RETENTION_MS || step.job.outcome !== undefined) this.#times.delete(step)
  }
}
