/** What to do next for a step whose queue needs advice: ask, start with valid tickets, or renew tickets first. */
import type { StepDefinition } from '../jobs/job.ts'
import { placeStep } from './placeStep.ts'
import type { TargetRoom } from './placeStep.ts'
import { roomOf, tasksWithin } from './placeStep.ts'
import type { StepAdvice } from './stepAdvice.ts'

/** Targets that one question names at most; the advisor's limit. */
export const TARGETS_PER_QUESTION = 100
/** A question names at least so many, since each answer has a fixed cost. */
const FEWEST_TARGETS = 16
/** Room that a question asks about, in times of the room needed: others take some of it before the answer comes. */
const ROOM_FACTOR = 3

interface AdvisedTarget {
  readonly key: string
  readonly free: TargetRoom['free']
}

export type AdvisedDecision<Target> =
  /** Ask which of the targets may run the step. */
  | { readonly action: 'ask', readonly targets: readonly Target[] }
  /** Start tasks on the targets with these keys, one for each task. */
  | { readonly action: 'start', readonly placed: readonly string[] }
  /** Keep room for tasks on the targets with these keys, and renew their tickets before the start. */
  | { readonly action: 'renew', readonly placed: readonly string[] }
  | { readonly action: 'wait' }

export interface AdvisedRequest<Target> {
  readonly definition: StepDefinition
  /** Tasks to place. */
  readonly count: number
  readonly advice: StepAdvice
  /** Targets that may get tasks now. */
  readonly targets: readonly Target[]
  readonly describe: (target: Target) => TargetRoom
  /** Part of the targets that the queue's policy allows, as earlier answers showed it. */
  readonly allowedPart: number
  readonly nowMs: number
}

/**
 * Decides for one step. A question names no more targets than the step needs, since the advisor takes its time for
 * each; further ones are asked about when those that are allowed have no room.
 *
 * @example
 * const decision = decideAdvised({ definition, count: 8, advice, targets, describe, allowedPart: 0.3, nowMs: clock.monotonicMs() })
 */
export function decideAdvised<Target extends AdvisedTarget> ({ definition, count, advice, targets, describe, allowedPart, nowMs }: AdvisedRequest<Target>): AdvisedDecision<Target> {
  const allowed = targets.filter(({ key }) => advice.allows(key))
  if (advice.answered && allowed.length > 0) {
    const withTicket = allowed.filter(({ key }) => advice.ticket(key, nowMs) !== undefined)
    const placed = placeStep(definition, count, withTicket.map(describe))
    if (placed.length > 0) return { action: 'start', placed }
    const planned = withTicket.length === allowed.length ? [] : placeStep(definition, count, allowed.map(describe))
    if (planned.length > 0) return { action: 'renew', placed: planned }
  }
  const unasked = targets.filter(({ key }) => !advice.wasAsked(key))
  if (unasked.length === 0) return { action: 'wait' }
  const byRoom = [...unasked].sort((left, right) => right.free.processors - left.free.processors)
  return { action: 'ask', targets: byRoom.slice(0, countNamed(definition, count, byRoom, allowedPart)) }
}

/** How many of the targets to name, so that those allowed have room for the tasks a few times over. */
function countNamed (definition: StepDefinition, count: number, targets: readonly AdvisedTarget[], allowedPart: number): number {
  const size = roomOf(definition)
  let expected = 0
  let named = 0
  while (named < Math.min(targets.length, TARGETS_PER_QUESTION) && (named < FEWEST_TARGETS || expected < count * ROOM_FACTOR)) {
    expected += Math.min(count, tasksWithin((targets[named] as AdvisedTarget).free, size)) * allowedPart
    named += 1
  }
  return named
}
