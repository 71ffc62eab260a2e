/** State of one target of the pool, with its reservations. */
import { fits, mapResources, subtractResources } from '../../model/resources.ts'
import type { KindName } from '../../model/request.ts'
import type { Resources } from '../../model/resources.ts'
import type { TargetInfo } from '../../model/target.ts'

/** Read-only view of a target. */
export interface TargetView {
  readonly info: TargetInfo
  /** Whether new tasks may be placed on it. */
  readonly usable: boolean
  readonly reserved: Resources
  readonly free: Resources
  readonly taskIds: readonly string[]
}

export interface TaskReservation {
  readonly taskId: string
  readonly team: string
  readonly kind: KindName | undefined
  readonly size: Resources
  /** Rack at the time of the reservation, so that rack counts stay correct if the target list changes the rack. */
  readonly rack: string
}

type Mutable<T> = { -readonly [K in keyof T]: T[K] }

export class TargetState implements TargetView {
  info: TargetInfo
  readonly free: Mutable<Resources>
  freeConnections: number
  /** Taken out of service by the circuit breaker or a drain. */
  outOfService = false
  /** Location in the capacity index; -1 while not indexed. */
  bucket = -1
  position = -1
  readonly #tasks = new Map<string, TaskReservation>()

  constructor (info: TargetInfo) {
    this.info = info
    this.free = { ...info.capacity }
    this.freeConnections = info.connections
  }

  get usable (): boolean {
    return !this.outOfService && !this.info.leaving
  }

  get rack (): string {
    return this.info.rack
  }

  get capacity (): Resources {
    return this.info.capacity
  }

  /** Whether each task takes one of the target's connections; only true of runners. */
  get countsConnections (): boolean {
    return this.info.type === 'runner'
  }

  get reserved (): Resources {
    return subtractResources(this.info.capacity, this.free)
  }

  get taskIds (): readonly string[] {
    return [...this.#tasks.keys()]
  }

  get tasks (): Iterable<TaskReservation> {
    return this.#tasks.values()
  }

  admits (size: Resources): boolean {
    return fits(size, this.free) && (!this.countsConnections || this.freeConnections >= 1)
  }

  /** Replaces the target's list entry and keeps its reservations; free capacity may become negative. */
  update (info: TargetInfo): void {
    const reserved = this.reserved
    const connections = this.info.connections - this.freeConnections
    this.info = info
    Object.assign(this.free, subtractResources(info.capacity, reserved))
    this.freeConnections = info.connections - connections
  }

  add (task: TaskReservation): void {
    this.#tasks.set(task.taskId, task)
    this.#adjustFree(task.size, 1)
  }

  remove (taskId: string): TaskReservation | undefined {
    const task = this.#tasks.get(taskId)
    if (task === undefined) return undefined
    this.#tasks.delete(taskId)
    this.#adjustFree(task.size, -1)
    // Discards rounding errors of fractional sizes.
    if (this.#tasks.size === 0) Object.assign(this.free, this.info.capacity)
    return task
  }

  #adjustFree (size: Resources, sign: 1 | -1): void {
    this.free.slots -= sign * size.slots
    this.free.processors -= sign * size.processors
    this.free.memory -= sign * size.memory
    this.free.accelerators -= sign * size.accelerators
    if (this.countsConnections) this.freeConnections -= sign
  }
}

/** Returns how many tasks of a size fit into the capacity. */
export function countFitting (size: Resources, capacity: Resources): number {
  const counts = mapResources(size, capacity, (demand, total) => demand > 0 ? Math.floor(total / demand) : Infinity)
  return Math.max(0, Math.min(counts.slots, counts.processors, counts.memory, counts.accelerators))
}
