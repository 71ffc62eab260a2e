/** Bytes that each team may send over the link between regions, which is slow and billed by volume. */
import type { Clock } from '../../ports/clock.ts'

export interface CrossRegionAllowance {
  readonly bytesPerSecond: number
  readonly burstBytes: number
}

interface Bucket {
  bytes: number
  refilledAt: number
  totalBytes: number
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
  readonly #clock: Pick<Clock, 'monotonicMs'>
  readonly #allowanceOf: (team: string) => CrossRegionAllowance
  readonly #buckets = new Map<string, Bucket>()

  constructor (clock: Pick<Clock, 'monotonicMs'>, allowanceOf: (team: string) => CrossRegionAllowance) {
    this.#clock = clock
    this.#allowanceOf = allowanceOf
  }

  /** Bytes that the team may send now; negative while answers that it received exceed its rate. */
  available (team: string): number {
    return this.#refill(team).bytes
  }

  /** Takes the bytes of a request; false if the team's budget does not allow them. */
  tryTake (team: string, bytes: number): boolean {
    if (this.available(team) < bytes) return false
    this.record(team, bytes)
    return true
  }

  /** Counts bytes whose number was not known in advance, such as those of an answer. */
  record (team: string, bytes: number): void {
    const bucket = this.#refill(team)
    bucket.bytes -= bytes
    bucket.totalBytes += bytes
  }

  /** Bytes of the team since this process started. */
  totalBytes (team: string): number {
    return this.#buckets.get(team)?.totalBytes ?? 0
  }

  /** Forgets a team that the configuration no longer has. */
  forget (team: string): void {
    this.#buckets.delete(team)
  }

  #refill (team: string): Bucket {
    const now = this.#clock.monotonicMs()
    const { bytesPerSecond, burstBytes } = this.#allowanceOf(team)
    const bucket = this.#buckets.get(team) ?? { bytes: burstBytes, refilledAt: now, totalBytes: 0 }
    this.#buckets.set(team, bucket)
    bucket.bytes = Math.min(burstBytes, bucket.bytes + bytesPerSecond * (now - bucket.refilledAt) / 1_000)
    bucket.refilledAt = now
    return bucket
  }
}
