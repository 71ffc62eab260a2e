/** Rules for when a target may be taken over from an owner that did not hand it over; they depend on the target's features. */
import type { TargetFeatures } from '../../model/target.ts'
import { CLOCK_SKEW_MS, LONGEST_REQUEST_MS, LONGEST_TASK_LEASE_MS, START_BY_WINDOW_MS } from './ownershipTiming.ts'

/** What an instance knows about the current owner of a target. */
export interface OwnerView {
  /** Whether the owner is a member in the ownership record. */
  readonly member: boolean
  readonly suspected: boolean
  /** Time since this instance first observed that the owner is gone from the instance list; undefined while it is listed. */
  readonly goneFromListForMs: number | undefined
  /** Time since this instance first observed that the owner released the target; undefined if it did not. */
  readonly releasedForMs: number | undefined
}

export interface TakeoverRule {
  mayTakeOver (owner: OwnerView): boolean
}

/** Once fenced, the target refuses requests of the old owner, so a false suspicion is harmless. */
export class FencingTakeover implements TakeoverRule {
  mayTakeOver (owner: OwnerView): boolean {
    return owner.releasedForMs !== undefined || !owner.member || owner.suspected || owner.goneFromListForMs !== undefined
  }
}

/** The target refuses to start tasks that were sent longer ago than the start-by window. */
export class StartByTakeover implements TakeoverRule {
  mayTakeOver (owner: OwnerView): boolean {
    const stoppedForMs = owner.releasedForMs ?? owner.goneFromListForMs
    return stoppedForMs !== undefined && stoppedForMs >= START_BY_WINDOW_MS + CLOCK_SKEW_MS
  }
}

/** The target starts every task it receives, so only waiting ensures that no request of the old owner is still in flight. */
export class ReleaseOnlyTakeover implements TakeoverRule {
  mayTakeOver (owner: OwnerView): boolean {
    const stoppedForMs = owner.releasedForMs ?? owner.goneFromListForMs
    return stoppedForMs !== undefined && stoppedForMs >= LONGEST_TASK_LEASE_MS + LONGEST_REQUEST_MS
  }
}

export function chooseTakeoverRule (features: TargetFeatures): TakeoverRule {
  if (features.fencing) return new FencingTakeover()
  return features.startBy ? new StartByTakeover() : new ReleaseOnlyTakeover()
}
