/** When room for tasks becomes free. */
import type { ComputeResources } from '../placement/placeStep.ts'
import type { TargetSession } from '../targets/targetSession.ts'

/** Tasks of one size that are to run at the same time. */
export interface RoomRequest {
  readonly service: string
  /** What one task needs. */
  readonly size: ComputeResources
  readonly tasks: number
  /** Whether tasks may run on the target; all of the service's targets if missing. */
  readonly permits?: (target: TargetSession) => boolean
}

/**
 * Forecasts from the expected ends of the runs that are placed. What waits is not considered.
 *
 * @example
 * const waitMs = forecast.timeUntilRoomMs({ service: 'render', size, tasks: 8 })
 */
export interface RoomForecast {
  /**
   * Milliseconds until the permitted targets have room for all the tasks, if nothing else is placed there; 0 if they have
   * it now, `Infinity` if they would not have it when empty.
   */
  timeUntilRoomMs (request: RoomRequest): number
  /** Processors of the service that are free now or are expected to be released within the given milliseconds. */
  processorsWithin (service: string, withinMs: number): number
  /** Milliseconds until the run on the target is expected to end; `Infinity` for a lasting task. */
  remainingMs (target: TargetSession, runKey: string): number
}
