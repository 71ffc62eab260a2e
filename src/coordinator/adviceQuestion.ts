/** Decides how many targets a question to the placement advisor names, since each one makes the answer later. */

/** Maximum number of targets in one question. */
export const MAX_TARGETS_PER_QUESTION = 100
/** The latency objective of a job includes one question of this size for each step. */
const MIN_TARGETS_PER_QUESTION = 30
/** Expected capacity minus this many standard deviations must cover the tasks, so that few steps need a second question. */
const SAFETY_DEVIATIONS = 2
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
