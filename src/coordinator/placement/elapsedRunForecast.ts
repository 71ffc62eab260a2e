/** Expected ends of runs by their expected run times and the time for which they have run. */
import type { Clock } from '../../ports/clock.ts'
import type { RoomForecast } from '../forecast/roomForecast.ts'
import type { RunTimes } from '../forecast/runTimes.ts'
import type { TargetSession } from '../targets/targetSession.ts'

/** The end of a run is reported this late at most times. */
const MIN_REMAINING_MS = 60

/** What a reservation needs of the forecast. */
export type RunForecast = Pick<RoomForecast, 'remainingMs'>

/**
 * A run that has exceeded its expected time is expected to take as long again as it has exceeded it.
 *
 * @example
 * new ElapsedRunForecast(clock, new DeclaredRunTimes()).remainingMs(target, assignment.key)
 */
export class ElapsedRunForecast implements RunForecast {
  readonly #clock: Clock
  readonly #runTimes: RunTimes

  constructor (clock: Clock, runTimes: RunTimes) {
    this.#clock = clock
    this.#runTimes = runTimes
  }

  remainingMs (target: TargetSession, runKey: string): number {
    const assignment = target.assignments.get(runKey)
    if (assignment === undefined) return 0
    const { task: { step }, state, firstReportedAtMs, reservedAtMs } = assignment
    if (state === 'stopping') return MIN_REMAINING_MS
    if (step.definition.longRunning) return Infinity
    const startedAtMs = Number.isFinite(firstReportedAtMs) ? firstReportedAtMs : reservedAtMs
    const leftMs = this.#runTimes.expectedMs(step) - (this.#clock.monotonicMs() - startedAtMs)
    return Math.max(MIN_REMAINING_MS, leftMs, -leftMs)
  }
}
