/** Reports refusals in bounded numbers: hundreds a second would load the coordinator if each had a line of its own. */
import type { Logger } from '../../observability/logger.ts'
import type { Clock } from '../../ports/clock.ts'
import { runInBackground } from '../../lifecycle/runInBackground.ts'

const INTERVAL_MS = 2_000
/** Queues that one line names; the others are counted together. */
const MAX_QUEUES = 10
const OTHER_QUEUES = 'others'

export interface Refusal {
  /** Why: `late`, `useless`, `busy` or `store`. */
  readonly reason: string
  readonly queue: string
  readonly retryAfterSeconds: number
  /** Milliseconds until the job could start; `Infinity` if that is not foreseen. */
  readonly expectedStartMs?: number
}

/**
 * Logs one line for the refusals of each 2 s in which there were any.
 *
 * @example
 * report.record({ reason: 'late', queue: 'checks', retryAfterSeconds: 3, expectedStartMs: 2_400 })
 */
export class RefusalReport {
  readonly #clock: Clock
  readonly #logger: Logger
  #refusals = 0
  #reasons = new Map<string, number>()
  #queues = new Map<string, number>()
  #longestRetrySeconds = 0
  #longestExpectedWaitMs = 0
  /** Refusals of jobs whose start is not foreseen. */
  #unforeseen = 0

  constructor (clock: Clock, logger: Logger) {
    this.#clock = clock
    this.#logger = logger
  }

  record ({ reason, queue, retryAfterSeconds, expectedStartMs = 0 }: Refusal): void {
    if (this.#refusals === 0) runInBackground(this.#clock.sleep(INTERVAL_MS).then(() => this.#write()), this.#logger, 'report of refusals')
    this.#refusals += 1
    this.#reasons.set(reason, (this.#reasons.get(reason) ?? 0) + 1)
    const named = this.#queues.has(queue) || this.#queues.size < MAX_QUEUES ? queue : OTHER_QUEUES
    this.#queues.set(named, (this.#queues.get(named) ?? 0) + 1)
    this.#longestRetrySeconds = Math.max(this.#longestRetrySeconds, retryAfterSeconds)
    if (Number.isFinite(expectedStartMs)) this.#longestExpectedWaitMs = Math.max(this.#longestExpectedWaitMs, expectedStartMs)
    else this.#unforeseen += 1
  }

  #write (): void {
    this.#logger.info({
      refused: this.#refusals,
      reasons: Object.fromEntries(this.#reasons),
      queues: Object.fromEntries(this.#queues),
      longestRetrySeconds: this.#longestRetrySeconds,
      longestExpectedWaitMs: Math.round(this.#longestExpectedWaitMs),
      unforeseen: this.#unforeseen
    }, 'jobs refused')
    this.#refusals = 0
    this.#reasons = new Map()
    this.#queues = new Map()
    this.#longestRetrySeconds = this.#longestExpectedWaitMs = this.#unforeseen = 0
  }
}
