/** Cancels of jobs that are not known, and the submissions of these jobs that arrive later. */
import { unavailable } from '../../entry/callerCall.ts'
import type { CallerAnswer } from '../../entry/callerCall.ts'
import type { EarlyCancellationKey } from '../../jobs/earlyCancellations.ts'
import type { Logger } from '../../observability/logger.ts'
import type { Clock } from '../../ports/clock.ts'
import type { JobCoordinator } from '../jobCoordinator.ts'

/** One team, or the callers without a key together, must not use up what all may have remembered. */
const MAX_PER_TEAM = 1_000
/** Bounds what a snapshot contains and a successor reads, to about 1 MB. */
const MAX_TOTAL = 8_000
/** Identities on the platform have 16 characters. */
const MAX_ID_LENGTH = 128
const RETRY_AFTER_SECONDS = 2
/** Retry-After has whole seconds: callers return spread, not all at once. */
const RETRY_SPREAD_SECONDS = 4
const LOG_INTERVAL_MS = 1_000

type EarlyCancelsCoordinator = Pick<JobCoordinator, 'table' | 'storeFails' | 'outcomeWallMs' | 'applyAndAppend' | 'flushed' | 'confirmLeadership'>

/**
 * A submission may arrive after its cancel, since the instance that has it was paused, or retries it. So an acknowledged
 * cancel is remembered, in the log, before its answer. A submission that arrives then is accepted as a cancelled job and
 * never runs. Only cancels of the same team and queue count: identities that others use are not affected.
 *
 * @example
 * await earlyCancels.cancel({ id: '5c0e', queue: 'renders', team: 'weavers' }) // { outcome: 'no-job' }
 */
export class EarlyCancels {
  readonly #coordinator: EarlyCancelsCoordinator
  readonly #clock: Clock
  readonly #logger: Logger
  #refused = 0
  #refusalLoggedMs = -Infinity

  constructor (coordinator: EarlyCancelsCoordinator, clock: Clock, logger: Logger) {
    this.#coordinator = coordinator
    this.#clock = clock
    this.#logger = logger
  }

  /**
   * Answers the cancel of a job that the caller can not access. The commit of the record shows that no successor had been
   * elected, which may have accepted the job. Rejects if it may not be stored.
   */
  async cancel (key: EarlyCancellationKey): Promise<CallerAnswer> {
    const { table: { earlyCancellations }, storeFails, outcomeWallMs: wallMs } = this.#coordinator
    if (earlyCancellations.has(key)) {
      await this.#coordinator.flushed()
      return await this.#coordinator.confirmLeadership() ? { outcome: 'no-job' } : unavailable('another instance may coordinate by now')
    }
    if (key.id.length > MAX_ID_LENGTH) return { outcome: 'invalid', message: `no job is known by this identity, and one of more than ${MAX_ID_LENGTH} characters can not be cancelled before it is submitted` }
    if (storeFails) return this.#refuse('the store takes no records')
    if (earlyCancellations.countOf(key.team) >= MAX_PER_TEAM || earlyCancellations.size >= MAX_TOTAL) return this.#refuse('too many jobs have been cancelled before they were submitted')
    await this.#coordinator.applyAndAppend([{ type: 'cancelled-early', ...key, wallMs }])
    return { outcome: 'no-job' }
  }

  /** Whether the job was cancelled, so that its submission must not run. */
  has (key: EarlyCancellationKey): boolean {
    return this.#coordinator.table.earlyCancellations.has(key)
  }

  /** Records the submitted job as cancelled; resolves when that is durable. */
  async acceptCancelled (key: EarlyCancellationKey): Promise<void> {
    this.#logger.info({ job: key.id, queue: key.queue, team: key.team }, 'a job was submitted after its cancel; it is not run')
    await this.#coordinator.applyAndAppend([{ type: 'finished-job', ...key, state: 'cancelled', wallMs: this.#coordinator.outcomeWallMs }])
  }

  /** The cancel is not acknowledged: its job would run if it arrived. `absent`: it has not arrived. */
  #refuse (message: string): CallerAnswer {
    this.#refused += 1
    const nowMs = this.#clock.monotonicMs()
    if (nowMs - this.#refusalLoggedMs >= LOG_INTERVAL_MS) {
      this.#logger.warn({ refused: this.#refused, remembered: this.#coordinator.table.earlyCancellations.size, reason: message }, 'cancels of unknown jobs refused')
      this.#refusalLoggedMs = nowMs
      this.#refused = 0
    }
    return { ...unavailable(message, RETRY_AFTER_SECONDS + Math.floor(Math.random() * RETRY_SPREAD_SECONDS)), absent: true }
  }
}
