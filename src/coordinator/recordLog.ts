/** Appends records to the log in the store; only the coordinator whose election still holds can. */
import { runInBackground } from '../lifecycle/runInBackground.ts'
import type { Logger } from '../observability/logger.ts'
import type { LogRecord } from '../jobs/jobRecords.ts'
import { BaseError, StoreUnavailableError } from '../model/errors.ts'
import type { Clock } from '../ports/clock.ts'
import type { CommitResult, TransactionalStore } from '../ports/transactionalStore.ts'

export const LOG_PREFIX = 'agategauge/log/'
const SEQUENCE_DIGITS = 12

/** The election was lost: what was not committed may still have been written. */
export const TermLostError = BaseError.subclass('TermLostError')

/** Between the beginnings of two commits; bounds the calls at 50 a second, an eighth of the store's rate. */
const COMMIT_INTERVAL_MS = 20
/** Before a commit is tried again that the store did not take. */
const RETRY_DELAY_MS = 60
/** Of one value, well below the store's limit of a megabyte. */
const LARGEST_SEGMENT_BYTES = 300_000

export interface RecordLogOptions {
  readonly store: TransactionalStore
  readonly clock: Clock
  readonly logger: Logger
  /** Key and revision that stand for the election. */
  readonly election: { readonly key: string, readonly revision: number }
  readonly nextSequence: number
  readonly onTermLost: (reason: string) => void
}

interface Pending {
  readonly text: string
  readonly resolve: () => void
  readonly reject: (error: unknown) => void
}

/**
 * Writes what was appended since the last commit as one segment. A segment without an answer is
 * written again under the same key, so that it can not appear twice.
 *
 * @example
 * await log.append([{ type: 'cancelled', job: '5c0e', wallMs: clock.wallMs() }])
 */
export class RecordLog {
  readonly #options: RecordLogOptions
  #pending: Pending[] = []
  #nextSequence: number
  #writing = false
  #lost = false
  #failingSinceMs: number | undefined
  #tail: Promise<void> = Promise.resolve()

  constructor (options: RecordLogOptions) {
    this.#options = options
    this.#nextSequence = options.nextSequence
  }

  get nextSequence (): number {
    return this.#nextSequence
  }

  /** Since when commits fail; undefined while they succeed. */
  get failingSinceMs (): number | undefined {
    return this.#failingSinceMs
  }

  /** Resolves when the records are stored; rejects with `TermLostError` when they may never be. */
  append (records: readonly LogRecord[]): Promise<void> {
    if (this.#lost) return Promise.reject(new TermLostError('the election was lost'))
    const text = records.map(record => JSON.stringify(record)).join(',')
    this.#tail = new Promise((resolve, reject) => {
      this.#pending.push({ text, resolve, reject })
      if (!this.#writing) runInBackground(this.#write(), this.#options.logger, 'record log')
    })
    return this.#tail
  }

  /** Resolves when everything that was appended so far is stored. */
  flushed (): Promise<void> {
    return this.#lost ? Promise.reject(new TermLostError('the election was lost')) : this.#tail
  }

  /** Rejects what is not stored and accepts nothing more. */
  close (): void {
    this.#lost = true
    for (const pending of this.#pending) pending.reject(new TermLostError('the term has ended'))
    this.#pending = []
  }

  async #write (): Promise<void> {
    this.#writing = true
    const { clock } = this.#options
    while (this.#pending.length > 0 && !this.#lost) {
      const begunMs = clock.monotonicMs()
      const batch = this.#takeBatch()
      const committed = await this.#commitUntilKnown(`[${batch.map(pending => pending.text).join(',')}]`)
      for (const pending of batch) {
        if (committed) pending.resolve()
        else pending.reject(new TermLostError('the election was lost'))
      }
      const restMs = COMMIT_INTERVAL_MS - (clock.monotonicMs() - begunMs)
      if (restMs > 0) await clock.sleep(restMs)
    }
    this.#writing = false
  }

  #takeBatch (): readonly Pending[] {
    let bytes = 0
    let count = 0
    for (const { text } of this.#pending) {
      bytes += text.length
      if (count > 0 && bytes > LARGEST_SEGMENT_BYTES) break
      count += 1
    }
    return this.#pending.splice(0, count)
  }

  async #commitUntilKnown (value: string): Promise<boolean> {
    const { store, clock, election } = this.#options
    const key = segmentKey(this.#nextSequence)
    while (!this.#lost) {
      try {
        const result = await store.commit({
          conditions: [election, { key, revision: 0 }], writes: [{ key, value }], removes: []
        })
        if (this.#isCommitted(result, key, value)) return true
        this.#lose('the election key has changed')
        return false
      } catch (error) {
        this.#noteFailure(error)
        await clock.sleep(RETRY_DELAY_MS)
      }
    }
    return false
  }

  #isCommitted (result: CommitResult, key: string, value: string): boolean {
    const earlier = result.outcome === 'conflict' && result.current.some(item => item.key === key && item.value === value)
    if (result.outcome !== 'committed' && !earlier) return false
    this.#nextSequence += 1
    if (this.#failingSinceMs !== undefined) {
      this.#options.logger.info({ failedForMs: Math.round(this.#options.clock.monotonicMs() - this.#failingSinceMs) }, 'the store takes records again')
      this.#failingSinceMs = undefined
    }
    return true
  }

  #noteFailure (error: unknown): void {
    if (this.#failingSinceMs !== undefined) return
    this.#failingSinceMs = this.#options.clock.monotonicMs()
    const certain = error instanceof StoreUnavailableError
    this.#options.logger.warn({ error: String(error), certain, sequence: this.#nextSequence }, 'the store does not take records')
  }

  #lose (reason: string): void {
    this.close()
    this.#options.onTermLost(reason)
  }
}

/** Key of a segment; keys sort in the order of the log. */
export function segmentKey (sequence: number): string {
  return `${LOG_PREFIX}${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`
}

/** Number of a segment. */
export function segmentNumber (key: string): number {
  return Number(key.slice(LOG_PREFIX.length))
}
