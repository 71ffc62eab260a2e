/** What an instance learns of the targets that it owns. */
import type { InstanceRef } from '../../model/identity.ts'
import type { TargetInfo, TaskReport } from '../../model/target.ts'

export type LossReason = 'fenced' | 'taken' | 'handed-over' | 'removed' | 'delisted'

export interface OwnershipEvents {
  /** Adopts the tasks and covers them by allotments; the remaining capacity may be used only after it resolves. */
  onAcquired (target: TargetInfo, epoch: number, tasks: readonly TaskReport[], previousOwner: InstanceRef | undefined,
    /** Aborts when the target is lost meanwhile: nothing more may be adopted then. */
    signal: AbortSignal): Promise<void>
  /** The target may not be used any more. Charges of its tasks stay, see `onSucceeded`. */
  onLost (targetId: string, reason: LossReason): void
  /** No start may be under way to a target without fencing when this resolves. */
  onHandingOver? (target: TargetInfo): Promise<void>
  /** Whether tasks on the target are charged here; a target without them needs no successor. True if left out. */
  holdsTasks? (targetId: string): boolean
  /** A successor covers the tasks of a target that this instance handed over: their charges are to be surrendered. */
  onSucceeded? (targetId: string): void
  /** The instance has a new incarnation that owns nothing; every allotment of the old one is void. */
  onRemovedFromMembers (self: InstanceRef): void
}
