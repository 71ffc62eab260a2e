/** Tracks when one target incarnation answered, and what its clock shows. */
import type { Clock } from '../../ports/clock.ts'

/**
 * Leases are not extended on a target that has been silent for longer: each request that may still arrive would
 * postpone the time by which all its runs have certainly ended. It gets no new tasks either, since a start extends them.
 */
export const MAX_SILENCE_FOR_EXTENSION_MS = 1_500
/** After a longer time without a report, ends are not acknowledged, and leases not extended while another incarnation may be later. */
export const RECENT_REPORT_AGE_MS = 150
/** An answer with a clock further from the expected one suggests another incarnation; requests are given up sooner. */
const MAX_CLOCK_DIFFERENCE_MS = 1_500

/**
 * Reports show that the incarnation is alive. Answers to starts may come from the next incarnation. A clock that differs is a
 * reason to ask the target; one that agrees proves nothing.
 *
 * @example
 * const contact = new TargetContact(clock)
 * contact.recordReport(report.clockMs, requestedMs, clock.monotonicMs())
 * contact.isAnsweringAt(clock.monotonicMs()) // true
 */
export class TargetContact {
  readonly #clock: Clock
  #clockOffsetMs: number | undefined
  #lastReportClockMs = -Infinity
  #lastReportMs = -Infinity
  #lastReportRequestedMs = -Infinity
  #lastAnswerMs: number
  #mayHaveRestarted = false
  /** When an answer last suggested a restart. */
  #suspectedAtMs = -Infinity
  #unansweredSinceMs: number | undefined

  constructor (clock: Clock) {
    this.#clock = clock
    this.#lastAnswerMs = clock.monotonicMs()
  }

  /** Lower bound of the target's clock minus this process's; undefined before its first report. */
  get clockOffsetMs (): number | undefined {
    return this.#clockOffsetMs
  }

  /** What the clock of this incarnation shows now; undefined before its first report. */
  get expectedClockMs (): number | undefined {
    return this.#clockOffsetMs === undefined ? undefined : Math.round(this.#clockOffsetMs + this.#clock.monotonicMs())
  }

  /** What the clock of this incarnation showed in its last report; `-Infinity` before the first. */
  get lastReportClockMs (): number {
    return this.#lastReportClockMs
  }

  /** When the last report was requested; it may arrive much later than it was given. */
  get lastReportRequestedMs (): number {
    return this.#lastReportRequestedMs
  }

  /** When the last report arrived. */
  get lastReportMs (): number {
    return this.#lastReportMs
  }

  /** Time of the last answer, also to a start request, or of the beginning of the session. */
  get lastAnswerMs (): number {
    return this.#lastAnswerMs
  }

  /** When the first renewal since the last report failed; undefined while the target answers. */
  get unansweredSinceMs (): number | undefined {
    return this.#unansweredSinceMs
  }

  /** Whether an answer suggests that another incarnation has executed a request; false again after a report of this one that was requested later. */
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

  /** Whether a request that is sent now very likely reaches this incarnation. That it can do no harm to the next one does not depend on it. */
  get hasRecentReport (): boolean {
    const reportAgeMs = this.reportAgeMs(this.#clock.monotonicMs())
    return this.#isUndoubted && reportAgeMs <= RECENT_REPORT_AGE_MS
  }

  get #isUndoubted (): boolean {
    return this.#unansweredSinceMs === undefined && !this.#mayHaveRestarted
  }

  /** Records a report of this incarnation that was requested at the given time. */
  recordReport (clockMs: number, requestedMs: number, nowMs: number): void {
    this.#lastReportMs = this.#lastAnswerMs = nowMs
    this.#lastReportRequestedMs = Math.max(this.#lastReportRequestedMs, requestedMs)
    this.#unansweredSinceMs = undefined
    if (requestedMs > this.#suspectedAtMs) this.#mayHaveRestarted = false
    this.#clockOffsetMs = clockMs - nowMs
    this.#lastReportClockMs = clockMs
  }

  /** Records an answer to a start request, by which a crash is dated unless renewals have failed. */
  recordStarted (): void {
    if (this.#unansweredSinceMs === undefined) this.#lastAnswerMs = this.#clock.monotonicMs()
  }

  recordFailedRenewal (): void {
    this.#unansweredSinceMs ??= this.#clock.monotonicMs()
  }

  /** Compares the clock of an answer to a start; returns the difference if it is the first to suggest that the target has restarted. */
  findRestart (clockMs: number): number | undefined {
    if (clockMs === 0 || this.#clockOffsetMs === undefined || this.#mayHaveRestarted) return undefined
    const differenceMs = clockMs - this.#clockOffsetMs - this.#clock.monotonicMs()
    if (Math.abs(differenceMs) <= MAX_CLOCK_DIFFERENCE_MS) return undefined
    this.#mayHaveRestarted = true
    this.#suspectedAtMs = this.#clock.monotonicMs()
    return differenceMs
  }
}
