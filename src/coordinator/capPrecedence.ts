/** Prevents starvation of gangs under the cap of their team: other steps of the team let the cap drain for a while. */
import type { StepProgress } from '../jobs/stepProgress.ts'

/** Time for which a gang may find the cap of its team in use; by then, most runs that were there before it have ended. */
export const MAX_CAP_WAIT_MS = 10_000
/** Longest time for which the other steps wait for one gang; the cap may be in use by urgent tasks, which do not wait. */
export const MAX_DRAINING_MS = 15_000

/**
 * Remembers the gangs that the cap of their team has kept from starting. When one has waited for `MAX_CAP_WAIT_MS`, the
 * other steps of its team that end and are not urgent wait until it has started, or for `MAX_DRAINING_MS`.
 *
 * @example
 * precedence.startPass(waitingSteps, nowMs)
 * if (!precedence.yields(step) && isCapped(step)) precedence.recordCapped(step, nowMs)
 */
export class CapPrecedence {
  readonly #cappedSinceMs = new Map<StepProgress, number>()
  /** The gang that has waited for longest, by team. */
  #starving: ReadonlyMap<string, StepProgress> = new Map()

  /** Called at the start of each pass over all waiting steps. */
  startPass (waiting: readonly StepProgress[], nowMs: number): void {
    const stillWaiting = new Set(waiting)
    const starving = new Map<string, StepProgress>()
    // In the order of their insertion, which is that of their waiting times.
    for (const [step, sinceMs] of this.#cappedSinceMs) {
      const waitedMs = nowMs - sinceMs
      if (!stillWaiting.has(step) || waitedMs >= MAX_CAP_WAIT_MS + MAX_DRAINING_MS) this.#cappedSinceMs.delete(step)
      else if (waitedMs >= MAX_CAP_WAIT_MS && !starving.has(step.job.team)) starving.set(step.job.team, step)
    }
    this.#starving = starving
  }

  /** Records that the cap of its team keeps a gang from starting although it could hold the gang. */
  recordCapped (step: StepProgress, nowMs: number): void {
    if (!this.#cappedSinceMs.has(step)) this.#cappedSinceMs.set(step, nowMs)
  }

  /** Whether the step must leave the cap of its team to a gang. */
  yields (step: StepProgress): boolean {
    const { job, definition } = step
    const gang = this.#starving.get(job.team)
    return gang !== undefined && gang !== step && !definition.longRunning && job.queue.priority > 0
  }
}
