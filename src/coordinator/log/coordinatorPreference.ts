/** Makes an instance with more processors the preferred coordinator when instances differ in size. */
import type { Clock } from '../../ports/clock.ts'

/** Minimum ratio of processors for an instance to count as larger. */
const LARGER_RATIO = 1.2
/**
 * Election delay of a smaller instance: longer than the largest delay by which instances far from the store let closer
 * ones be elected first.
 */
const SMALLER_CANDIDATE_DELAY_MS = 500
/** Size of the job log that a new coordinator reads under load. */
const TYPICAL_LOG_MEGABITS = 24
/** An instance leaves this part of its reading time to those with faster links, up to a limit for clusters without any. */
const LINK_DELAY_FACTOR = 0.25
const MAX_LINK_DELAY_MS = 600
const MS_PER_SECOND = 1_000

/** A larger instance must have been reporting for this long before leadership is handed over to it. */
const STABLE_REPORTS_MS = 2_000
/** Older reports are ignored; five report intervals. */
const MAX_REPORT_AGE_MS = 2_000
/** Minimum interval between hand-overs by one instance, so that a larger one that is not elected does not cause repeated elections. */
const HAND_OVER_INTERVAL_MS = 30_000

/** The latest report of another instance. */
interface ReportedProcessors {
  readonly processors: number
  readonly stableSinceMs: number
  readonly receivedAtMs: number
}

/**
 * Tracks the number of processors of the other instances.
 *
 * @example
 * preference.recordReport('entry-2', 1.35, true)
 * if (preference.shouldHandOver()) await election.resign('a larger instance is available')
 */
export class CoordinatorPreference {
  readonly #clock: Clock
  readonly #processors: number
  readonly #linkDelayMs: number
  readonly #reports = new Map<string, ReportedProcessors>()
  /** Most processors of any instance known to the coordinator. */
  #largestKnownToCoordinator = 0
  #lastHandOverMs = -Infinity

  /** `processors` and `bandwidthMbps` are those of this instance. */
  constructor (clock: Clock, processors: number, bandwidthMbps: number) {
    this.#clock = clock
    this.#processors = processors
    this.#linkDelayMs = Math.min(MAX_LINK_DELAY_MS, TYPICAL_LOG_MEGABITS / bandwidthMbps * MS_PER_SECOND * LINK_DELAY_FACTOR)
  }

  /** Records an instance's report; an instance that cannot reach the store cannot be elected and is ignored. */
  recordReport (instance: string, processors: number, reachesStore: boolean): void {
    const nowMs = this.#clock.monotonicMs()
    const known = this.#reports.get(instance)
    if (!reachesStore) this.#reports.delete(instance)
    else this.#reports.set(instance, { processors, receivedAtMs: nowMs, stableSinceMs: known === undefined || this.#isExpired(known) ? nowMs : known.stableSinceMs })
  }

  /** Sets the most processors of any instance, as reported by the coordinator. */
  updateLargestKnown (largest: number): void {
    this.#largestKnownToCoordinator = largest
  }

  /** Most processors of any instance that could be elected, this one included. */
  get largest (): number {
    const reported = [...this.#reports.values()].filter(report => !this.#isExpired(report)).map(({ processors }) => processors)
    return Math.max(this.#processors, ...reported)
  }

  /** Election delay that lets larger instances and those with faster links be elected first. */
  get candidateDelayMs (): number {
    return this.#linkDelayMs + (Math.max(this.#largestKnownToCoordinator, this.largest) >= this.#processors * LARGER_RATIO ? SMALLER_CANDIDATE_DELAY_MS : 0)
  }

  /** Whether this instance should hand over leadership now; true at most once per `HAND_OVER_INTERVAL_MS`. */
  shouldHandOver (): boolean {
    const nowMs = this.#clock.monotonicMs()
    if (nowMs - this.#lastHandOverMs < HAND_OVER_INTERVAL_MS) return false
    const largerAvailable = [...this.#reports.values()].some(report => !this.#isExpired(report) &&
      nowMs - report.stableSinceMs >= STABLE_REPORTS_MS && report.processors >= this.#processors * LARGER_RATIO)
    if (largerAvailable) this.#lastHandOverMs = nowMs
    return largerAvailable
  }

  #isExpired ({ receivedAtMs }: ReportedProcessors): boolean {
    return this.#clock.monotonicMs() - receivedAtMs > MAX_REPORT_AGE_MS
  }
}
