/** Shows in the log and in metrics what waits for locality have brought. */
import type { JobMetrics } from '../../observability/jobMetrics.ts'
import type { Logger } from '../../observability/logger.ts'
import type { Clock } from '../../ports/clock.ts'
import type { EndedWait } from './localityWait.ts'

const INTERVAL_MS = 5_000
const MAX_LINES_PER_INTERVAL = 5

/**
 * Logs at most `MAX_LINES_PER_INTERVAL` lines in `INTERVAL_MS`; all waits are counted.
 *
 * @example
 * const report = new LocalityReport({ clock, logger, metrics })
 * report.recordEnd({ step, tasks: 3, isNear: true, waitedMs: 120, gainMs: 800 })
 */
export class LocalityReport {
  readonly #options: { readonly clock: Clock, readonly logger: Logger, readonly metrics: JobMetrics }
  #intervalStartedAtMs = -Infinity
  #lines = 0
  /** Ended waits without a line since the last line. */
  #unlogged = 0

  constructor (options: { readonly clock: Clock, readonly logger: Logger, readonly metrics: JobMetrics }) {
    this.#options = options
  }

  recordBegin (): void {
    this.#options.metrics.countLocalityWait()
  }

  recordEnd ({ step, tasks, isNear, waitedMs, gainMs }: EndedWait): void {
    const { clock, logger, metrics } = this.#options
    metrics.observeLocalityStarts(isNear ? 'near' : 'far', tasks, waitedMs, isNear ? gainMs : 0)
    const nowMs = clock.monotonicMs()
    if (nowMs - this.#intervalStartedAtMs >= INTERVAL_MS) {
      this.#intervalStartedAtMs = nowMs
      this.#lines = 0
    }
    if (this.#lines >= MAX_LINES_PER_INTERVAL) {
      this.#unlogged += 1
      return
    }
    this.#lines += 1
    logger.info({ job: step.job.id, step: step.name, tasks, place: isNear ? 'near' : 'far', waitedMs: Math.round(waitedMs), gainMs: Math.round(gainMs), unlogged: this.#unlogged }, 'tasks started after a wait for locality')
    this.#unlogged = 0
  }
}
