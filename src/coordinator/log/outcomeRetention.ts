/** Keeps the outcomes of ended jobs, and early cancellations, for their retention periods, whatever the time of day does. */
import { EARLY_CANCELLATION_PERIOD_MS } from '../../jobs/earlyCancellations.ts'
import type { JobProgress } from '../../jobs/jobProgress.ts'
import type { JobTable } from '../../jobs/jobTable.ts'
import type { Clock } from '../../ports/clock.ts'

/** What is retained is kept for this many retention periods; a change of coordinator may shorten that by one. */
const RETENTION_FACTOR = 2

/**
 * The time of day may jump on single machines. During a term it is therefore taken from the monotonic clock, and what ended
 * in earlier terms counts as having ended at most one retention period ago.
 *
 * @example
 * const retention = new OutcomeRetention(clock, table, 120_000)
 * retention.finish(job)
 * retention.evict()
 */
export class OutcomeRetention {
  readonly #clock: Clock
  readonly #table: JobTable
  readonly #finishedJobMs: number
  readonly #wallOffsetMs: number

  constructor (clock: Clock, table: JobTable, finishedJobMs: number) {
    this.#clock = clock
    this.#table = table
    this.#finishedJobMs = finishedJobMs
    this.#wallOffsetMs = clock.wallMs() - clock.monotonicMs()
    for (const job of [...table.finished.values()]) table.finish(job.id, { ...job, wallMs: this.#boundAge(job.wallMs, finishedJobMs) })
    for (const cancellation of [...table.earlyCancellations.all]) {
      table.earlyCancellations.add({ ...cancellation, wallMs: this.#boundAge(cancellation.wallMs, EARLY_CANCELLATION_PERIOD_MS) })
    }
  }

  /** Milliseconds since the Unix epoch, by the time of day at the beginning of the term. */
  get nowMs (): number {
    return this.#clock.monotonicMs() + this.#wallOffsetMs
  }

  /** Replaces an ended job by its outcome. */
  finish (job: JobProgress): void {
    this.#table.finishJob(job, this.nowMs)
  }

  /** Removes what has been retained for long enough. */
  evict (): void {
    this.#table.evictFinished(this.nowMs - this.#finishedJobMs * RETENTION_FACTOR)
    this.#table.earlyCancellations.evict(this.nowMs - EARLY_CANCELLATION_PERIOD_MS * RETENTION_FACTOR)
  }

  #boundAge (wallMs: number, periodMs: number): number {
    return Math.min(Math.max(wallMs, this.nowMs - periodMs), this.nowMs)
  }
}
