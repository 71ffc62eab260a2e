/** Appends an operator's change to the log exactly once, even if responses of the store are lost. */
import type { Change, Operation } from '../model/change.ts'
import { StoreUnavailableError } from '../model/errors.ts'
import type { Clock } from '../ports/clock.ts'
import type { Random } from '../ports/random.ts'
import { findConflict } from './changePaths.ts'
import type { ChangeRecords } from './changeRecords.ts'
import { findVersionOfChange } from './configurationState.ts'
import type { ConfigurationState } from './configurationState.ts'
import { withTimeout } from './withTimeout.ts'

/** Maximum number of attempts at successive versions when other changes keep claiming the next one. */
const MAX_REBASES = 16
const RETRY_BACKOFF_MS = 100
const MAX_RETRY_BACKOFF_MS = 5_000

/** A change as submitted by an operator, before it has a version. */
export interface ChangeDraft {
  /** Idempotency key: a resubmitted change has the same ID. */
  readonly id: string
  readonly baseVersion: number
  readonly operator: string
  readonly operations: readonly Operation[]
}

export type SubmitResult =
  | { readonly outcome: 'accepted', readonly version: number }
  /** An overlapping change was accepted after the base version. */
  | { readonly outcome: 'conflict', readonly winner: Change, readonly paths: readonly string[] }
  | { readonly outcome: 'invalid', readonly problems: readonly string[] }
  /** The change was definitely not accepted. */
  | { readonly outcome: 'unavailable', readonly reason: string }
  /** The change may have been accepted; resubmitting it returns the outcome. */
  | { readonly outcome: 'unknown' }

/** Validates a change against the settings schema and returns the problems found. */
export type Validate = (state: ConfigurationState, operations: readonly Operation[]) => readonly string[]

/** Access of the submitter to the change log. */
export interface LogAccess {
  readonly state: ConfigurationState
  /** Reads and applies all changes in the store; false if the end of the log was not reached. */
  catchUp (): Promise<boolean>
  /** Returns the changes after a version; undefined if they were deleted. */
  changesAfter (version: number): Promise<readonly Change[] | undefined>
}

export interface SubmitterOptions {
  readonly records: ChangeRecords
  readonly clock: Clock
  readonly random: Random
  readonly validate: Validate
  readonly mayAccept: () => boolean
  readonly callTimeoutMs: number
}

type WriteOutcome = 'accepted' | 'taken' | 'unavailable' | 'unknown'

export class ChangeSubmitter {
  readonly #log: LogAccess
  readonly #options: SubmitterOptions
  readonly #submissions = new Map<string, Promise<SubmitResult>>()
  readonly #closeController = new AbortController()
  #queueTail: Promise<unknown> = Promise.resolve()
  #pendingChangeId: string | undefined

  constructor (log: LogAccess, options: SubmitterOptions) {
    this.#log = log
    this.#options = options
  }

  /** Whether a write was sent whose outcome is not yet known and applied. */
  get pending (): boolean {
    return this.#pendingChangeId !== undefined
  }

  submit (draft: ChangeDraft): Promise<SubmitResult> {
    const running = this.#submissions.get(draft.id)
    if (running !== undefined) return running
    const result = this.#queueTail.then(() => this.#processSubmission(draft))
    this.#submissions.set(draft.id, result)
    this.#queueTail = result.catch(() => {}).then(() => this.#submissions.delete(draft.id))
    return result
  }

  /** Stops retrying a write with an unknown outcome. `pending` stays true, since the outcome is still unknown. */
  close (): void {
    this.#closeController.abort()
  }

  async #processSubmission (draft: ChangeDraft): Promise<SubmitResult> {
    if (this.#pendingChangeId === draft.id) return { outcome: 'unknown' }
    if (this.#pendingChangeId !== undefined) return { outcome: 'unavailable', reason: 'the outcome of an earlier change is not yet known' }
    for (let attempt = 0; attempt < MAX_REBASES; attempt++) {
      if (!await this.#log.catchUp()) return { outcome: 'unavailable', reason: 'the store cannot be read' }
      const version = findVersionOfChange(this.#log.state, draft.id)
      if (version !== undefined) return { outcome: 'accepted', version }
      const next = this.#log.state.version + 1
      const refusal = await this.#findRefusal(draft, attempt > 0)
      if (refusal !== undefined) return refusal
      if (!this.#options.mayAccept()) return { outcome: 'unavailable', reason: 'this instance is not yet acknowledged by every registered instance' }
      const outcome = await this.#write(draft, next)
      if (outcome === 'accepted') return { outcome, version: next }
      if (outcome === 'unknown') return { outcome }
      if (outcome === 'unavailable') return { outcome, reason: 'the store cannot be written' }
    }
    return { outcome: 'unavailable', reason: `other changes were accepted first in ${MAX_REBASES} attempts in a row` }
  }

  async #findRefusal (draft: ChangeDraft, mayHaveBeenWritten: boolean): Promise<SubmitResult | undefined> {
    const { state } = this.#log
    if (draft.baseVersion > state.version) {
      return { outcome: 'invalid', problems: [`base version ${draft.baseVersion} is above the current version ${state.version}`] }
    }
    let changes: readonly Change[] | undefined
    try {
      changes = await this.#log.changesAfter(draft.baseVersion)
    } catch {
      return { outcome: 'unavailable', reason: 'the store cannot be read' }
    }
    if (changes === undefined) {
      // So far behind that an earlier write of this change may have been applied and its ID dropped since.
      if (mayHaveBeenWritten) return { outcome: 'unknown' }
      return { outcome: 'invalid', problems: [`base version ${draft.baseVersion} is too old; read the configuration again`] }
    }
    const conflict = findConflict(draft.operations, changes, draft.baseVersion)
    if (conflict !== undefined) return { outcome: 'conflict', ...conflict }
    const problems = this.#options.validate(state, draft.operations)
    return problems.length > 0 ? { outcome: 'invalid', problems } : undefined
  }

  async #write (draft: ChangeDraft, version: number): Promise<WriteOutcome> {
    const { id, baseVersion, operator, operations } = draft
    const change = { id, version, baseVersion, operator, acceptedAt: this.#options.clock.wallMs(), operations }
    this.#pendingChangeId = id
    const outcome = await this.#writeAndVerify(change)
    if (outcome === 'unknown') this.#retryUntilResolved(change)
    else this.#pendingChangeId = undefined
    return outcome
  }

  /** Writes and reads back: only the read shows that the key had not been deleted by compaction before the write. */
  async #writeAndVerify (change: Change): Promise<WriteOutcome> {
    const { clock, records, callTimeoutMs } = this.#options
    try {
      const result = await withTimeout(clock, callTimeoutMs, signal => records.append(change, signal), this.#closeController.signal)
      if (result.outcome === 'taken' && result.change?.id !== change.id) return 'taken'
    } catch (error) {
      return error instanceof StoreUnavailableError ? 'unavailable' : 'unknown'
    }
    if (!await this.#log.catchUp()) return 'unknown'
    return findVersionOfChange(this.#log.state, change.id) === change.version ? 'accepted' : 'taken'
  }

  /**
   * Retries the write until its key holds this change or another one. Reading alone would not decide: a missing key
   * may still be written by the first call.
   */
  async #retryUntilResolved (change: Change): Promise<void> {
    const { clock, random } = this.#options
    let outcome: WriteOutcome = 'unknown'
    for (let backoff = RETRY_BACKOFF_MS; outcome === 'unknown' || outcome === 'unavailable'; backoff *= 2) {
      const limited = Math.min(backoff, MAX_RETRY_BACKOFF_MS)
      try {
        await clock.sleep(limited * (0.5 + random.next() / 2), this.#closeController.signal)
      } catch {
        return
      }
      outcome = await this.#writeAndVerify(change)
    }
    this.#pendingChangeId = undefined
  }
}
