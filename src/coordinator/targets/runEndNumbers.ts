/** Tracks which run ends of one target incarnation are received, stored and discarded, and which may be acknowledged. */
import type { TargetDescription } from '../../jobs/jobRecords.ts'
import type { Logger } from '../../observability/logger.ts'
import type { FinishedRun } from '../../ports/jobTarget.ts'

/** Half of the run ends that a report lists. With more, the target gets no starts, so that it can be told to discard them. */
const MAX_LISTED_ENDS = 250

/**
 * A target numbers its run ends, and lists each until an acknowledgement has reached its number. Acknowledging an end
 * acknowledges all earlier ones, so that a number is due only once all ends up to it are stored.
 *
 * @example
 * const ends = new RunEndNumbers(description, logger)
 * const stored = ends.receive(report.finished, async run => await store(run))
 * const acknowledged = ends.dueAcknowledgement(hasRecentReport)
 */
export class RunEndNumbers {
  readonly #description: TargetDescription
  readonly #logger: Logger
  #lastReceived = 0
  /** Number of run ends in the last report. */
  #listed = 0
  /** Number of the last run end that is stored together with all earlier ones. */
  #lastStored = 0
  #lastDiscarded = 0
  #lastSent = 0
  #pendingStores = 0
  #allStored: Promise<void> = Promise.resolve()

  constructor (description: TargetDescription, logger: Logger) {
    this.#description = description
    this.#logger = logger
  }

  /** Number up to which this incarnation has certainly discarded its run ends. */
  get lastDiscarded (): number {
    return this.#lastDiscarded
  }

  /** Number of the last acknowledgement that was sent and not answered; it may still be executed, also by a later incarnation. */
  get unanswered (): number | undefined {
    return this.#lastSent > this.#lastDiscarded ? this.#lastSent : undefined
  }

  get hasPendingStores (): boolean {
    return this.#pendingStores > 0
  }

  /** Resolves when all run ends received so far are stored; rejects if one is not. */
  get allStored (): Promise<void> {
    return this.#allStored
  }

  /** Whether the target lists so many run ends that acknowledging them goes before further starts, while which none is acknowledged. */
  get isAcknowledgementOverdue (): boolean {
    return this.#listed > MAX_LISTED_ENDS && this.owesAcknowledgement
  }

  /** Whether the target has to be told to discard run ends. */
  get owesAcknowledgement (): boolean {
    return this.#lastStored > this.#lastDiscarded
  }

  /**
   * Returns the number to acknowledge, or 0. A target that has restarted can not tell that a request was meant for its
   * earlier incarnation, and would discard ends of its own, whose numbers start again. So a number is sent only soon after a
   * report of this incarnation, and until it has arrived; the caller sees to it that no start is in transit.
   */
  dueAcknowledgement (hasRecentReport: boolean): number {
    return hasRecentReport && this.owesAcknowledgement ? this.#lastStored : 0
  }

  /** Records that a request that acknowledges the number is sent. */
  recordSent (acknowledged: number): void {
    this.#lastSent = Math.max(this.#lastSent, acknowledged)
  }

  /** Records that a report of this incarnation answered a request that acknowledged the number. */
  recordDiscarded (acknowledged: number): void {
    this.#lastDiscarded = Math.max(this.#lastDiscarded, acknowledged)
  }

  /** Passes each new run end of a report to `store`; resolves when they are stored and may be acknowledged. Undefined if none is new. */
  receive (finished: readonly FinishedRun[], store: (run: FinishedRun) => Promise<void>): Promise<void> | undefined {
    this.#listed = finished.length
    const newRuns = finished.filter(run => run.number > this.#lastReceived)
    if (newRuns.length === 0) return undefined
    const last = Math.max(...newRuns.map(run => run.number))
    this.#reportMissingEnds(Math.min(...newRuns.map(run => run.number)))
    this.#lastReceived = last
    const stored = newRuns.map(store)
    this.#pendingStores += 1
    this.#allStored = Promise.all([this.#allStored, ...stored]).then(() => {
      this.#lastStored = Math.max(this.#lastStored, last)
    }).finally(() => { this.#pendingStores -= 1 })
    return this.#allStored.catch(() => {
      // The term has ended; the successor receives these ends again, since they are not acknowledged.
    })
  }

  /** Ends that the target discarded before they were read may belong to tasks that are done and will be started again. */
  #reportMissingEnds (firstNumber: number): void {
    const expected = this.#lastReceived + 1
    // An earlier session of the same incarnation may have read the first ends.
    if (firstNumber === expected || this.#lastReceived === 0) return
    const { id, bornMs } = this.#description
    this.#logger.warn({ target: id, bornMs, expected, firstNumber }, 'run ends are missing from the reports of a target')
  }
}
