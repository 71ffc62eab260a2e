/** Decides the next action for a step whose queue needs advice: ask, start with valid tickets, or renew tickets first. */
import type { StepDefinition } from '../../jobs/job.ts'
import { planQuestions } from './adviceQuestion.ts'
import { countFitting, fitsWithin, placeStep, requiredResources } from '../placement/placeStep.ts'
import type { ComputeResources, TargetAvailability } from '../placement/placeStep.ts'
import { isWorthAsking } from './questionWorth.ts'
import type { StepAdvice } from './stepAdvice.ts'

interface AdvisedTarget {
  readonly key: string
  readonly free: ComputeResources
}

export type AdvisedDecision<Target> =
  /** Ask which of the targets may run the step, with one question for each group. */
  | { readonly action: 'ask', readonly questions: readonly (readonly Target[])[] }
  /** Start tasks on the targets with these keys, one for each task. */
  | { readonly action: 'start', readonly placed: readonly string[] }
  /** Reserve capacity on the targets with these keys, one for each task, and renew their tickets before the start. */
  | { readonly action: 'renew', readonly placed: readonly string[] }
  | { readonly action: 'wait' }

export interface AdvisedRequest<Target> {
  readonly definition: StepDefinition
  /** Number of tasks to place. */
  readonly count: number
  readonly advice: StepAdvice
  /** Share of the targets that the queue's policy is expected to allow, from 0 to 1. */
  readonly allowedShare: number
  /** Targets that may get tasks now. */
  readonly targets: readonly Target[]
  readonly describe: (target: Target) => TargetAvailability
  readonly nowMs: number
  /** Time that the queue's policy takes for a decision, in milliseconds. */
  readonly decisionMs: number
  /** Number of lanes that could ask a question now. */
  readonly idleLanes: number
  /** Expected times of a question that names so many targets. */
  readonly expectQuestion: (targets: number) => { readonly laneWaitMs: number, readonly decisionMs: number }
  /** Expected time until the allowed targets have capacity for one task, or for the whole gang. */
  readonly timeUntilAllowedMs: () => number
}

/**
 * Decides for one step. Asks about the targets with the most free processors, and about further targets when the allowed ones have no capacity: a wide gang may need more
 * targets than fit in one question. After the first answer only targets with capacity for one of the step's tasks are
 * considered: under overload, hundreds of steps compete for the few targets that are not full.
 *
 * @example
 * const decision = decideAdvisedPlacement({ definition, count: 8, advice, allowedShare, targets, describe, nowMs: clock.monotonicMs(), decisionMs: 686, idleLanes: 90, expectQuestion, timeUntilAllowedMs })
 */
export function decideAdvisedPlacement<Target extends AdvisedTarget> ({ definition, count, advice, allowedShare, targets, describe, nowMs, decisionMs, idleLanes, expectQuestion, timeUntilAllowedMs }: AdvisedRequest<Target>): AdvisedDecision<Target> {
  const size = requiredResources(definition)
  const candidates = advice.answered ? targets.filter(({ free }) => fitsWithin(size, free)) : targets
  const allowed = candidates.filter(({ key }) => advice.allows(key))
  if (advice.answered && allowed.length > 0) {
    const withTicket = allowed.filter(({ key }) => advice.ticket(key, nowMs) !== undefined)
    const placed = placeStep(definition, count, withTicket.map(describe))
    if (placed.length > 0) return { action: 'start', placed }
    if (advice.openQuestions > 0) return { action: 'wait' }
    const planned = withTicket.length === allowed.length ? [] : placeStep(definition, count, allowed.map(describe))
    if (planned.length > 0) return { action: 'renew', placed: planned }
  }
  // The answers to open questions may make further ones needless.
  if (advice.openQuestions > 0) return { action: 'wait' }
  const unasked = candidates.filter(({ key }) => !advice.wasAsked(key))
  if (unasked.length === 0) return { action: 'wait' }
  const freest = [...unasked].sort((left, right) => right.free.processors - left.free.processors)
  const capacities = freest.map(({ free }) => Math.min(countFitting(size, free), definition.tasksPerTarget || Infinity))
  const sizes = planQuestions({ tasks: count, capacities, allowedShare, decisionMs, idleLanes })
  const named = sizes.reduce((sum, targetsInQuestion) => sum + targetsInQuestion, 0)
  const pays = !advice.answered || isWorthAsking({
    definition,
    count,
    allowedCapacity: allowed.reduce((sum, { free }) => sum + countFitting(size, free), 0),
    namedCapacity: capacities.slice(0, named).reduce((sum, capacity) => sum + capacity, 0),
    ...expectQuestion(sizes[0] ?? 0),
    timeUntilAllowedMs,
    waitedMs: nowMs - advice.answeredAtMs
  })
  return pays ? { action: 'ask', questions: takeGroups(freest, sizes) } : { action: 'wait' }
}

/** Returns groups of the given sizes, from the first item on. */
function takeGroups<Item> (items: readonly Item[], sizes: readonly number[]): readonly (readonly Item[])[] {
  let begin = 0
  return sizes.map(size => {
    begin += size
    return items.slice(begin - size, begin)
  })
}
