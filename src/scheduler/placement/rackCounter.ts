/** Counts tasks by team, kind and rack for placement policies that spread tasks over racks. */
import type { KindName } from '../../model/request.ts'
import type { PlacementContext } from '../../workloads/registry.ts'
import type { TaskReservation } from './targetState.ts'

const NO_TASKS: PlacementContext = { tasksInRack: () => 0 }

class RackCounts implements PlacementContext {
  readonly #counts = new Map<string, number>()

  tasksInRack (rack: string): number {
    return this.#counts.get(rack) ?? 0
  }

  /** Returns whether any rack still has tasks. */
  change (rack: string, difference: number): boolean {
    const count = this.tasksInRack(rack) + difference
    if (count > 0) this.#counts.set(rack, count)
    else this.#counts.delete(rack)
    return this.#counts.size > 0
  }
}

export class RackCounter {
  readonly #groups = new Map<string, RackCounts>()

  context (team: string, kind: KindName): PlacementContext {
    return this.#groups.get(`${kind}/${team}`) ?? NO_TASKS
  }

  change (task: TaskReservation, difference: 1 | -1): void {
    const key = `${task.kind}/${task.team}`
    const counts = this.#groups.get(key) ?? new RackCounts()
    if (counts.change(task.rack, difference)) this.#groups.set(key, counts)
    else this.#groups.delete(key)
  }
}
