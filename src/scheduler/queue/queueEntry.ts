/** Queue entries, their acceptance and their shape. */
import type { Resources } from '../../model/resources.ts'
import type { KindName } from '../../model/request.ts'
import type { Urgency } from '../../workloads/registry.ts'

export interface QueueEntry<T> {
  readonly team: string
  readonly kind: KindName
  readonly urgency: Urgency
  /** Size of each task. */
  readonly size: Resources
  readonly tasks: number
  /** Memory that the request takes up while it waits. */
  readonly bytes: number
  /** Monotonic time at which `expire` removes the entry. */
  readonly deadlineAt: number
  readonly value: T
}

/**
 * Whether an entry can start now. `limited` is a refusal that more free capacity would not change, such as a missing
 * allotment or a size that fits no target of the pool. False means that capacity is lacking, which ageing may reserve.
 */
export type Acceptance = boolean | 'limited'

/** Returns a key for entries that need the same capacity: if one of a team cannot start now, the others cannot either. */
export function shapeOf (entry: QueueEntry<unknown>): string {
  const { slots, processors, memory, accelerators } = entry.size
  return `${entry.kind} ${entry.tasks} ${slots} ${processors} ${memory} ${accelerators}`
}
