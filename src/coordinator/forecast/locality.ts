/** Which runs are away from the data of their step, or from the other tasks of their group. */
import type { StepProgress } from '../../jobs/stepProgress.ts'

/** The rack of a target; empty if it is not known. */
export interface RackedTarget {
  readonly rack: string
}

/**
 * Whether a run of the step on the target takes longer than near its data and on one rack. `racks` are those of its group.
 *
 * @example
 * isRemoteFrom(step, session, new Set(['rack-1', 'rack-2'])) // true
 */
export function isRemoteFrom ({ definition }: StepProgress, { rack }: RackedTarget, racks: ReadonlySet<string> = new Set()): boolean {
  return (definition.dataRack !== '' && rack !== definition.dataRack) || racks.size > 1
}
