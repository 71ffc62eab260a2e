/** Definition of a kind of work: its target type, its urgency and how its targets are chosen. */
import type { KindName } from '../model/request.ts'
import type { Resources } from '../model/resources.ts'
import type { TargetType } from '../model/target.ts'

/** Lower values are served first. */
export type Urgency = 0 | 1 | 2

/** The properties of a fitting target that placement policies consider. */
export interface PlacementCandidate {
  readonly rack: string
  readonly capacity: Resources
  readonly free: Resources
}

export interface PlacementContext {
  /** Returns the number of tasks of the same team and kind in the rack; counted only for policies that spread over racks. */
  tasksInRack (rack: string): number
}

export interface PlacementPolicy {
  /** The end of the free-capacity index at which sampling starts. */
  readonly searchOrder: 'tightest-first' | 'emptiest-first'
  readonly spreadsOverRacks: boolean
  /** Scores a fitting target; the target with the lowest score is chosen. */
  score (candidate: PlacementCandidate, size: Resources, context: PlacementContext): number
}

export interface WorkloadDefinition {
  readonly kind: KindName
  readonly urgency: Urgency
  /** Whether the caller is answered when the work has started instead of when it has finished. */
  readonly detached: boolean
  readonly checkpointable: boolean
  readonly defaultSize: Resources
  readonly policy: PlacementPolicy
  targetType (size: Resources): TargetType
}
