/** Appends records to the log in the store; only the coordinator whose election still holds can. */
import { runInBackground } from '../lifecycle/runInBackground.ts'
import type { Logger } from '../observability/logger.ts'
import type { LogRecord } from '../jobs/jobRecords.ts'
import { BaseError, StoreUnavailableError } from '../model/errors.ts'
import type { TimerClock } from '../ports/clock.ts'
import type { CommitResult, TransactionalStore } from '../ports/transactionalStore.ts'
import { retryUntilKnown } from './retryUntilKnown.ts'

export const LOG_PREFIX = 'agategauge/log/'
const SEQUENCE_DIGITS = 12

/** The election was lost: what was not committed may still have been written. */
export const TermLostError = BaseError.subclass('TermLostError')

/** The records were taken back before any commit held them: they are not stored and never will be. */
export const RecordsWithdrawnError = BaseError.subclass('RecordsWithdrawnError')

/** Between the beginnings of two commits; bounds the calls at 50 a second, an eighth of the store's rate. */
const COMMIT_INTERVAL_MS = 20
/**
 * Commits without an answer at the same time. A job needs three in turn (acceptance, placement, end), each of which would
 * also wait for half of the one before it; with four, a commit begins every 50 ms while the store takes 200 ms.
 */
const MAX_COMMITS_IN_FLIGHT = 4
/** A commit without an answer for this many times the last answer's time is tried again beside the first try. */
const ANSWER_TIMEOUT_FACTOR = 3
/** Bounds of that time: above the way to the other region and back, below the time until a commit has stalled. */
const MIN_ANSWER_TIMEOUT_MS = 150
const MAX_ANSWER_TIMEOUT_MS = 500
/** Before a commit is tried again that the store did not take. */
const RETRY_DELAY_MS = 60
/** A commit takes 4 ms, and 320 ms while the store is slow; one without success for longer has stalled. */
const STALL_TIMEOUT_MS = 600
/** Of one value, well below the store's limit of a megabyte. */
const MAX_SEGMENT_BYTES = 300_000

export interface RecordLogOptions {
  readonly store: TransactionalStore
  readonly clock: TimerClock
  readonly logger: Logger
  /** Key and revision that stand for the election. */
  readonly election: { readonly key: string, readonly revision: number }
  readonly nextSequence: number
  readonly onTermLost: (reason: string) => void
  /** A commit has had no success for some time; called once for each. */
  readonly onStalled?: () => void
}

interface PendingAppend {
  readonly records: readonly LogRecord[]
  readonly resolve: () => void
  readonly reject: (error: unknown) => void
  /** False once the records may be stored in another way than by the log. */
  readonly withdrawable: boolean
}

/** Records that one segment holds, and their text. */
interface Batch {
  readonly pending: readonly PendingAppend[]
  readonly texts: readonly string[]
}

/**
 * Writes what was appended since the last commit as one segment. A segment without an answer is
 * written again under the same key, so that it can not appear twice.
 *
 * Several segments may be on their way. Records count as stored when their segment and all earlier ones are. A term that
 * ends may leave a gap: what follows it was confirmed to nobody and no order was sent for it, so that a successor may
 * take it or leave it.
 *
 * @example
 * await log.append([{ type: 'cancelled', job: '5c0e', wallMs: clock.wallMs() }])
 */
export class RecordLog {
  readonly #options: RecordLogOptions
  #pending: PendingAppend[] = []
  /** Of the next segment. */
  #nextSequence: number
  /** Of the first segment that is not known to be stored. */
  #firstUnstoredSequence: number
  #inFlight = 0
  #nextCommitMs = -Infinity
  #scheduled = false
  /** Resolves when all segments that were begun are stored; false if one of them may never be. */
  #allStored: Promise<boolean> = Promise.resolve(true)
  #answerTimeoutMs = MIN_ANSWER_TIMEOUT_MS
  #closed = false
  #failingSinceMs: number | undefined
  #stalled = false

  constructor (options: RecordLogOptions) {
    this.#options = options
    this.#nextSequence = this.#firstUnstoredSequence = options.nextSequence
  }

  /** Number after the last segment that is stored together with all earlier ones. */
  get nextSequence (): number {
    return this.#firstUnstoredSequence
  }

  /** Since when commits fail; undefined while they succeed. */
  get failingSinceMs (): number | undefined {
    return this.#failingSinceMs
  }

  /** Whether the present commit has had no success for some time. */
  get stalled (): boolean {
    return this.#stalled
  }

  /** Resolves when the records are stored; rejects with `TermLostError` when they may never be, or with `RecordsWithdrawnError`. */
  append (records: readonly LogRecord[]): Promise<void> {
    if (this.#closed) return Promise.reject(new TermLostError('the election was lost'))
    return new Promise((resolve, reject) => {
      this.#pending.push({ records, resolve, reject, withdrawable: true })
      this.#commitNext()
    })
  }

  /** Resolves when everything that was appended so far, and not withdrawn, is stored. */
  async flushed (): Promise<void> {
    if (this.#closed) throw new TermLostError('the election was lost')
    if (this.#inFlight > 0 || this.#pending.length > 0) await this.append([])
    else await this.#allStored
  }

  /** Jobs whose first record no commit holds yet. */
  get unsentJobs (): readonly string[] {
    return this.#pending.flatMap(({ records, withdrawable }) => withdrawable ? records.flatMap(record => record.type === 'job' ? [record.id] : []) : [])
  }

  /** Takes back everything about a job; false if its first record may have been sent to the store. */
  withdrawJob (id: string): boolean {
    if (!this.unsentJobs.includes(id)) return false
    this.#pending = this.#pending.flatMap(pending => {
      const kept = pending.records.filter(record => !isAbout(record, id))
      if (kept.length === pending.records.length) return [pending]
      pending.reject(new RecordsWithdrawnError(`the records of job ${id} were withdrawn`))
      return kept.length === 0 ? [] : [{ ...pending, records: kept, resolve: () => {}, reject: () => {} }]
    })
    return true
  }

  /** What was appended so far is about to be stored by other means as well, and can not be withdrawn any more. */
  preventWithdrawal (): void {
    this.#pending = this.#pending.map(pending => ({ ...pending, withdrawable: false }))
  }

  /** Rejects what is not stored and accepts nothing more. */
  close (): void {
    this.#closed = true
    for (const pending of this.#pending) pending.reject(new TermLostError('the term has ended'))
    this.#pending = []
  }

  /** While the store fails, what is not sent yet stays withdrawable. */
  get #mayStartCommit (): boolean {
    return this.#inFlight === 0 || (this.#inFlight < MAX_COMMITS_IN_FLIGHT && this.#failingSinceMs === undefined)
  }

  #commitNext (): void {
    if (this.#closed || this.#scheduled || this.#pending.length === 0 || !this.#mayStartCommit) return
    const { clock, logger } = this.#options
    const waitMs = this.#nextCommitMs - clock.monotonicMs()
    if (waitMs > 0) {
      this.#scheduled = true
      clock.schedule(waitMs, () => {
        this.#scheduled = false
        this.#commitNext()
      })
      return
    }
    this.#nextCommitMs = clock.monotonicMs() + COMMIT_INTERVAL_MS
    runInBackground(this.#store(this.#takeBatch()), logger, 'record log')
    this.#commitNext()
  }

  async #store ({ pending, texts }: Batch): Promise<void> {
    const sequence = texts.length === 0 ? undefined : this.#nextSequence++
    this.#inFlight += 1
    const committed = sequence === undefined ? Promise.resolve(true) : this.#commitUntilKnown(segmentKey(sequence), `[${texts.join(',')}]`)
    const stored = Promise.all([this.#allStored, committed]).then(([before, own]) => before && own)
    this.#allStored = stored
    await committed
    this.#inFlight -= 1
    this.#commitNext()
    const isStored = await stored
    if (isStored && sequence !== undefined) this.#firstUnstoredSequence = sequence + 1
    for (const { resolve, reject } of pending) {
      if (isStored) resolve()
      else reject(new TermLostError('the election was lost'))
    }
  }

  #takeBatch (): Batch {
    const texts: string[] = []
    let bytes = 0
    let count = 0
    for (const { records } of this.#pending) {
      const added = records.map(record => JSON.stringify(record))
      bytes += added.reduce((sum, text) => sum + text.length, 0)
      if (count > 0 && bytes > MAX_SEGMENT_BYTES) break
      texts.push(...added)
      count += 1
    }
    return { pending: this.#pending.splice(0, count), texts }
  }

  /** False if the term has ended. */
  async #commitUntilKnown (key: string, value: string): Promise<boolean> {
    const { clock } = this.#options
    const cancelStall = clock.schedule(STALL_TIMEOUT_MS, () => this.#handleStall())
    try {
      return await retryUntilKnown(clock, {
        attempt: async () => await this.#tryCommit(key, value),
        answerTimeoutMs: this.#answerTimeoutMs,
        retryDelayMs: RETRY_DELAY_MS,
        isCancelled: () => this.#closed
      }) ?? false
    } finally {
      cancelStall()
    }
  }

  /** Whether the segment is stored; undefined if that is not known. */
  async #tryCommit (key: string, value: string): Promise<boolean | undefined> {
    const { store, clock, election } = this.#options
    const begunMs = clock.monotonicMs()
    try {
      const result = await store.commit({ conditions: [election, { key, revision: 0 }], writes: [{ key, value }], removes: [] })
      this.#answerTimeoutMs = Math.min(Math.max(MIN_ANSWER_TIMEOUT_MS, (clock.monotonicMs() - begunMs) * ANSWER_TIMEOUT_FACTOR), MAX_ANSWER_TIMEOUT_MS)
      if (this.#isCommitted(result, key, value)) return true
      this.#endTerm('the election key has changed')
      return false
    } catch (error) {
      this.#recordFailure(key, String(error), error instanceof StoreUnavailableError)
      return undefined
    }
  }

  #handleStall (): void {
    if (this.#closed) return
    this.#recordFailure(segmentKey(this.#firstUnstoredSequence), `no success within ${STALL_TIMEOUT_MS} ms`, false)
    this.#stalled = true
    this.#options.onStalled?.()
  }

  #isCommitted (result: CommitResult, key: string, value: string): boolean {
    const earlier = result.outcome === 'conflict' && result.current.some(item => item.key === key && item.value === value)
    if (result.outcome !== 'committed' && !earlier) return false
    this.#stalled = false
    if (this.#failingSinceMs !== undefined) {
      this.#options.logger.info({ failedForMs: Math.round(this.#options.clock.monotonicMs() - this.#failingSinceMs) }, 'the store takes records again')
      this.#failingSinceMs = undefined
    }
    return true
  }

  #recordFailure (segment: string, error: string, certain: boolean): void {
    if (this.#failingSinceMs !== undefined) return
    this.#failingSinceMs = this.#options.clock.monotonicMs()
    this.#options.logger.warn({ error, certain, segment }, 'the store does not take records')
  }

  #endTerm (reason: string): void {
    this.close()
    this.#options.onTermLost(reason)
  }
}

function isAbout (record: LogRecord, job: string): boolean {
  return record.type === 'job' ? record.id === job : 'job' in record && record.job === job
}

/** Key of a segment; keys sort in the order of the log. */
export function segmentKey (sequence: number): string {
  return `${LOG_PREFIX}${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`
}

/** Number of a segment. */
export function segmentNumber (key: string): number {
  return Number(key.slice(LOG_PREFIX.length))
}
