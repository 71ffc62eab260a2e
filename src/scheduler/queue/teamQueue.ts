/** The waiting entries of one team and one urgency, by shape and in order of arrival. */
import type { TargetType } from '../../model/target.ts'
import { findWorkload } from '../../workloads/registry.ts'
import { LinkedList } from './linkedList.ts'
import type { ListNode } from './linkedList.ts'
import { shapeOf } from './queueEntry.ts'
import type { QueueEntry } from './queueEntry.ts'

/** A waiting entry with its places in the lists. */
export interface WaitingEntry<T> {
  readonly entry: QueueEntry<T>
  /** Order of arrival. */
  readonly arrivalNumber: number
  /** The target type for whose capacity it competes. */
  readonly targetType: TargetType
  /** Since when entries behind it start before it. */
  bypassedSince: number | undefined
  readonly group: ShapeGroup<T>
  groupNode: ListNode<WaitingEntry<T>> | undefined
  classNode: ListNode<WaitingEntry<T>> | undefined
}

export class ShapeGroup<T> {
  readonly shape: string
  readonly waiting = new LinkedList<WaitingEntry<T>>()

  constructor (shape: string) {
    this.shape = shape
  }

  /** Every group in use has at least one entry. */
  get head (): WaitingEntry<T> {
    return this.waiting.first!.value
  }
}

/** Shapes offered for each team in one decision; bounds the time that a team with very many sizes can take. */
const SHAPES_PER_DECISION = 16

export class TeamQueue<T> {
  readonly team: string
  readonly #groups = new Map<string, ShapeGroup<T>>()
  /** Groups in order of their heads' arrival; undefined when it must be sorted anew. */
  #ordered: ShapeGroup<T>[] | undefined = []
  #rotation = 0

  constructor (team: string) {
    this.team = team
  }

  get isEmpty (): boolean {
    return this.#groups.size === 0
  }

  /** Arrival of the oldest entry. */
  get oldestArrivalNumber (): number {
    return this.#sorted()[0]?.head.arrivalNumber ?? Infinity
  }

  add (entry: QueueEntry<T>, arrivalNumber: number): WaitingEntry<T> {
    const shape = shapeOf(entry)
    let group = this.#groups.get(shape)
    if (group === undefined) {
      group = new ShapeGroup(shape)
      this.#groups.set(shape, group)
      // The newest arrival is last in order.
      this.#ordered?.push(group)
    }
    const targetType = findWorkload(entry.kind).targetType(entry.size)
    const waiting: WaitingEntry<T> = { entry, arrivalNumber, targetType, bypassedSince: undefined, group, groupNode: undefined, classNode: undefined }
    waiting.groupNode = group.waiting.append(waiting)
    return waiting
  }

  remove (waiting: WaitingEntry<T>): void {
    const { group } = waiting
    if (group.head === waiting) this.#ordered = undefined
    group.waiting.remove(waiting.groupNode!)
    if (group.waiting.first === undefined) this.#groups.delete(group.shape)
  }

  /**
   * The heads to offer now: the oldest ones and, for a team with more shapes than are offered at a time, the others
   * in rotation, so that each is offered after a bounded number of decisions.
   */
  offers (): readonly ShapeGroup<T>[] {
    const sorted = this.#sorted()
    if (sorted.length <= SHAPES_PER_DECISION) return sorted
    const half = SHAPES_PER_DECISION / 2
    const others = sorted.length - half
    this.#rotation = (this.#rotation + half) % others
    const rotated = Array.from({ length: half }, (_, step) => sorted[half + (this.#rotation + step) % others]!)
    return [...sorted.slice(0, half), ...rotated]
  }

  #sorted (): readonly ShapeGroup<T>[] {
    this.#ordered ??= [...this.#groups.values()].sort((left, right) => left.head.arrivalNumber - right.head.arrivalNumber)
    return this.#ordered
  }
}
