/** The targets that this instance owns: where the next task fits, and what is reserved for whom. */
import { addResources, maximumResources, NO_RESOURCES } from '../../model/resources.ts'
import type { KindName } from '../../model/request.ts'
import type { Resources } from '../../model/resources.ts'
import type { TargetInfo, TargetType } from '../../model/target.ts'
import type { Random } from '../../ports/random.ts'
import { findWorkload } from '../../workloads/registry.ts'
import type { WorkloadDefinition } from '../../workloads/registry.ts'
import { CapacityCatalogue } from './capacityCatalogue.ts'
import { CapacityIndex } from './capacityIndex.ts'
import { RackCounter } from './rackCounter.ts'
import { NegativePlacementCache } from './negativePlacementCache.ts'
import { TargetState } from './targetState.ts'
import type { TargetView } from './targetState.ts'

export type { TargetView } from './targetState.ts'

export interface PlacementQuery {
  readonly workload: WorkloadDefinition
  readonly team: string
  /** Size of each task. */
  readonly size: Resources
  /** All of them are placed, or none. */
  readonly taskIds: readonly string[]
  readonly excludeTargets?: ReadonlySet<string>
}

export interface Assignment {
  readonly taskId: string
  readonly targetId: string
}

export type PlaceResult =
  | { readonly outcome: 'placed', readonly assignments: readonly Assignment[] }
  /** It fits into the pool's capacity, but not into what is free now. */
  | { readonly outcome: 'full' }
  /** It doesn't fit even if every target of the pool is idle; the cell may have larger ones. */
  | { readonly outcome: 'never', readonly reason: string }

const FULL: PlaceResult = { outcome: 'full' }

function spreadsOverRacks (kind: KindName | undefined): boolean {
  return kind !== undefined && findWorkload(kind).policy.spreadsOverRacks
}

/**
 * Places and reserves; every method is synchronous, so a decision can't be overtaken by another one.
 *
 * @example
 * const pool = new TargetPool(random)
 * pool.addTarget(info)
 * const result = pool.place({ workload: findWorkload('urgent'), team: 'cooks', size: resources({ slots: 1 }), taskIds: ['a1'] })
 */
export class TargetPool {
  readonly #targets = new Map<string, TargetState>()
  readonly #targetOfTask = new Map<string, TargetState>()
  readonly #indexes: Readonly<Record<TargetType, CapacityIndex>>
  readonly #negativeCaches: Readonly<Record<TargetType, NegativePlacementCache>> = { runner: new NegativePlacementCache(), worker: new NegativePlacementCache() }
  readonly #catalogue = new CapacityCatalogue()
  readonly #racks = new RackCounter()

  constructor (random: Random) {
    this.#indexes = {
      runner: new CapacityIndex('slots', random),
      worker: new CapacityIndex('processors', random)
    }
  }

  /** Adds a target, or replaces its list entry and keeps its reservations. */
  addTarget (info: TargetInfo): void {
    const known = this.#targets.get(info.id)
    if (known !== undefined && known.info.type !== info.type) {
      throw new TypeError(`target ${info.id} can not change its type from ${known.info.type} to ${info.type}`)
    }
    if (known !== undefined) this.#indexes[known.info.type].remove(known)
    const target = known ?? new TargetState(info)
    if (known !== undefined) this.#catalogue.remove(known.info)
    this.#catalogue.add(info)
    target.update(info)
    this.#targets.set(info.id, target)
    this.#addToIndex(target)
  }

  /** Forgets a target together with its reservations. */
  removeTarget (id: string): void {
    const target = this.#targets.get(id)
    if (target === undefined) return
    for (const task of target.tasks) {
      this.#targetOfTask.delete(task.taskId)
      if (spreadsOverRacks(task.kind)) this.#racks.change(task, -1)
    }
    this.#indexes[target.info.type].remove(target)
    this.#catalogue.remove(target.info)
    this.#targets.delete(id)
  }

  /** Sets a target aside or takes it back; a leaving target gets no new work either way. */
  setUsable (id: string, usable: boolean): void {
    const target = this.#targets.get(id)
    if (target === undefined) return
    target.outOfService = !usable
    this.#indexes[target.info.type].remove(target)
    this.#addToIndex(target)
  }

  /**
   * Reserves on a given target, whether it is usable or not: for adopted tasks and probes. Returns false if the
   * capacity would be exceeded or the task has a reservation elsewhere; repeating a reservation changes nothing.
   */
  reserve (targetId: string, taskId: string, team: string, size: Resources, kind?: KindName): boolean {
    const target = this.#targets.get(targetId)
    const holder = this.#targetOfTask.get(taskId)
    if (target === undefined) return false
    if (holder !== undefined) return holder === target
    if (!target.admits(size)) return false
    this.#assign(target, taskId, team, size, kind)
    return true
  }

  release (taskId: string): void {
    const target = this.#targetOfTask.get(taskId)
    const task = target?.remove(taskId)
    if (target === undefined || task === undefined) return
    this.#targetOfTask.delete(taskId)
    if (spreadsOverRacks(task.kind)) this.#racks.change(task, -1)
    this.#indexes[target.info.type].refresh(target)
    if (target.usable) this.#negativeCaches[target.info.type].invalidateFor(target)
  }

  /**
   * Places every task of the query and reserves for it, or changes nothing. All tasks have the same size, so taking
   * one fitting target after the other finds room for a gang exactly if there is some.
   */
  place (query: PlacementQuery): PlaceResult {
    const { workload, team, size, taskIds } = query
    this.#assertNotPlaced(taskIds)
    const type = workload.targetType(size)
    if (this.#negativeCaches[type].isKnownUnplaceable(size, taskIds.length)) return this.#createFailure(query)
    const index = this.#indexes[type]
    const assignments: Assignment[] = []
    while (assignments.length < taskIds.length) {
      const target = index.find({
        size,
        policy: workload.policy,
        context: this.#racks.context(team, workload.kind),
        excludeTargets: query.excludeTargets
      })
      if (target === undefined) {
        for (const { taskId } of assignments) this.release(taskId)
        if (query.excludeTargets === undefined) this.#negativeCaches[type].add(size, taskIds.length)
        return this.#createFailure(query)
      }
      const taskId = taskIds[assignments.length]!
      this.#assign(target, taskId, team, size, workload.kind)
      assignments.push({ taskId, targetId: target.info.id })
    }
    return { outcome: 'placed', assignments }
  }

  /** Free capacity of all usable targets. */
  free (): Resources {
    return this.#sumUsable(target => target.free, addResources)
  }

  /** The largest free capacity of a usable target, separately for each dimension. */
  largestFree (): Resources {
    return this.#sumUsable(target => target.free, maximumResources)
  }

  find (id: string): TargetView | undefined {
    return this.#targets.get(id)
  }

  targets (): Iterable<TargetView> {
    return this.#targets.values()
  }

  /** Lets new work be placed on a target, if it is usable. */
  #addToIndex (target: TargetState): void {
    if (!target.usable) return
    this.#indexes[target.info.type].insert(target)
    this.#negativeCaches[target.info.type].invalidateFor(target)
  }

  #createFailure (query: PlacementQuery): PlaceResult {
    const reason = this.#explainNeverFits(query)
    return reason === undefined ? FULL : { outcome: 'never', reason }
  }

  /** Nothing is known to be impossible while the pool has no target of the type. */
  #explainNeverFits (query: PlacementQuery): string | undefined {
    const type = query.workload.targetType(query.size)
    const room = this.#catalogue.countTasksWhenIdle(type, query.size)
    if (room === undefined || room >= query.taskIds.length) return undefined
    return room === 0
      ? `a task is larger than every ${type} of this instance`
      : `${query.taskIds.length} tasks are more than the ${room} that all ${type}s of this instance hold`
  }

  #assertNotPlaced (taskIds: readonly string[]): void {
    if (taskIds.length > 1 && new Set(taskIds).size < taskIds.length) throw new Error('a task identity occurs twice')
    for (const taskId of taskIds) {
      if (this.#targetOfTask.has(taskId)) throw new Error(`task ${taskId} is already placed`)
    }
  }

  #assign (target: TargetState, taskId: string, team: string, size: Resources, kind: KindName | undefined): void {
    const task = { taskId, team, kind, size, rack: target.rack }
    target.add(task)
    this.#targetOfTask.set(taskId, target)
    if (spreadsOverRacks(kind)) this.#racks.change(task, 1)
    this.#indexes[target.info.type].refresh(target)
  }

  #sumUsable (select: (target: TargetState) => Resources, combine: (sum: Resources, next: Resources) => Resources): Resources {
    let sum = NO_RESOURCES
    for (const target of this.#targets.values()) if (target.usable) sum = combine(sum, select(target))
    return sum
  }
}
