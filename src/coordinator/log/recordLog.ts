/** Appends records to the log in the store; each commit is conditional on the coordinator's election. */
import { runInBackground } from '../../lifecycle/runInBackground.ts'
import type { Logger } from '../../observability/logger.ts'
import type { LogRecord } from '../../jobs/jobRecords.ts'
import { BaseError, StoreUnavailableError } from '../../model/errors.ts'
import type { TimerClock } from '../../ports/clock.ts'
import type { CommitResult, TransactionalStore } from '../../ports/transactionalStore.ts'
import { retryUntilKnown } from './retryUntilKnown.ts'

export const LOG_PREFIX = 'agategauge/log/'
const SEQUENCE_DIGITS = 12

/** The election was lost; uncommitted records may still have been written. */
export const TermLostError = BaseError.subclass('TermLostError')

/** The records were withdrawn before any commit contained them: they are not stored and never will be. */
export const RecordsWithdrawnError = BaseError.subclass('RecordsWithdrawnError')

/** Minimum interval between the starts of two commits; limits the calls to 50 per second, an eighth of the store's rate. */
const COMMIT_INTERVAL_MS = 20
/**
 * Commits in flight at the same time. A job needs three in sequence (acceptance, placement, end), each of which would
 * otherwise also wait for half of the commit before it; with four, a commit starts every 50 ms while the store takes 200 ms.
 */
const MAX_COMMITS_IN_FLIGHT = 4
/** A commit unanswered for this many times the last response time is retried in parallel with the first attempt. */
const ANSWER_TIMEOUT_FACTOR = 3
/** Bounds of that timeout: above the round trip to the other region, below `STALL_TIMEOUT_MS`. */
const MIN_ANSWER_TIMEOUT_MS = 150
const MAX_ANSWER_TIMEOUT_MS = 500
/** Delay before a failed commit is retried. */
const RETRY_DELAY_MS = 60
/** Time without success after which a commit counts as stalled; a commit takes 4 ms, or 320 ms while the store is slow. */
const STALL_TIMEOUT_MS = 600
/** Size of one value, well below the store's limit of 1 MB. */
const MAX_SEGMENT_BYTES = 300_000

export interface RecordLogOptions {
  readonly store: TransactionalStore
  readonly clock: TimerClock
  readonly logger: Logger
  /** Key and revision that identify the election. */
  readonly election: { readonly key: string, readonly revision: number }
  readonly nextSequence: number
  readonly onTermLost: (reason: string) => void
  /** Called when commits begin to fail. */
  readonly onFailing?: () => void
  /** Called once for each commit that stalls. */
  readonly onStalled?: () => void
}

interface PendingAppend {
  readonly records: readonly LogRecord[]
  readonly resolve: () => void
  readonly reject: (error: unknown) => void
  /** False once the records may be stored in another way than by the log. */
  readonly withdrawable: boolean
}

/** The appends contained in one segment, and their serialized records. */
interface Batch {
  readonly pending: readonly PendingAppend[]
  readonly texts: readonly string[]
}

/**
 * Writes the records appended since the last commit as one segment. An unanswered segment is written again under the
 * same key, so that it cannot be stored twice.
 *
 * Several segments may be in flight. Records count as stored when their segment and all earlier ones are. A term that
 * ends may leave a gap in the log: later records were neither confirmed to a caller nor acted upon, so a successor
 * may either apply or ignore them.
 *
 * @example
 * await log.append([{ type: 'cancelled', job: '5c0e', wallMs: clock.wallMs() }])
 */
export class RecordLog {
  readonly #options: RecordLogOptions
  #pending: PendingAppend[] = []
  /** Sequence number of the next segment. */
  #nextSequence: number
  /** Sequence number of the first segment that is not known to be stored. */
  #firstUnstoredSequence: number
  #inFlight = 0
  #nextCommitMs = -Infinity
  #scheduled = false
  /** Resolves when all segments sent so far are stored; false if one of them may never be. */
  #allStored: Promise<boolean> = Promise.resolve(true)
  #answerTimeoutMs = MIN_ANSWER_TIMEOUT_MS
  #closed = false
  #failingSinceMs: number | undefined
  #stalled = false
  #bytesSinceCompaction = 0
  #lastRevision: number

  constructor (options: RecordLogOptions) {
    this.#options = options
    this.#lastRevision = options.election.revision
    this.#nextSequence = this.#firstUnstoredSequence = options.nextSequence
  }

  /** Sequence number after the last segment that is stored together with all earlier ones. */
  get nextSequence (): number {
    return this.#firstUnstoredSequence
  }

  /** Highest revision of the store at which this log is known to have written; each later election has a higher one. */
  get lastRevision (): number {
    return this.#lastRevision
  }

  /** Time since which commits have been failing; undefined while they succeed. */
  get failingSinceMs (): number | undefined {
    return this.#failingSinceMs
  }

  /** Length of the segments sent since the last call of `resetBytesSinceCompaction`. */
  get bytesSinceCompaction (): number {
    return this.#bytesSinceCompaction
  }

  resetBytesSinceCompaction (): void {
    this.#bytesSinceCompaction = 0
  }

  /** Whether a commit has stalled and none has succeeded since. */
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

  /** Resolves when all records appended so far, and not withdrawn, are stored. */
  async flushed (): Promise<void> {
    if (this.#closed) throw new TermLostError('the election was lost')
    if (this.#inFlight > 0 || this.#pending.length > 0) await this.append([])
    else await this.#allStored
  }

  /** Jobs whose first record is not part of a commit yet. */
  get unsentJobs (): readonly string[] {
    return this.#pending.flatMap(({ records, withdrawable }) => withdrawable ? records.flatMap(record => record.type === 'job' ? [record.id] : []) : [])
  }

  /** Withdraws all records of a job; returns false if its first record may have been sent to the store. */
  withdrawJob (id: string): boolean {
    if (!this.unsentJobs.includes(id)) return false
    this.#pending = this.#pending.flatMap(pending => {
      const kept = pending.records.filter(record => !isAbout(record, id))
      if (kept.length === pending.records.length) return [pending]
      // Records of other jobs that were appended with later ones of this job are stored nevertheless.
      if (kept.length > 0 && !pending.records.some(record => record.type === 'job' && record.id === id)) return [{ ...pending, records: kept }]
      pending.reject(new RecordsWithdrawnError(`the records of job ${id} were withdrawn`))
      return kept.length === 0 ? [] : [{ ...pending, records: kept, resolve: () => {}, reject: () => {} }]
    })
    return true
  }

  /** Makes the records appended so far non-withdrawable, because a snapshot may store them as well. */
  preventWithdrawal (): void {
    this.#pending = this.#pending.map(pending => ({ ...pending, withdrawable: false }))
  }

  /** Rejects pending appends and all later ones. */
  close (): void {
    this.#closed = true
    for (const pending of this.#pending) pending.reject(new TermLostError('the term has ended'))
    this.#pending = []
  }

  /** While commits fail, only one is kept in flight, so that the remaining records can be withdrawn. */
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
    this.#bytesSinceCompaction += texts.reduce((sum, text) => sum + text.length, 0)
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

  /** Retries the commit until its outcome is known; returns false if the term has ended. */
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
    const { election } = this.#options
    const current = result.outcome === 'conflict' ? result.current : []
    const earlier = current.find(item => item.key === key && item.value === value)
    if (result.outcome !== 'committed' && earlier === undefined) return false
    // A successor may have written the same segment, at a revision above its own election.
    const isElected = current.some(item => item.key === election.key && item.revision === election.revision)
    const revision = result.outcome === 'committed' ? result.revision : isElected ? earlier?.revision ?? 0 : 0
    this.#lastRevision = Math.max(this.#lastRevision, revision)
    this.#stalled = false
    if (this.#failingSinceMs !== undefined) {
      this.#options.logger.info({ failedForMs: Math.round(this.#options.clock.monotonicMs() - this.#failingSinceMs) }, 'commits to the store succeed again')
      this.#failingSinceMs = undefined
    }
    return true
  }

  #recordFailure (segment: string, error: string, certain: boolean): void {
    if (this.#failingSinceMs !== undefined) return
    this.#failingSinceMs = this.#options.clock.monotonicMs()
    this.#options.logger.warn({ error, certain, segment }, 'commit to the store failed')
    this.#options.onFailing?.()
  }

  #endTerm (reason: string): void {
    this.close()
    this.#options.onTermLost(reason)
  }
}

function isAbout (record: LogRecord, job: string): boolean {
  return record.type === 'job' ? record.id === job : 'job' in record && record.job === job
}

/** Returns the key of a segment; keys sort in log order. */
export function segmentKey (sequence: number): string {
  return `${LOG_PREFIX}${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`
}

/** Returns the sequence number of the segment with the key. */
export function segmentNumber (key: string): number {
  return Number(key.slice(LOG_PREFIX.length))
}
