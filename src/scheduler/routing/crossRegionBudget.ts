/** Bytes that each team may send over the link between regions, which is slow and billed by volume. */
import type { Clock } from '../../ports/clock.ts'
import { RateBudget } from '../rateBudget.ts'

export interface CrossRegionAllowance {
  readonly bytesPerSecond: number
  readonly burstBytes: number
}

/**
 * A token bucket of bytes for each team, full at first.
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

  /** Bytes that the team may send now; negative while answers that it received exceed its rate. */
  available (team: string): number {
    return this.#budget.available(team)
  }

  /** Takes the bytes of a request; false if the team's budget does not allow them. */
  tryTake (team: string, bytes: number): boolean {
    if (this.available(team) < bytes) return false
    this.record(team, bytes)
    return true
  }

  /** Counts bytes whose number was not known in advance, such as those of an answer. */
  record (team: string, bytes: number): void {
    this.#budget.record(team, bytes)
    this.#totalBytes.set(team, this.totalBytes(team) + bytes)
  }

  /** Bytes of the team since this process started. */
  totalBytes (team: string): number {
    return this.#totalBytes.get(team) ?? 0
  }

  /** Forgets a team that the configuration no longer has. */
  forget (team: string): void {
    this.#budget.forget(team)
    this.#totalBytes.delete(team)
  }
}
