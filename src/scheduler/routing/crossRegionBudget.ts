/** Limits the bytes that each team sends over the link between regions, which is slow and billed by volume. */
import type { Clock } from '../../ports/clock.ts'
import { RateBudget } from '../rateBudget.ts'

export interface CrossRegionAllowance {
  readonly bytesPerSecond: number
  readonly burstBytes: number
}

/**
 * One token bucket of bytes per team, initially full.
 *
 * @example
 * const budget = new CrossRegionBudget(clock, () => ({ bytesPerSecond: 100_000, burstBytes: 1_000_000 }))
 * if (budget.tryTake('cooks', requestBytes)) forward()
 * budget.record('cooks', answerBytes)
 */
export class CrossRegionBudget {
  readonly #budget: RateBudget
  readonly #totalBytes = new Map<string, number>()

  constructor (clock: Pick<Clock, 'monotonicMs'>, allowanceOf: (team: string) => CrossRegionAllowance) {
    this.#budget = new RateBudget(clock, team => {
      const { bytesPerSecond, burstBytes } = allowanceOf(team)
      return { perSecond: bytesPerSecond, burst: burstBytes }
    })
  }

  /** Returns the bytes that the team may send now; negative while its recorded responses exceed the rate. */
  available (team: string): number {
    return this.#budget.available(team)
  }

  /** Takes the bytes of a request, or returns false if the team's budget is too small. */
  tryTake (team: string, bytes: number): boolean {
    if (this.available(team) < bytes) return false
    this.record(team, bytes)
    return true
  }

  /** Subtracts bytes whose number was not known in advance, such as those of a response. */
  record (team: string, bytes: number): void {
    this.#budget.record(team, bytes)
    this.#totalBytes.set(team, this.totalBytes(team) + bytes)
  }

  /** Returns the bytes charged to the team since this process started. */
  totalBytes (team: string): number {
    return this.#totalBytes.get(team) ?? 0
  }

  /** Removes the state of a team that was removed from the configuration. */
  forget (team: string): void {
    this.#budget.forget(team)
    this.#totalBytes.delete(team)
  }
}
