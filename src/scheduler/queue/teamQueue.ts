/** Waiting entries of one team and one urgency, grouped by shape in order of arrival. */
import type { TargetType } from '../../model/target.ts'
import { findWorkload } from '../../workloads/registry.ts'
import { LinkedList } from './linkedList.ts'
import type { ListNode } from './linkedList.ts'
import { shapeOf } from './queueEntry.ts'
import type { QueueEntry } from './queueEntry.ts'

/** Waiting entry with its list nodes. */
export interface WaitingEntry<T> {
  readonly entry: QueueEntry<T>
  /** Position in the order of arrival. */
  readonly arrivalNumber: number
  /** Type of the targets on which the entry can run. */
  readonly targetType: TargetType
  /** Time since which entries behind it have started before it; undefined if it was not bypassed. */
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

  /** Oldest entry. A group without entries is removed, so there always is one. */
  get head (): WaitingEntry<T> {
    return this.waiting.first!.value
  }
}

/** Maximum number of shapes offered per team in one decision; bounds the cost of a team with very many sizes. */
const SHAPES_PER_DECISION = 16

export class TeamQueue<T> {
  readonly team: string
  readonly #groups = new Map<string, ShapeGroup<T>>()
  /** Groups sorted by the arrival of their heads; undefined when they must be sorted again. */
  #ordered: ShapeGroup<T>[] | undefined = []
  #rotation = 0

  constructor (team: string) {
    this.team = team
  }

  get isEmpty (): boolean {
    return this.#groups.size === 0
  }

  get oldestArrivalNumber (): number {
    return this.#sorted()[0]?.head.arrivalNumber ?? Infinity
  }

  add (entry: QueueEntry<T>, arrivalNumber: number): WaitingEntry<T> {
    const shape = shapeOf(entry)
    let group = this.#groups.get(shape)
    if (group === undefined) {
      group = new ShapeGroup(shape)
      this.#groups.set(shape, group)
      // A new group belongs at the end because its head is the newest arrival.
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
   * Returns the groups whose heads are offered now. If the team has more shapes than one decision offers, half of them
   * are the oldest and the others rotate, so that each shape is offered after a bounded number of decisions.
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
