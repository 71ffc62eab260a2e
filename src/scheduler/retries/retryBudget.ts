/** Bounds retries by a part of the requests, so that a failing cluster isn't loaded further by retries. */

/** Retries that each request adds to its team's budget. */
export const RETRIES_PER_REQUEST = 0.1
/** Retries that a team may save up. */
export const RETRY_BURST = 10

/** Rounding error of a sum of tenths. */
const TOLERANCE = 1e-9

/**
 * A token bucket for each team, full at first.
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

  /** Takes one retry; false if the budget is used up. */
  tryTake (team: string): boolean {
    const available = this.available(team)
    if (available < 1 - TOLERANCE) return false
    this.#tokens.set(team, Math.max(0, available - 1))
    return true
  }

  /** Forgets a team that the configuration no longer has. */
  forget (team: string): void {
    this.#tokens.delete(team)
  }
}
