/** Expected run times of tasks. */
import { boundRunTimeMs } from '../../jobs/job.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'

/**
 * Estimates how long runs take, from declared run times and from the runs that have ended.
 *
 * @example
 * const endsAtMs = nowMs + runTimes.expectedMs(step)
 */
export interface RunTimes {
  /** Expected time in milliseconds from the start of one task of the step to its end, near its data and on one rack. */
  expectedMs (step: StepProgress): number
  /** The time in milliseconds that the given fraction of such runs does not exceed; the fraction is between 0 and 1. */
  quantileMs (step: StepProgress, fraction: number): number
  /** Factor by which a run takes longer away from the step's data, or on more than one rack for a group; at least 1. */
  remoteFactor (step: StepProgress): number
}

/** Takes the declared run times as they are, but for bounds, which jobs of an older log may exceed. */
export class DeclaredRunTimes implements RunTimes {
  expectedMs ({ definition }: StepProgress): number {
    return boundRunTimeMs(definition.estimateMs)
  }

  quantileMs ({ definition }: StepProgress): number {
    return boundRunTimeMs(definition.estimateMs)
  }

  remoteFactor (): number {
    return 1
  }
}
