/** What waits in the queue. */
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
  /** Memory that the request holds while it waits. */
  readonly bytes: number
  /** Monotonic time at which `expire` removes the entry. */
  readonly deadlineAt: number
  readonly value: T
}

/**
 * Why an entry can or can't start now: `limited` is a refusal that free capacity would not change, such as a missing
 * allotment or a size that no target of the pool has; false means that capacity is missing, which ageing may collect.
 */
export type Acceptance = boolean | 'limited'

/** Entries of equal shape compete for the same capacity: if one of a team can't start now, the others can't either. */
export function shapeOf (entry: QueueEntry<unknown>): string {
  const { slots, processors, memory, accelerators } = entry.size
  return `${entry.kind} ${entry.tasks} ${slots} ${processors} ${memory} ${accelerators}`
}
