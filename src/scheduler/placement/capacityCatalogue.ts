/** The whole capacities of the pool's targets, counted by equal ones: what could ever fit. */
import type { Resources } from '../../model/resources.ts'
import type { TargetInfo, TargetType } from '../../model/target.ts'
import { countFitting } from './targetState.ts'

interface TargetModel {
  readonly type: TargetType
  readonly capacity: Resources
  readonly connections: number
  targets: number
}

function keyOf ({ type, capacity, connections }: TargetInfo): string {
  return `${type} ${connections} ${capacity.slots} ${capacity.processors} ${capacity.memory} ${capacity.accelerators}`
}

export class CapacityCatalogue {
  readonly #models = new Map<string, TargetModel>()

  add (info: TargetInfo): void {
    const { type, capacity, connections } = info
    const model = this.#models.get(keyOf(info)) ?? { type, capacity, connections, targets: 0 }
    model.targets++
    this.#models.set(keyOf(info), model)
  }

  remove (info: TargetInfo): void {
    const model = this.#models.get(keyOf(info))
    if (model !== undefined && --model.targets === 0) this.#models.delete(keyOf(info))
  }

  /** Tasks of a size that all targets of a type hold together when idle; undefined if there is no such target. */
  countTasksWhenIdle (type: TargetType, size: Resources): number | undefined {
    let room: number | undefined
    for (const model of this.#models.values()) {
      if (model.type !== type) continue
      const limit = type === 'runner' ? model.connections : Infinity
      room = (room ?? 0) + model.targets * Math.min(limit, countFitting(size, model.capacity))
    }
    return room
  }
}
