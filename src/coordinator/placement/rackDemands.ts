/** Recent demand for the capacity of racks. */

/** Demand of the last seconds; long against runs, and short enough to follow a burst. */
const DEMAND_WINDOW_MS = 10_000
/** After this many windows less than a thousandth of a demand is left. */
const EXPIRY_WINDOWS = 7
/** Callers choose the names of racks freely, so that expiry alone does not bound the memory. */
const MAX_DEMANDS = 1_024
/** No service and rack have longer names together. */
const MAX_KEY_LENGTH = 1_000

/** Work in millicore-milliseconds, decayed over `DEMAND_WINDOW_MS`. */
interface Demand {
  readonly work: number
  readonly atMs: number
}

/**
 * Decaying sums of the work that started lately, by key of the rack. Keeps the latest `MAX_DEMANDS` racks, and none with a key longer than `MAX_KEY_LENGTH`.
 *
 * @example
 * demands.record('renders a1', 4_000_000, nowMs)
 * demands.processors('renders a1', nowMs)
 */
export class RackDemands {
  /** In the order of their last change. */
  readonly #demands = new Map<string, Demand>()

  get size (): number {
    return this.#demands.size
  }

  record (key: string, work: number, nowMs: number): void {
    if (key.length > MAX_KEY_LENGTH) return
    const earlier = this.#demands.get(key)
    this.#demands.delete(key)
    this.#demands.set(key, { work: work + (earlier === undefined ? 0 : earlier.work * decay(nowMs - earlier.atMs)), atMs: nowMs })
    for (const [oldest, { atMs }] of this.#demands) {
      if (this.#demands.size <= MAX_DEMANDS && nowMs - atMs <= EXPIRY_WINDOWS * DEMAND_WINDOW_MS) break
      this.#demands.delete(oldest)
    }
  }

  /** Mean number of millicores in use by recent demand; undefined without any. */
  processors (key: string, nowMs: number): number | undefined {
    const demand = this.#demands.get(key)
    return demand === undefined ? undefined : demand.work * decay(nowMs - demand.atMs) / DEMAND_WINDOW_MS
  }
}

function decay (elapsedMs: number): number {
  return Math.exp(-elapsedMs / DEMAND_WINDOW_MS)
}
