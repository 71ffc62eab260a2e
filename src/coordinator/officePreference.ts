/** Which instance should coordinate when instances are unlike: one with many processors. */
import type { Clock } from '../ports/clock.ts'

/** An instance counts as larger from this ratio of processors on. */
const LARGER_RATIO = 1.2
/**
 * A smaller instance stands for election that much later: longer than the largest delay by which distant
 * candidates let near ones go first.
 */
const SMALLER_DELAY_MS = 500
/** Reports of a larger instance must have come for that long before the office is handed to it. */
const STEADY_MS = 2_000
/** A report that is older does not count; five intervals between two reports. */
const REPORT_AGE_MS = 2_000
/** Between two hand-overs by one instance, so that a larger one that is not elected does not keep the office moving. */
const YIELD_INTERVAL_MS = 30_000

interface Reported {
  readonly processors: number
  readonly steadySinceMs: number
  readonly seenAtMs: number
}

/**
 * Follows how many processors the other instances have.
 *
 * @example
 * preference.noteReport('entry-2', 1.35, true)
 * if (preference.shouldYield()) await election.resign('a larger instance is there')
 */
export class OfficePreference {
  readonly #clock: Clock
  readonly #processors: number
  readonly #reports = new Map<string, Reported>()
  /** Most processors of an instance that a coordinator knew of. */
  #learned = 0
  #lastYieldMs = -Infinity

  /** `processors` are those of this instance. */
  constructor (clock: Clock, processors: number) {
    this.#clock = clock
    this.#processors = processors
  }

  /** Notes what an instance reports to this one; an instance that does not reach the store can not be elected. */
  noteReport (instance: string, processors: number, reachesStore: boolean): void {
    const nowMs = this.#clock.monotonicMs()
    const known = this.#reports.get(instance)
    if (!reachesStore) this.#reports.delete(instance)
    else this.#reports.set(instance, { processors, seenAtMs: nowMs, steadySinceMs: known === undefined || this.#isOld(known) ? nowMs : known.steadySinceMs })
  }

  /** Notes what the coordinator knows. */
  learn (largest: number): void {
    this.#learned = largest
  }

  /** Most processors of an instance that could coordinate. */
  get largest (): number {
    const reported = [...this.#reports.values()].filter(report => !this.#isOld(report)).map(({ processors }) => processors)
    return Math.max(this.#processors, ...reported)
  }

  /** Time by which this instance lets larger ones go first in an election. */
  get candidateDelayMs (): number {
    return Math.max(this.#learned, this.largest) >= this.#processors * LARGER_RATIO ? SMALLER_DELAY_MS : 0
  }

  /** Whether this instance should hand the office over now; true at most once in a while. */
  shouldYield (): boolean {
    const nowMs = this.#clock.monotonicMs()
    if (nowMs - this.#lastYieldMs < YIELD_INTERVAL_MS) return false
    const isThere = [...this.#reports.values()].some(report => !this.#isOld(report) &&
      nowMs - report.steadySinceMs >= STEADY_MS && report.processors >= this.#processors * LARGER_RATIO)
    if (isThere) this.#lastYieldMs = nowMs
    return isThere
  }

  #isOld ({ seenAtMs }: Reported): boolean {
    return this.#clock.monotonicMs() - seenAtMs > REPORT_AGE_MS
  }
}
