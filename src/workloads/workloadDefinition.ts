/** What a kind of work is: where it runs, how urgent it is and how its targets are chosen. */
import type { KindName } from '../model/request.ts'
import type { Resources } from '../model/resources.ts'
import type { TargetType } from '../model/target.ts'

/** Lower is served first. */
export type Urgency = 0 | 1 | 2

/** A target that fits, as placement policies see it. */
export interface PlacementCandidate {
  readonly rack: string
  readonly capacity: Resources
  readonly free: Resources
}

export interface PlacementContext {
  /** Tasks of the same team and kind in the rack; counted only for policies that spread over racks. */
  tasksInRack (rack: string): number
}

export interface PlacementPolicy {
  /** Which end of the free-capacity index is sampled first. */
  readonly searchOrder: 'tightest-first' | 'emptiest-first'
  readonly spreadsOverRacks: boolean
  /** Rates a target that fits; the lowest score is chosen. */
  score (candidate: PlacementCandidate, size: Resources, context: PlacementContext): number
}

export interface WorkloadDefinition {
  readonly kind: KindName
  readonly urgency: Urgency
  /** The caller's answer comes when the work has started. */
  readonly detached: boolean
  readonly checkpointable: boolean
  readonly defaultSize: Resources
  readonly policy: PlacementPolicy
  targetType (size: Resources): TargetType
}
