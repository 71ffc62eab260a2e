/** Estimates how long a request of a kind waits here, from the latest waits. */
import type { KindName } from '../../model/request.ts'

/** Weight of the newest wait in the moving average. */
const NEWEST_WEIGHT = 0.2

export class WaitEstimator {
  readonly #averages = new Map<KindName, number>()

  record (kind: KindName, waitedMs: number): void {
    const known = this.#averages.get(kind)
    this.#averages.set(kind, known === undefined ? waitedMs : known + (waitedMs - known) * NEWEST_WEIGHT)
  }

  /** Milliseconds; zero while nothing has waited. */
  estimate (kind: KindName): number {
    return this.#averages.get(kind) ?? 0
  }
}
