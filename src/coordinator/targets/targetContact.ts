/** Tracks when one target incarnation answered, and what its clock shows. */
import type { Clock } from '../../ports/clock.ts'

/**
 * Leases are not extended on a target that has been silent for longer: each request that may still arrive would
 * postpone the time by which all its runs have certainly ended. It gets no new tasks either, since a start extends them.
 */
export const MAX_SILENCE_FOR_EXTENSION_MS = 1_500
/** A target needs longer to restart and to end a run. After a longer time without a report, ends are not acknowledged, and leases not extended once a later incarnation is listed. */
export const MAX_CERTAIN_REPORT_AGE_MS = 150
/** A start that is answered with a clock further from the expected one was executed by another incarnation; requests are given up sooner. */
const MAX_CLOCK_DIFFERENCE_MS = 1_500
/** An incarnation that has been up for a shorter time is told apart by its reports only. */
const MIN_DISTINCT_CLOCK_MS = 3_000
/** Clocks of targets run up to 2% slow; half as much again is added as a margin. */
const MIN_CLOCK_RATE = 0.97

/**
 * Reports show that the incarnation is alive. Answers to starts may come from the next incarnation, whose clock differs.
 *
 * @example
 * const contact = new TargetContact(clock)
 * contact.recordReport(report.clockMs, requestedMs, clock.monotonicMs())
 * contact.isAnsweringAt(clock.monotonicMs()) // true
 */
export class TargetContact {
  readonly #clock: Clock
  #clockOffsetMs: number | undefined
  #lastReportMs = -Infinity
  #lastReportRequestedMs = -Infinity
  #lastAnswerMs: number
  #mayHaveRestarted = false
  /** When an answer came that another incarnation may have given; undefined once a later request was answered by this one. */
  #doubtedAtMs: number | undefined
  #unansweredSinceMs: number | undefined

  constructor (clock: Clock) {
    this.#clock = clock
    this.#lastAnswerMs = clock.monotonicMs()
  }

  /** Lower bound of the target's clock minus this process's; undefined before its first report. */
  get clockOffsetMs (): number | undefined {
    return this.#clockOffsetMs
  }

  /** When the last report was requested; it may arrive much later than it was given. */
  get lastReportRequestedMs (): number {
    return this.#lastReportRequestedMs
  }

  /** Time of the last answer, also to a start request, or of the beginning of the session. */
  get lastAnswerMs (): number {
    return this.#lastAnswerMs
  }

  /** When the first renewal since the last report failed; undefined while the target answers. */
  get unansweredSinceMs (): number | undefined {
    return this.#unansweredSinceMs
  }

  /** Whether an answer suggests that another incarnation has executed a request; false again after a report of this one. */
  get mayHaveRestarted (): boolean {
    return this.#mayHaveRestarted
  }

  reportAgeMs (nowMs: number): number {
    return nowMs - this.#lastReportMs
  }

  /** Whether the target answers, so that tasks may be started there. */
  isAnsweringAt (nowMs: number): boolean {
    return this.#isUndoubted && this.reportAgeMs(nowMs) < MAX_SILENCE_FOR_EXTENSION_MS
  }

  /** Whether a request that is sent now certainly reaches this incarnation, and not the next one. */
  get isIncarnationCertain (): boolean {
    const reportAgeMs = this.reportAgeMs(this.#clock.monotonicMs())
    return this.#isUndoubted && this.#doubtedAtMs === undefined && reportAgeMs <= MAX_CERTAIN_REPORT_AGE_MS
  }

  get #isUndoubted (): boolean {
    return this.#unansweredSinceMs === undefined && !this.#mayHaveRestarted
  }

  /** Records a report of this incarnation that was requested at the given time. */
  recordReport (clockMs: number, requestedMs: number, nowMs: number): void {
    if (this.#doubtedAtMs !== undefined && requestedMs >= this.#doubtedAtMs) this.#doubtedAtMs = undefined
    this.#lastReportMs = this.#lastAnswerMs = nowMs
    this.#lastReportRequestedMs = requestedMs
    this.#unansweredSinceMs = undefined
    this.#mayHaveRestarted = false
    this.#clockOffsetMs = clockMs - nowMs
  }

  /** Records an answer to a start request, by which a crash is dated unless renewals have failed. */
  recordStarted (isAnswerOfIncarnation: boolean): void {
    if (!isAnswerOfIncarnation) this.#doubtedAtMs = this.#clock.monotonicMs()
    if (this.#unansweredSinceMs === undefined) this.#lastAnswerMs = this.#clock.monotonicMs()
  }

  recordFailedRenewal (): void {
    this.#unansweredSinceMs ??= this.#clock.monotonicMs()
  }

  /**
   * Whether the clock in the answer to a request shows that this incarnation has executed it. The clock of a later one
   * started anew, and is below what this incarnation's clock was when the request was sent, unless reports arrive late: it
   * started after the last report of this one was requested.
   */
  isAnswerOfIncarnation (clockMs: number, sentMs: number): boolean {
    if (clockMs === 0 || this.#clockOffsetMs === undefined || this.#mayHaveRestarted) return false
    const clockAtReportMs = this.#clockOffsetMs + this.#lastReportMs
    const earliestClockMs = clockAtReportMs + Math.max(0, sentMs - this.#lastReportMs) * MIN_CLOCK_RATE
    const longestClockOfNextMs = this.#clock.monotonicMs() - this.#lastReportRequestedMs
    return clockAtReportMs >= MIN_DISTINCT_CLOCK_MS && clockMs >= Math.floor(earliestClockMs) && clockMs > longestClockOfNextMs
  }

  /** Compares the clock of an answer to a start; returns the difference if it is the first to suggest that the target has restarted. */
  findRestart (clockMs: number): number | undefined {
    if (clockMs === 0 || this.#clockOffsetMs === undefined || this.#mayHaveRestarted) return undefined
    const differenceMs = clockMs - this.#clockOffsetMs - this.#clock.monotonicMs()
    if (Math.abs(differenceMs) <= MAX_CLOCK_DIFFERENCE_MS) return undefined
    this.#mayHaveRestarted = true
    return differenceMs
  }
}
