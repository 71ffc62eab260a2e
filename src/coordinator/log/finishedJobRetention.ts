/** Keeps the states of finished jobs for the retention period, whatever the time of day does. */
import type { JobProgress } from '../../jobs/jobProgress.ts'
import type { JobTable } from '../../jobs/jobTable.ts'
import type { Clock } from '../../ports/clock.ts'

/** States are kept for this many retention periods; a change of coordinator may shorten that by one. */
const RETENTION_FACTOR = 2

/**
 * The time of day may jump on single machines. During a term it is therefore taken from the monotonic clock, and jobs that
 * ended in earlier terms count as having ended at most one retention period ago.
 *
 * @example
 * const retention = new FinishedJobRetention(clock, table, 120_000)
 * retention.finish(job)
 * retention.evict()
 */
export class FinishedJobRetention {
  readonly #clock: Clock
  readonly #table: JobTable
  readonly #periodMs: number
  readonly #wallOffsetMs: number

  constructor (clock: Clock, table: JobTable, periodMs: number) {
    this.#clock = clock
    this.#table = table
    this.#periodMs = periodMs
    this.#wallOffsetMs = clock.wallMs() - clock.monotonicMs()
    const nowMs = this.#nowMs
    for (const job of [...table.finished.values()]) table.finish(job.id, { ...job, wallMs: Math.min(Math.max(job.wallMs, nowMs - periodMs), nowMs) })
  }

  /** Replaces an ended job by its outcome. */
  finish (job: JobProgress): void {
    this.#table.finishJob(job, this.#nowMs)
  }

  /** Removes the states of jobs that ended too long ago. */
  evict (): void {
    this.#table.evictFinished(this.#nowMs - this.#periodMs * RETENTION_FACTOR)
  }

  get #nowMs (): number {
    return this.#clock.monotonicMs() + this.#wallOffsetMs
  }
}
