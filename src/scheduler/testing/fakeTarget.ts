/** Targets in memory for tests: fencing, start-by time, inventory and starts as the real protocol has them. */
import type { FenceResult } from '../../ports/targetClient.ts'
import type { TargetInfo, TaskReport } from '../../model/target.ts'
import type { InstanceFaults } from './instanceFaults.ts'

export interface FakeTargetClient {
  fence (target: TargetInfo, epoch: number): Promise<FenceResult>
}

export class FakeTargets {
  readonly #epochs = new Map<string, number>()
  readonly #tasks = new Map<string, TaskReport[]>()
  /** Switched off to see that the checks notice. */
  refusesLowerEpochs = true

  tasksOn (targetId: string): readonly TaskReport[] {
    return this.#tasks.get(targetId) ?? []
  }

  /** Starts a task, unless the target refuses the epoch. */
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

  /** The targets as one instance reaches them. */
  connect (faults: InstanceFaults): FakeTargetClient {
    return {
      fence: async (target, epoch) => {
        await faults.pass()
        const fault = faults.next('target')
        if (fault === 'down') throw new Error('target is unreachable')
        const result = this.fence(target, epoch)
        await faults.pass()
        if (fault !== 'none') throw new Error('answer lost')
        return result
      }
    }
  }
}
