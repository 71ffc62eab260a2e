/** Estimates the waiting time of requests of each kind on this instance, as a moving average. */
import type { KindName } from '../../model/request.ts'

/** Weight of the latest wait in the moving average. */
const NEWEST_WEIGHT = 0.2

export class WaitEstimator {
  readonly #averages = new Map<KindName, number>()

  record (kind: KindName, waitedMs: number): void {
    const known = this.#averages.get(kind)
    this.#averages.set(kind, known === undefined ? waitedMs : known + (waitedMs - known) * NEWEST_WEIGHT)
  }

  /** Returns milliseconds; zero before the first recorded wait. */
  estimate (kind: KindName): number {
    return this.#averages.get(kind) ?? 0
  }
}
