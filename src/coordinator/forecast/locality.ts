/** Which runs are away from the data of their step, or from the other tasks of their group. */
import type { StepProgress } from '../../jobs/stepProgress.ts'

/** The rack of a target; empty if it is not known. */
export interface RackedTarget {
  readonly rack: string
}

/** Returns the racks of a group's targets; empty for a step that is no group. */
export function racksOf ({ definition }: StepProgress, targets: Iterable<RackedTarget>): ReadonlySet<string> {
  const racks = new Set<string>()
  if (definition.sameRack) for (const { rack } of targets) racks.add(rack)
  return racks
}

/**
 * Whether a run of the step on the target takes longer than near its data and on one rack.
 *
 * @example
 * isRemoteFrom(step, session, racksOf(step, sessions))
 */
export function isRemoteFrom ({ definition }: StepProgress, { rack }: RackedTarget, racks: ReadonlySet<string> = new Set()): boolean {
  return (definition.dataRack !== '' && rack !== definition.dataRack) || racks.size > 1
}
