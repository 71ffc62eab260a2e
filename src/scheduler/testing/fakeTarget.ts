/** In-memory targets for tests, with fencing, start-by time, inventory and task starts as in the real protocol. */
import type { FenceResult } from '../../ports/targetClient.ts'
import type { TargetInfo, TaskReport } from '../../model/target.ts'
import type { InstanceFaults } from './instanceFaults.ts'

export interface FakeTargetClient {
  fence (target: TargetInfo, epoch: number): Promise<FenceResult>
}

export class FakeTargets {
  readonly #epochs = new Map<string, number>()
  readonly #tasks = new Map<string, TaskReport[]>()
  /** Set to false to verify that the invariant checks detect the missing fencing. */
  refusesLowerEpochs = true

  tasksOn (targetId: string): readonly TaskReport[] {
    return this.#tasks.get(targetId) ?? []
  }

  /** Starts a task unless the target refuses it for its epoch or because it arrived after its start-by time. */
  start (target: TargetInfo, task: TaskReport, lateMs: number): boolean {
    if (this.refusesLowerEpochs && target.features.fencing && task.epoch < (this.#epochs.get(target.id) ?? 0)) return false
    if (target.features.startBy && lateMs > 0) return false
    this.#tasks.set(target.id, [...this.tasksOn(target.id), task])
    return true
  }

  highestEpoch (targetId: string): number {
    return this.#epochs.get(targetId) ?? 0
  }

  end (targetId: string, taskId: string): void {
    this.#tasks.set(targetId, this.tasksOn(targetId).filter(task => task.taskId !== taskId))
  }

  fence (target: TargetInfo, epoch: number): FenceResult {
    const highestEpoch = this.#epochs.get(target.id) ?? 0
    if (target.features.fencing && epoch < highestEpoch) return { outcome: 'refused', highestEpoch }
    this.#epochs.set(target.id, Math.max(highestEpoch, epoch))
    return { outcome: 'fenced', tasks: this.tasksOn(target.id) }
  }

  /** Returns a client of the targets that is subject to the faults of one instance. */
  connect (faults: InstanceFaults): FakeTargetClient {
    return {
      fence: async (target, epoch) => {
        await faults.waitWhilePaused()
        const fault = faults.nextFault('target')
        if (fault === 'down') throw new Error('injected fault: the target is unreachable')
        const result = this.fence(target, epoch)
        await faults.waitWhilePaused()
        if (fault !== 'none') throw new Error('injected fault: the answer of the target was lost')
        return result
      }
    }
  }
}
