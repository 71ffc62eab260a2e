/** Notifications about the targets that an instance owns. */
import type { InstanceRef } from '../../model/identity.ts'
import type { TargetInfo, TaskReport } from '../../model/target.ts'

export type LossReason = 'fenced' | 'taken' | 'handed-over' | 'removed' | 'delisted'

export interface OwnershipEvents {
  /** Adopts the tasks and charges them to allotments. The remaining capacity may be used only after this resolves. */
  onAcquired (target: TargetInfo, epoch: number, tasks: readonly TaskReport[], previousOwner: InstanceRef | undefined,
    /** Aborts if the target is lost in the meantime; no more tasks may be adopted after that. */
    signal: AbortSignal): Promise<void>
  /** The target must no longer be used. The charges of its tasks are kept, see `onSuccessorAdopted`. */
  onLost (targetId: string, reason: LossReason): void
  /** When this resolves, no task start may be in flight to a target that does not support fencing. */
  onHandingOver? (target: TargetInfo): Promise<void>
  /** Whether this instance holds charges of tasks on the target. If not, the hand-over need not wait for a successor. Defaults to true. */
  holdsTasks? (targetId: string): boolean
  /** A successor has adopted the tasks of a target that this instance handed over: their charges must be surrendered. */
  onSuccessorAdopted? (targetId: string): void
  /** The instance continues as a new incarnation that owns no targets; all allotments of the old incarnation are void. */
  onRemovedFromMembers (self: InstanceRef): void
}
