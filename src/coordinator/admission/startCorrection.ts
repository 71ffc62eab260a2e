/** Corrects estimated waits by what accepted jobs actually waited. */

/** Differences below this are not due to capacity: the log and a start request take about as long. */
const INSIGNIFICANT_WAIT_MS = 150
/** Waits that count before observations, so that one job does not change the factor by much. */
const PRIOR_MS = 2_000
const AVERAGING_MS = 5_000
/** Bounds of the factor: a wrong observation leads neither to refusals of everything nor of nothing. */
const MIN_FACTOR = 0.5
const MAX_FACTOR = 2

interface Observations {
  readonly estimatedMs: number
  readonly actualMs: number
  readonly updatedAtMs: number
}

/**
 * One factor for each priority: actual waits divided by estimated ones, averaged over some seconds and bounded. A
 * successor begins with a factor of 1.
 *
 * @example
 * correction.record(0, 400, 900, nowMs)
 * const waitMs = estimatedMs * correction.factor(0, nowMs)
 */
export class StartCorrection {
  readonly #byPriority = new Map<number, Observations>()

  record (priority: number, estimatedMs: number, actualMs: number, nowMs: number): void {
    // The averages would never become finite again.
    if (!Number.isFinite(estimatedMs) || !Number.isFinite(actualMs)) return
    const { estimatedMs: estimated, actualMs: actual } = this.#decayed(priority, nowMs)
    this.#byPriority.set(priority, {
      estimatedMs: estimated + Math.max(estimatedMs, INSIGNIFICANT_WAIT_MS),
      actualMs: actual + Math.max(actualMs, INSIGNIFICANT_WAIT_MS),
      updatedAtMs: nowMs
    })
  }

  factor (priority: number, nowMs: number): number {
    const { estimatedMs, actualMs } = this.#decayed(priority, nowMs)
    return Math.min(Math.max((actualMs + PRIOR_MS) / (estimatedMs + PRIOR_MS), MIN_FACTOR), MAX_FACTOR)
  }

  #decayed (priority: number, nowMs: number): Observations {
    const observations = this.#byPriority.get(priority)
    if (observations === undefined) return { estimatedMs: 0, actualMs: 0, updatedAtMs: nowMs }
    const share = Math.exp((observations.updatedAtMs - nowMs) / AVERAGING_MS)
    return { estimatedMs: observations.estimatedMs * share, actualMs: observations.actualMs * share, updatedAtMs: nowMs }
  }
}
