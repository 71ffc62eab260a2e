/** Which instance should coordinate when instances are unlike: one with many processors. */
import type { Clock } from '../ports/clock.ts'

/** An instance counts as larger from this ratio of processors on. */
const LARGER_RATIO = 1.2
/**
 * A smaller instance stands for election that much later: longer than the largest delay by which distant
 * candidates let near ones go first.
 */
const SMALLER_CANDIDATE_DELAY_MS = 500
/** Reports of a larger instance must have come for that long before the office is handed to it. */
const STABLE_REPORTS_MS = 2_000
/** A report that is older does not count; five intervals between two reports. */
const MAX_REPORT_AGE_MS = 2_000
/** Between two hand-overs by one instance, so that a larger one that is not elected does not keep the office moving. */
const HAND_OVER_INTERVAL_MS = 30_000

interface InstanceReport {
  readonly processors: number
  readonly stableSinceMs: number
  readonly receivedAtMs: number
}

/**
 * Follows how many processors the other instances have.
 *
 * @example
 * preference.noteReport('entry-2', 1.35, true)
 * if (preference.shouldYield()) await election.resign('a larger instance is there')
 */
export class CoordinatorPreference {
  readonly #clock: Clock
  readonly #processors: number
  readonly #reports = new Map<string, InstanceReport>()
  /** Most processors of an instance that a coordinator knew of. */
  #largestKnownToCoordinator = 0
  #lastHandOverMs = -Infinity

  /** `processors` are those of this instance. */
  constructor (clock: Clock, processors: number) {
    this.#clock = clock
    this.#processors = processors
  }

  /** Notes what an instance reports to this one; an instance that does not reach the store can not be elected. */
  recordReport (instance: string, processors: number, reachesStore: boolean): void {
    const nowMs = this.#clock.monotonicMs()
    const known = this.#reports.get(instance)
    if (!reachesStore) this.#reports.delete(instance)
    else this.#reports.set(instance, { processors, receivedAtMs: nowMs, stableSinceMs: known === undefined || this.#isExpired(known) ? nowMs : known.stableSinceMs })
  }

  /** Notes what the coordinator knows. */
  updateLargestKnown (largest: number): void {
    this.#largestKnownToCoordinator = largest
  }

  /** Most processors of an instance that could coordinate. */
  get largest (): number {
    const reported = [...this.#reports.values()].filter(report => !this.#isExpired(report)).map(({ processors }) => processors)
    return Math.max(this.#processors, ...reported)
  }

  /** Time by which this instance lets larger ones go first in an election. */
  get candidateDelayMs (): number {
    return Math.max(this.#largestKnownToCoordinator, this.largest) >= this.#processors * LARGER_RATIO ? SMALLER_CANDIDATE_DELAY_MS : 0
  }

  /** Whether this instance should hand the office over now; true at most once in a while. */
  shouldHandOver (): boolean {
    const nowMs = this.#clock.monotonicMs()
    if (nowMs - this.#lastHandOverMs < HAND_OVER_INTERVAL_MS) return false
    const largerAvailable = [...this.#reports.values()].some(report => !this.#isExpired(report) &&
      nowMs - report.stableSinceMs >= STABLE_REPORTS_MS && report.processors >= this.#processors * LARGER_RATIO)
    if (largerAvailable) this.#lastHandOverMs = nowMs
    return largerAvailable
  }

  #isExpired ({ receivedAtMs }: InstanceReport): boolean {
    return this.#clock.monotonicMs() - receivedAtMs > MAX_REPORT_AGE_MS
  }
}
