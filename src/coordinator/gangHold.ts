/** Keeps targets free for a gang that waits, so that a stream of small steps does not use up each gap before it. */
import type { StepDefinition } from '../jobs/job.ts'
import { roomOf, tasksWithin } from './placeStep.ts'
import type { TargetRoom } from './placeStep.ts'

/** A gang that has waited for less may find room by itself. */
export const HOLD_AFTER_MS = 500

export interface HoldableTarget {
  readonly key: string
  readonly free: TargetRoom['free']
  readonly description: { readonly capacity: TargetRoom['free'] }
}

/**
 * Chooses the targets that have room for the whole gang once they are empty, those with the most room first, since
 * they are empty soonest. Returns none if the gang does not fit on all of them together.
 *
 * @example
 * for (const key of chooseHeld(definition, 20, allowedTargets)) held.add(key)
 */
export function chooseHeld (definition: StepDefinition, count: number, targets: readonly HoldableTarget[]): readonly string[] {
  const size = roomOf(definition)
  const slots = definition.tasksPerTarget > 0 ? definition.tasksPerTarget : Infinity
  const held: string[] = []
  let fitting = 0
  for (const { key, description } of [...targets].sort((left, right) => right.free.processors - left.free.processors)) {
    if (fitting >= count) break
    const tasks = Math.min(slots, tasksWithin(description.capacity, size))
    if (tasks === 0) continue
    fitting += tasks
    held.push(key)
  }
  return fitting >= count ? held : []
}
