/** Limits retries to a fraction of the requests, so that retries do not add load to a failing cluster. */

/** Tokens that each request adds to its team's budget; a retry takes one token. */
export const RETRIES_PER_REQUEST = 0.1
/** Maximum number of tokens that a team can accumulate. */
export const RETRY_BURST = 10

/** Tolerates the rounding error of sums of 0.1. */
const TOLERANCE = 1e-9

/**
 * One token bucket per team, initially full.
 *
 * @example
 * budget.recordRequest('cooks')
 * if (budget.tryTake('cooks')) retry()
 */
export class RetryBudget {
  readonly #tokens = new Map<string, number>()

  recordRequest (team: string): void {
    this.#tokens.set(team, Math.min(RETRY_BURST, this.available(team) + RETRIES_PER_REQUEST))
  }

  available (team: string): number {
    return this.#tokens.get(team) ?? RETRY_BURST
  }

  /** Takes the token for one retry, or returns false if the budget is exhausted. */
  tryTake (team: string): boolean {
    const available = this.available(team)
    if (available < 1 - TOLERANCE) return false
    this.#tokens.set(team, Math.max(0, available - 1))
    return true
  }

  /** Removes the budget of a team that was removed from the configuration. */
  forget (team: string): void {
    this.#tokens.delete(team)
  }
}
