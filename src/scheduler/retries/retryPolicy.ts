/** Decides whether and when a failed request is retried. */
import { combineVerdicts } from '../../model/verdict.ts'
import type { Verdict } from '../../model/verdict.ts'
import type { Random } from '../../ports/random.ts'
import { computeBackoff } from './backoff.ts'
import type { RetryBudget } from './retryBudget.ts'

/** Known outcome of one attempt. */
export interface AttemptOutcome {
  readonly verdict: Verdict
  /** The target confirmed that the task has stopped or never started. */
  readonly stopped: boolean
  /** Monotonic time by which the task's lease has ended, allowing for clock drift; undefined if unknown. */
  readonly leaseEndsAt?: number
}

export interface RetryQuestion {
  readonly team: string
  readonly repeatable: boolean
  /** All attempts so far; at least one. */
  readonly attempts: readonly AttemptOutcome[]
  /** Whether a retry on another target or at a later time may succeed. */
  readonly retryable: boolean
  /** Current monotonic time; `deadlineAt` is on the same clock. */
  readonly now: number
  readonly deadlineAt: number
}

export type GiveUpReason = 'not-retryable' | 'may-run-twice' | 'deadline' | 'budget'

export type RetryDecision =
  | { readonly action: 'retry', readonly afterMs: number }
  | { readonly action: 'give-up', readonly verdict: Verdict, readonly reason: GiveUpReason }

/** Returns the earliest time at which no attempt can still be running, or undefined if a retry is never safe. */
function findEarliestSafeTime ({ attempts, repeatable, now }: RetryQuestion): number | undefined {
  let safeAt = now
  for (const { verdict, stopped, leaseEndsAt } of attempts) {
    if (verdict === 'not-run') continue
    if (!repeatable) return undefined
    if (stopped) continue
    if (leaseEndsAt === undefined) return undefined
    safeAt = Math.max(safeAt, leaseEndsAt)
  }
  return safeAt
}

/**
 * Retries only requests that have not run, and repeatable requests whose attempts will all have stopped by the time of
 * the retry. A decision to retry takes one token of the team's budget.
 *
 * @example
 * decideRetry({ team: 'cooks', repeatable: false, attempts: [{ verdict: 'not-run', stopped: true }], retryable: true, now: 0, deadlineAt: 5_000 }, budget, random)
 */
export function decideRetry (question: RetryQuestion, budget: RetryBudget, random: Random): RetryDecision {
  const verdict = combineVerdicts(question.attempts.map(attempt => attempt.verdict))
  const giveUp = (reason: GiveUpReason): RetryDecision => ({ action: 'give-up', verdict, reason })
  if (!question.retryable) return giveUp('not-retryable')
  const safeAt = findEarliestSafeTime(question)
  if (safeAt === undefined) return giveUp('may-run-twice')
  const retryAt = Math.max(safeAt, question.now + computeBackoff(question.attempts.length, random))
  if (retryAt >= question.deadlineAt) return giveUp('deadline')
  if (!budget.tryTake(question.team)) return giveUp('budget')
  return { action: 'retry', afterMs: retryAt - question.now }
}
