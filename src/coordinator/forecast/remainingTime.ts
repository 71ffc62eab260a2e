/** Expected ends of single runs. */
import type { TimerClock } from '../../ports/clock.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import type { Assignment } from '../targets/assignment.ts'
import type { RunTimes } from './runTimes.ts'

export type ClockReader = Pick<TimerClock, 'monotonicMs'>

/** Run times that may tell which fraction of the runs does not last longer than a given time, without a search. */
export type SurveyedRunTimes = RunTimes & { readonly fractionWithin?: (step: StepProgress, durationMs: number) => number | undefined }

/** A run that is being stopped ends within a stop request, its answer and a report. */
const STOP_MS = 500
/** Of a run with an unknown start, half of its time is over on average. */
const UNKNOWN_START_FRACTION = 0.5
/** A run that has lasted longer than all known ones is expected to take this fraction of its time so far once more. */
const OUTLIER_FRACTION = 0.5
/** Steps of the search for a fraction of the runs; accurate to 1/64. */
const SEARCH_STEPS = 6

/**
 * Returns the time at which a run is expected to end, on the clock of `nowMs`; not before `nowMs`, and `Infinity` for a
 * lasting task.
 *
 * @example
 * const remainingMs = expectedEndMs(assignment, runTimes, nowMs) - nowMs
 */
export function expectedEndMs (assignment: Assignment, runTimes: SurveyedRunTimes, nowMs: number): number {
  const { task: { step }, state, startedAtMs, reservedAtMs, isRemote } = assignment
  if (step.definition.longRunning) return Infinity
  const factor = isRemote ? runTimes.remoteFactor(step) : 1
  if (startedAtMs === undefined) {
    const fraction = state === 'reserved' || state === 'starting' ? 1 : UNKNOWN_START_FRACTION
    return Math.max(reservedAtMs + runTimes.expectedMs(step) * factor * fraction, nowMs)
  }
  const elapsedMs = nowMs - startedAtMs
  const remainingMs = remainingTimeMs(step, elapsedMs / factor, runTimes) * factor
  return nowMs + (state === 'stopping' ? Math.min(remainingMs, STOP_MS) : remainingMs)
}

/**
 * Returns the median of the remaining times of the runs that have lasted for `elapsedMs` or longer.
 *
 * @example
 * remainingTimeMs(step, 0, runTimes) // runTimes.quantileMs(step, 0.5)
 */
export function remainingTimeMs (step: StepProgress, elapsedMs: number, runTimes: SurveyedRunTimes): number {
  if (elapsedMs <= runTimes.quantileMs(step, 0)) return runTimes.quantileMs(step, 0.5) - elapsedMs
  const ended = runTimes.fractionWithin?.(step, elapsedMs) ?? findFraction(step, elapsedMs, runTimes)
  const remainingMs = runTimes.quantileMs(step, (1 + ended) / 2) - elapsedMs
  return remainingMs > 0 ? remainingMs : elapsedMs * OUTLIER_FRACTION
}

/** Returns the fraction of the runs that end within the elapsed time. */
function findFraction (step: StepProgress, elapsedMs: number, runTimes: RunTimes): number {
  let ended = 0
  let notEnded = 1
  for (let count = 0; count < SEARCH_STEPS; count++) {
    const middle = (ended + notEnded) / 2
    if (runTimes.quantileMs(step, middle) <= elapsedMs) ended = middle
    else notEnded = middle
  }
  return ended
}
