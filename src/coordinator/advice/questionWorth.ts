/** Decides whether a further question to the placement advisor pays, in full services with many steps that wait for advice. */
import type { StepDefinition } from '../../jobs/job.ts'

/**
 * A step waits for capacity on its allowed targets for this multiple of the expected time of an answer, counted from the
 * last one: others may take what the forecast promised.
 */
const MAX_WAIT_IN_ANSWERS = 2

/** A step that has an answer, but no allowed target with capacity. Capacities are numbers of tasks. */
export interface FurtherQuestion {
  readonly definition: Pick<StepDefinition, 'gang'>
  /** Number of tasks to place. */
  readonly count: number
  /** Free capacity of the allowed targets. */
  readonly allowedCapacity: number
  /** Free capacity of the targets that the question would name. */
  readonly namedCapacity: number
  /** Expected time until a lane is free for the question; 0 if one is idle. */
  readonly laneWaitMs: number
  /** Time of the answer from then on. */
  readonly decisionMs: number
  /** Expected time until the allowed targets have capacity; `Infinity` if they never will. */
  readonly timeUntilAllowedMs: () => number
  /** Time since the last answer about the step. */
  readonly waitedMs: number
}

/**
 * A question occupies a lane for as long as the policy takes to decide, however few targets it names. While others wait for
 * the lanes, it does not pay if the allowed targets are expected to have capacity before it is answered, nor for a gang that could not start if all
 * the named targets were allowed. Without this rule, steps that wait for capacity ask about each target that gets a little,
 * until every answer takes seconds and the free capacity of the service is not used.
 *
 * @example
 * if (isWorthAsking({ definition, count: 4, allowedCapacity: 1, namedCapacity: 2, laneWaitMs: 800, decisionMs: 600, timeUntilAllowedMs, waitedMs: 0 })) ask()
 */
export function isWorthAsking ({ definition, count, allowedCapacity, namedCapacity, laneWaitMs, decisionMs, timeUntilAllowedMs, waitedMs }: FurtherQuestion): boolean {
  if (laneWaitMs <= 0) return true
  const untilAllowedMs = timeUntilAllowedMs()
  if (untilAllowedMs === Infinity) return true
  const answerMs = laneWaitMs + decisionMs
  if (waitedMs >= MAX_WAIT_IN_ANSWERS * answerMs) return true
  return answerMs < untilAllowedMs && !(definition.gang && allowedCapacity + namedCapacity < count)
}
