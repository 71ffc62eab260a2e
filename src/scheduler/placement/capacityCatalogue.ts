/** Total capacities of the pool's targets, grouped by equal targets. Tells what could fit if all targets were idle. */
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

  /** Returns how many tasks of a size all targets of a type can hold together when idle; undefined without such a target. */
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
