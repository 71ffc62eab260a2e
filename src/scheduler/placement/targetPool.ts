/** Targets owned by this instance: places tasks on them and keeps their reservations. */
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
  /** Either all of the tasks are placed or none. */
  readonly taskIds: readonly string[]
  readonly excludeTargets?: ReadonlySet<string>
}

export interface Assignment {
  readonly taskId: string
  readonly targetId: string
}

export type PlaceResult =
  | { readonly outcome: 'placed', readonly assignments: readonly Assignment[] }
  /** The request fits into the pool's total capacity, but not into its free capacity. */
  | { readonly outcome: 'full' }
  /** The request does not fit even if all targets of the pool are idle; the cell may have larger targets. */
  | { readonly outcome: 'never', readonly reason: string }

const FULL: PlaceResult = { outcome: 'full' }

function spreadsOverRacks (kind: KindName | undefined): boolean {
  return kind !== undefined && findWorkload(kind).policy.spreadsOverRacks
}

/**
 * Places tasks and reserves capacity. Every method is synchronous, so no other decision can interleave with one.
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

  /** Adds a target, or replaces the list entry of a known target and keeps its reservations. */
  addTarget (info: TargetInfo): void {
    const known = this.#targets.get(info.id)
    if (known !== undefined && known.info.type !== info.type) {
      throw new TypeError(`target ${info.id} cannot change its type from ${known.info.type} to ${info.type}`)
    }
    if (known !== undefined) this.#indexes[known.info.type].remove(known)
    const target = known ?? new TargetState(info)
    if (known !== undefined) this.#catalogue.remove(known.info)
    this.#catalogue.add(info)
    target.update(info)
    this.#targets.set(info.id, target)
    this.#addToIndex(target)
  }

  /** Removes a target and its reservations. */
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

  /** Takes a target out of service or returns it to service; a leaving target gets no new tasks in either case. */
  setUsable (id: string, usable: boolean): void {
    const target = this.#targets.get(id)
    if (target === undefined) return
    target.outOfService = !usable
    this.#indexes[target.info.type].remove(target)
    this.#addToIndex(target)
  }

  /**
   * Reserves capacity on a given target, even if it is not usable; for adopted tasks and probes. Returns false if the
   * target is unknown, its capacity would be exceeded or the task has a reservation on another target. Repeating a
   * reservation has no effect.
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
   * Places all tasks of the query and reserves capacity for them, or changes nothing. All tasks have the same size, so
   * choosing one fitting target after another finds room for a gang whenever there is enough.
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

  /** Returns the total free capacity of all usable targets. */
  free (): Resources {
    return this.#sumUsable(target => target.free, addResources)
  }

  /** Returns the largest free capacity of any usable target, separately for each dimension. */
  largestFree (): Resources {
    return this.#sumUsable(target => target.free, maximumResources)
  }

  find (id: string): TargetView | undefined {
    return this.#targets.get(id)
  }

  targets (): Iterable<TargetView> {
    return this.#targets.values()
  }

  /** Makes a target available for new tasks, if it is usable. */
  #addToIndex (target: TargetState): void {
    if (!target.usable) return
    this.#indexes[target.info.type].insert(target)
    this.#negativeCaches[target.info.type].invalidateFor(target)
  }

  #createFailure (query: PlacementQuery): PlaceResult {
    const reason = this.#explainNeverFits(query)
    return reason === undefined ? FULL : { outcome: 'never', reason }
  }

  /** Returns why the query cannot fit, or undefined if it can or if the pool has no target of the type, so it is unknown. */
  #explainNeverFits (query: PlacementQuery): string | undefined {
    const type = query.workload.targetType(query.size)
    const room = this.#catalogue.countTasksWhenIdle(type, query.size)
    if (room === undefined || room >= query.taskIds.length) return undefined
    return room === 0
      ? `a task of this size does not fit on any ${type} of this instance`
      : `the request has ${query.taskIds.length} tasks, but all ${type}s of this instance together hold only ${room} of this size`
  }

  #assertNotPlaced (taskIds: readonly string[]): void {
    if (taskIds.length > 1 && new Set(taskIds).size < taskIds.length) throw new Error('duplicate task ID in placement query')
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
