/** Preempts running tasks by checkpointing them, for urgent requests and for teams below their share. */
import type { Clock } from '../../ports/clock.ts'
import type { TargetPool } from '../../scheduler/placement/targetPool.ts'
import type { PreemptionCandidate, UrgentNeed } from '../../scheduler/shares/preemption.ts'
import type { ShareLedger } from '../../scheduler/shares/shareLedger.ts'
import { findWorkload } from '../../workloads/registry.ts'
import type { HeldTask } from '../tasks/heldTasks.ts'
import type { PlacementQueue, PlacementRequest } from './placementQueue.ts'
import type { TaskTracker } from '../tasks/taskTracker.ts'
import type { TeamSettingsSource } from '../teamSettingsSource.ts'
import { NO_RESOURCES } from '../../model/resources.ts'

export interface PreemptorDependencies {
  readonly clock: Clock
  readonly ledger: ShareLedger
  readonly pool: TargetPool
  readonly placements: () => PlacementQueue
  readonly tracker: TaskTracker
  readonly settings: TeamSettingsSource
  onFailure (taskId: string, error: unknown): void
}

export class Preemptor {
  readonly #dependencies: PreemptorDependencies
  readonly #checkpointing = new Set<string>()

  constructor (dependencies: PreemptorDependencies) {
    this.#dependencies = dependencies
  }

  /** Frees capacity for an urgent request that could not be placed. */
  preemptFor ({ size, taskIds, kind }: PlacementRequest): void {
    const views = new Map([...this.#dependencies.pool.targets()].map(view => [view.info.id, view]))
    const type = findWorkload(kind).targetType(size)
    const candidates = this.#candidates().filter(({ targetId }) => views.get(targetId)?.info.type === type)
    const urgent: UrgentNeed = { size, tasks: taskIds.length, freeOn: targetId => views.get(targetId)?.free ?? NO_RESOURCES }
    this.#checkpoint(this.#dependencies.ledger.planPreemption({ now: this.#dependencies.clock.monotonicMs(), candidates, urgent }).checkpoints)
  }

  /** Frees capacity for waiting teams below their entitlement; to be called every second. */
  balanceShares (): void {
    const { ledger, clock, placements } = this.#dependencies
    if (placements().length === 0) return
    this.#checkpoint(ledger.planPreemption({ now: clock.monotonicMs(), candidates: this.#candidates() }).checkpoints)
  }

  /** Only repeatable work is preempted, since starting it again elsewhere is a second run. */
  #candidates (): readonly PreemptionCandidate[] {
    const views = new Map([...this.#dependencies.pool.targets()].map(view => [view.info.id, view]))
    return this.#dependencies.placements().held.all()
      .filter(task => task.repeatable && this.#isPreemptible(task) && views.get(task.targetId)?.info.features.checkpoint === true)
      .map(({ taskId, targetId, team, size, startedAt }) =>
        ({ taskId, targetId, team, size, startedAt, checkpointing: this.#checkpointing.has(taskId) }))
  }

  #isPreemptible ({ team, kind }: HeldTask): boolean {
    return findWorkload(kind).checkpointable && this.#dependencies.settings.find(team, kind).preemptible
  }

  #checkpoint (candidates: readonly PreemptionCandidate[]): void {
    for (const { taskId } of candidates) {
      this.#checkpointing.add(taskId)
      this.#dependencies.tracker.checkpoint(taskId)
        .catch((error: unknown) => this.#dependencies.onFailure(taskId, error))
        .finally(() => this.#checkpointing.delete(taskId))
        .catch(() => {})
    }
  }
}
