/** Decides how many questions to the placement advisor a step asks, and how many targets each names, since each one makes the answer later. */

/** Maximum number of targets in one question. */
export const MAX_TARGETS_PER_QUESTION = 100
/** The latency objective of a job includes one question of this size for each step. */
const MIN_TARGETS_PER_QUESTION = 30
/** Expected capacity minus this many standard deviations must cover the tasks, so that few steps need a second question. */
const SAFETY_DEVIATIONS = 2
/**
 * A further question costs this much again, however few targets it names, so a step asks several at once when its
 * policy takes as long for a decision.
 */
const LONG_DECISION_MS = 250
/** Targets in each of several questions asked at once; as many as the latency objective includes for one question. */
const TARGETS_PER_PARALLEL_QUESTION = 30
/** Share of the idle lanes that one step may use, so that steps which arrive at the same time are asked about too. */
const LANE_SHARE = 0.25
/** Until an answer shows more, few of the named targets are expected to be allowed. */
const INITIAL_SHARE = 0.3
/** Weight of the targets named so far; bounded, so that a changed policy is noticed. */
const MAX_NAMED_WEIGHT = 2_000
const INITIAL_NAMED_WEIGHT = 30

/**
 * Learns which share of the targets a queue's policy allows.
 *
 * @example
 * share.recordAnswer(100, 31)
 * const expected = share.value
 */
export class AllowedShare {
  #named = INITIAL_NAMED_WEIGHT
  #allowed = INITIAL_NAMED_WEIGHT * INITIAL_SHARE

  /** From 0 to 1. */
  get value (): number {
    return this.#allowed / this.#named
  }

  recordAnswer (named: number, allowed: number): void {
    this.#named += named
    this.#allowed += allowed
    if (this.#named <= MAX_NAMED_WEIGHT) return
    this.#allowed *= MAX_NAMED_WEIGHT / this.#named
    this.#named = MAX_NAMED_WEIGHT
  }
}

/**
 * Returns how many of the targets to name, from the first on: enough that those which the policy is likely to allow hold
 * the tasks. `capacities` are the numbers of tasks that the targets can hold, and `allowedShare` is from 0 to 1.
 *
 * @example
 * countTargetsToName(20, targets.map(({ free }) => Math.floor(free.processors / 18_000)), 0.3)
 */
export function countTargetsToName (tasks: number, capacities: readonly number[], allowedShare: number): number {
  let expected = 0
  let variance = 0
  let named = 0
  for (const capacity of capacities.slice(0, MAX_TARGETS_PER_QUESTION)) {
    const held = Math.min(capacity, tasks)
    const isCovered = expected - SAFETY_DEVIATIONS * Math.sqrt(variance) >= tasks
    if (named >= MIN_TARGETS_PER_QUESTION && (isCovered || held <= 0)) break
    expected += allowedShare * held
    variance += allowedShare * (1 - allowedShare) * held ** 2
    named += 1
  }
  return named
}

/** A step whose next questions are planned. */
export interface QuestionPlanInput {
  readonly tasks: number
  /** Number of tasks that each target can hold, for the targets in the order in which they are named. */
  readonly capacities: readonly number[]
  /** Share of the targets that the policy is expected to allow, from 0 to 1. */
  readonly allowedShare: number
  /** Time of an answer without any target, in milliseconds. */
  readonly decisionMs: number
  /** Number of lanes that could ask a question now. */
  readonly idleLanes: number
}

/**
 * Returns the numbers of targets in the questions to ask at once. A step with a slow policy asks about all targets with
 * capacity if there are lanes for it: while it waits for one answer after the other, other steps take the capacity that
 * it was told of, and each further question delays it by another decision.
 *
 * @example
 * planQuestions({ tasks: 20, capacities, allowedShare: 0.3, decisionMs: 686, idleLanes: 90 }) // [28, 28, 28, 28]
 */
export function planQuestions ({ tasks, capacities, allowedShare, decisionMs, idleLanes }: QuestionPlanInput): readonly number[] {
  const needed = countTargetsToName(tasks, capacities, allowedShare)
  const lanes = decisionMs < LONG_DECISION_MS ? 1 : Math.max(1, Math.floor(idleLanes * LANE_SHARE))
  if (lanes === 1) return needed === 0 ? [] : [needed]
  const holding = capacities.filter(capacity => capacity > 0).length
  const named = Math.max(needed, Math.min(holding, lanes * TARGETS_PER_PARALLEL_QUESTION))
  const questions = Math.min(lanes, Math.ceil(named / TARGETS_PER_PARALLEL_QUESTION))
  return Array.from({ length: questions }, (_, question) => Math.floor(named * (question + 1) / questions) - Math.floor(named * question / questions))
}
