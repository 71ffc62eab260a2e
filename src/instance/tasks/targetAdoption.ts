/** Handles changes of ownership: adopts the tasks on acquired targets and drops those on lost targets. */
import type { InstanceRef } from '../../model/identity.ts'
import type { TargetInfo, TaskReport } from '../../model/target.ts'
import type { Clock } from '../../ports/clock.ts'
import type { AllotmentManager } from '../../scheduler/limits/allotmentManager.ts'
import type { LossReason, OwnershipEvents } from '../../scheduler/ownership/ownershipEvents.ts'
import type { TargetPool } from '../../scheduler/placement/targetPool.ts'
import type { PlacementQueue } from '../placement/placementQueue.ts'
import type { TaskTracker } from './taskTracker.ts'

export interface TargetAdoptionDependencies {
  readonly clock: Clock
  readonly pool: TargetPool
  readonly placements: PlacementQueue
  readonly allotments: Pick<AllotmentManager, 'surrender' | 'reset'>
  readonly tracker: TaskTracker
  /** Lease duration of an adopted task, in milliseconds. */
  leaseMs (report: TaskReport): number
  onTargetsChanged (): void
}

/** States in which a task holds capacity on its target. */
const CAPACITY_HOLDING_STATES: ReadonlySet<TaskReport['state']> = new Set(['running'])

export class TargetAdoption implements OwnershipEvents {
  readonly #dependencies: TargetAdoptionDependencies
  /** Tasks of handed-over targets; their allotments are surrendered once the successor's allotments cover them. */
  readonly #handedOver = new Map<string, readonly string[]>()

  constructor (dependencies: TargetAdoptionDependencies) {
    this.#dependencies = dependencies
  }

  async onAcquired (target: TargetInfo, epoch: number, tasks: readonly TaskReport[], previousOwner: InstanceRef | undefined, signal: AbortSignal): Promise<void> {
    const { pool } = this.#dependencies
    pool.addTarget(target)
    pool.setUsable(target.id, false)
    for (const report of tasks.filter(task => CAPACITY_HOLDING_STATES.has(task.state))) {
      if (signal.aborted) return
      await this.#adopt(target, epoch, report, previousOwner)
    }
    this.#dependencies.onTargetsChanged()
  }

  onLost (targetId: string, reason: LossReason): void {
    const { pool, placements, tracker } = this.#dependencies
    const taskIds = placements.held.onTarget(targetId).map(task => task.taskId)
    for (const taskId of taskIds) {
      tracker.forget(taskId)
      // Tasks of a delisted target have ended: the ownership record keeps the target until the longest lease has ended.
      if (reason === 'delisted') placements.release(taskId)
      else placements.forget(taskId)
    }
    if (reason === 'handed-over' && taskIds.length > 0) this.#handedOver.set(targetId, taskIds)
    pool.removeTarget(targetId)
    this.#dependencies.onTargetsChanged()
  }

  holdsTasks (targetId: string): boolean {
    return this.#dependencies.placements.held.onTarget(targetId).length > 0
  }

  onSuccessorAdopted (targetId: string): void {
    for (const taskId of this.#handedOver.get(targetId) ?? []) this.#dependencies.allotments.surrender(taskId)
    this.#handedOver.delete(targetId)
  }

  onRemovedFromMembers (): void {
    this.#handedOver.clear()
    this.#dependencies.allotments.reset()
  }

  async #adopt (target: TargetInfo, epoch: number, report: TaskReport, previousOwner: InstanceRef | undefined): Promise<void> {
    const { clock, placements, tracker } = this.#dependencies
    const { taskId, team, requestId, kind, size } = report
    const startedAt = clock.monotonicMs()
    const task = { taskId, targetId: target.id, team, requestId, kind, size, repeatable: false, startedAt }
    const leaseMs = this.#dependencies.leaseMs(report)
    tracker.track({ taskId, target, epoch, leaseMs, sentAt: startedAt, startByWallMs: clock.wallMs() })
      .then(({ outcome }) => { if (outcome !== 'lost') placements.release(taskId) }, () => {})
    await placements.adopt(task, previousOwner)
  }
}
