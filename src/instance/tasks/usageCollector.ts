/** Feeds the usage that workers report to the size estimator, and throttles tasks that exceed their reservation. */
import type { TargetInfo, TaskReport } from '../../model/target.ts'
import { fits, scaleResources } from '../../model/resources.ts'
import type { TargetClient } from '../../ports/targetClient.ts'
import type { UsageEstimator } from '../../scheduler/usage/usageEstimator.ts'
import type { HeldTask } from './heldTasks.ts'
import type { PlacementQueue } from '../placement/placementQueue.ts'

/** Factor above the reservation at which a task is throttled; with a lower one, measurement noise would throttle tasks. */
const OVERUSE_FACTOR = 1.1

export interface UsageCollectorDependencies {
  readonly targetClient: TargetClient
  readonly estimator: UsageEstimator
  readonly placements: PlacementQueue
  /** Owned targets, with their epochs. */
  ownedTargets (): readonly { readonly target: TargetInfo, readonly epoch: number }[]
  /** Checkpoints a task that exceeds its reservation although it was throttled. */
  checkpoint (taskId: string): Promise<void>
}

export class UsageCollector {
  readonly #dependencies: UsageCollectorDependencies
  readonly #throttled = new Set<string>()

  constructor (dependencies: UsageCollectorDependencies) {
    this.#dependencies = dependencies
  }

  /** Reads the usage of each worker that runs tasks; errors of single workers are ignored. */
  async collect (): Promise<void> {
    const { placements } = this.#dependencies
    const held = new Map(placements.held.all().map(task => [task.taskId, task]))
    for (const taskId of this.#throttled) if (!held.has(taskId)) this.#throttled.delete(taskId)
    const targetsWithTasks = new Set([...held.values()].map(task => task.targetId))
    const workers = this.#dependencies.ownedTargets().filter(({ target }) => target.type === 'worker' && targetsWithTasks.has(target.id))
    await Promise.allSettled(workers.map(async ({ target, epoch }) => await this.#collectFrom(target, epoch, held)))
  }

  async #collectFrom (target: TargetInfo, epoch: number, held: ReadonlyMap<string, HeldTask>): Promise<void> {
    for (const report of await this.#dependencies.targetClient.usage(target)) {
      const { team, kind, name, usage, taskId } = report
      if (usage === undefined) continue
      this.#dependencies.estimator.report(team, kind, name, usage)
      const task = held.get(taskId)
      if (task !== undefined && !fits(usage, scaleResources(task.size, OVERUSE_FACTOR))) await this.#limitOveruse(target, epoch, report)
    }
  }

  /** Throttles the task first and checkpoints it only if it exceeds its reservation again, since that interrupts the task. */
  async #limitOveruse (target: TargetInfo, epoch: number, { taskId }: TaskReport): Promise<void> {
    if (this.#throttled.has(taskId) && target.features.checkpoint) return await this.#dependencies.checkpoint(taskId)
    this.#throttled.add(taskId)
    await this.#dependencies.targetClient.command(target, taskId, epoch, 'throttle')
  }
}
