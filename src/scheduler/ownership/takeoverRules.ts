/** When a target may be taken from an owner that did not hand it over; depends on what the target supports. */
import type { TargetFeatures } from '../../model/target.ts'
import { CLOCK_SKEW_MS, LONGEST_REQUEST_MS, LONGEST_TASK_LEASE_MS, START_BY_WINDOW_MS } from './ownershipTiming.ts'

/** What an instance knows about the present owner of a target. */
export interface OwnerView {
  /** The record names the owner as a member. */
  readonly member: boolean
  readonly suspected: boolean
  /** Time since this instance first saw that the list shows the owner gone; undefined while it is listed. */
  readonly listedGoneForMs: number | undefined
  /** Time since this instance first saw that the owner released the target; undefined if it did not. */
  readonly releasedForMs: number | undefined
}

export interface TakeoverRule {
  mayTake (owner: OwnerView): boolean
}

/** The target refuses the old owner once fenced, so that a false suspicion is harmless. */
export class FencingTakeover implements TakeoverRule {
  mayTake (owner: OwnerView): boolean {
    return owner.releasedForMs !== undefined || !owner.member || owner.suspected || owner.listedGoneForMs !== undefined
  }
}

/** The target refuses what was sent longer ago than the start-by window. */
export class StartByTakeover implements TakeoverRule {
  mayTake (owner: OwnerView): boolean {
    const stoppedForMs = owner.releasedForMs ?? owner.listedGoneForMs
    return stoppedForMs !== undefined && stoppedForMs >= START_BY_WINDOW_MS + CLOCK_SKEW_MS
  }
}

/** The target starts whatever arrives; only time makes sure that nothing of the old owner is under way. */
export class ReleaseOnlyTakeover implements TakeoverRule {
  mayTake (owner: OwnerView): boolean {
    const stoppedForMs = owner.releasedForMs ?? owner.listedGoneForMs
    return stoppedForMs !== undefined && stoppedForMs >= LONGEST_TASK_LEASE_MS + LONGEST_REQUEST_MS
  }
}

export function chooseTakeoverRule (features: TargetFeatures): TakeoverRule {
  if (features.fencing) return new FencingTakeover()
  return features.startBy ? new StartByTakeover() : new ReleaseOnlyTakeover()
}
