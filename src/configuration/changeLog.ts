/** One instance's view of the append-only log of configuration changes. */
import type { Change } from '../model/change.ts'
import { BaseError } from '../model/errors.ts'
import type { Clock } from '../ports/clock.ts'
import type { FetchedChanges } from '../ports/peerClient.ts'
import type { Random } from '../ports/random.ts'
import type { Store } from '../ports/store.ts'
import { ChangeRecords, SNAPSHOT_INTERVAL } from './changeRecords.ts'
import { ChangeSubmitter } from './changeSubmitter.ts'
import type { ChangeDraft, SubmitResult, Validate } from './changeSubmitter.ts'
import { EMPTY_STATE, MAX_RECENT_CHANGES, applyChange, createState, toSnapshot } from './configurationState.ts'
import type { ConfigurationState } from './configurationState.ts'
import { withTimeout } from './withTimeout.ts'

export type { ChangeDraft, SubmitResult, Validate } from './changeSubmitter.ts'

/** Maximum number of changes read from the store before they are applied. */
const READ_BATCH = 64
const CALL_TIMEOUT_MS = 2_000

/** The change log could not be read to its end. */
export const ConfigurationUnreadError = BaseError.subclass('ConfigurationUnreadError')

export interface ChangeLogOptions {
  readonly store: Store
  readonly clock: Clock
  readonly random: Random
  readonly validate: Validate
  /** Whether every other instance tracks this one as an acceptor of changes. */
  readonly mayAccept: () => boolean
  /** Timeout for reading the log to its end, and for one write. */
  readonly callTimeoutMs?: number
}

export type RefreshResult =
  /** At `readAt`, in monotonic milliseconds of this process, no change above `version` existed. */
  | { readonly certain: true, readonly version: number, readonly readAt: number }
  | { readonly certain: false, readonly error: unknown }

export type ChangeListener = (state: ConfigurationState) => void

export type ReadListener = (version: number, readAt: number) => void

/**
 * Maintains the current configuration from the change log. The version never decreases.
 *
 * @example
 * const log = new ChangeLog({ store, clock, random, validate, mayAccept: () => registry.mayAccept })
 * await log.load()
 * const result = await log.submit({ id, baseVersion: log.version, operator: 'eleni', operations })
 */
export class ChangeLog {
  readonly #options: ChangeLogOptions
  readonly #records: ChangeRecords
  readonly #submitter: ChangeSubmitter
  readonly #listeners = new Set<ChangeListener>()
  readonly #readListeners = new Set<ReadListener>()
  #state: ConfigurationState = EMPTY_STATE
  /** The most recent changes; the last one has the state's version. */
  #changes: readonly Change[] = []
  #snapshotVersion = 0
  #compacting = false

  constructor (options: ChangeLogOptions) {
    this.#options = options
    const { clock, callTimeoutMs = CALL_TIMEOUT_MS } = options
    this.#records = new ChangeRecords(options.store, () => clock.monotonicMs())
    const readState = (): ConfigurationState => this.#state
    const access = {
      get state () { return readState() },
      catchUp: async () => (await this.refresh()).certain,
      changesAfter: (version: number) => this.#changesAfter(version)
    }
    this.#submitter = new ChangeSubmitter(access, { ...options, records: this.#records, callTimeoutMs })
  }

  get state (): ConfigurationState {
    return this.#state
  }

  get version (): number {
    return this.#state.version
  }

  /** Whether a write of this instance has an unknown outcome and may have created a newer version. */
  get pending (): boolean {
    return this.#submitter.pending
  }

  /** Calls the listener after each increase of the version; it must not throw. Returns a function that removes it. */
  onChange (listener: ChangeListener): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Calls the listener after each read that reached the end of the log; returns a function that removes it. */
  onRead (listener: ReadListener): () => void {
    this.#readListeners.add(listener)
    return () => { this.#readListeners.delete(listener) }
  }

  /** Reads the snapshot and the changes after it. Rejects if the log can't be read to its end. */
  async load (): Promise<void> {
    const result = await this.#refreshWith(signal => this.#adoptStoredSnapshot(signal))
    if (!result.certain) throw new ConfigurationUnreadError('the configuration cannot be read', { cause: result.error })
  }

  /** Reads and applies newer changes. */
  refresh (): Promise<RefreshResult> {
    return this.#refreshWith(async () => {})
  }

  /** Applies newer changes from a peer. Changes that do not directly follow the local version are ignored. */
  adopt (fetched: FetchedChanges): void {
    if (fetched.type === 'changes') return this.#apply(fetched.changes)
    this.#replace(createState(fetched.snapshot))
  }

  /** Returns the changes after a version for a peer, or a snapshot if they are no longer retained. */
  fetchChanges (after: number): FetchedChanges {
    if (after >= this.version) return { type: 'changes', changes: [] }
    if (after >= this.version - this.#changes.length) {
      return { type: 'changes', changes: this.#changes.filter(change => change.version > after) }
    }
    return { type: 'snapshot', snapshot: toSnapshot(this.#state) }
  }

  /** Submits an operator's change. Submitting it again with the same ID returns the outcome of the first submission. */
  async submit (draft: ChangeDraft): Promise<SubmitResult> {
    const result = await this.#submitter.submit(draft)
    if (result.outcome === 'accepted') this.#compactIfDue()
    return result
  }

  /** Stops background retries. */
  close (): void {
    this.#submitter.close()
  }

  async #refreshWith (prepare: (signal: AbortSignal) => Promise<void>): Promise<RefreshResult> {
    const { clock, callTimeoutMs = CALL_TIMEOUT_MS } = this.#options
    try {
      return await withTimeout(clock, callTimeoutMs, async signal => {
        await prepare(signal)
        return await this.#readToEnd(signal)
      })
    } catch (error) {
      return { certain: false, error }
    }
  }

  async #readToEnd (signal: AbortSignal): Promise<RefreshResult> {
    while (!signal.aborted) {
      const after = this.version
      const tail = await this.#records.readTail(after, READ_BATCH, signal)
      if (tail === undefined) {
        await this.#adoptStoredSnapshot(signal)
        if (this.version <= after) throw new ConfigurationUnreadError('changes were deleted from the log but the stored snapshot does not cover them')
        continue
      }
      this.#apply(tail.changes)
      if (tail.endReadStartedAt !== undefined) {
        const version = after + tail.changes.length
        for (const listener of this.#readListeners) listener(version, tail.endReadStartedAt)
        return { certain: true, version, readAt: tail.endReadStartedAt }
      }
    }
    throw signal.reason
  }

  async #adoptStoredSnapshot (signal: AbortSignal): Promise<void> {
    const snapshot = await this.#records.readSnapshot(signal)
    if (snapshot === undefined) return
    this.#snapshotVersion = Math.max(this.#snapshotVersion, snapshot.version)
    this.#replace(createState(snapshot))
  }

  async #changesAfter (version: number): Promise<readonly Change[] | undefined> {
    const fetched = this.fetchChanges(version)
    if (fetched.type === 'changes') return fetched.changes
    const missing = this.version - version
    if (missing > MAX_RECENT_CHANGES) return
    return (await this.#records.readTail(version, missing))?.changes
  }

  #apply (changes: readonly Change[]): void {
    const before = this.version
    for (const change of changes) {
      if (change.version !== this.version + 1) continue
      this.#state = applyChange(this.#state, change)
      this.#changes = [...this.#changes, change].slice(-MAX_RECENT_CHANGES)
    }
    if (this.version > before) this.#notify()
  }

  #replace (state: ConfigurationState): void {
    if (state.version <= this.version) return
    this.#state = state
    this.#changes = []
    this.#notify()
  }

  #notify (): void {
    for (const listener of this.#listeners) listener(this.#state)
  }

  /** Compacts the log once per snapshot interval. A failed compaction is retried after the next accepted change. */
  async #compactIfDue (): Promise<void> {
    if (this.#compacting || this.version - this.#snapshotVersion < SNAPSHOT_INTERVAL) return
    this.#compacting = true
    try {
      this.#snapshotVersion = await this.#records.compact(toSnapshot(this.#state))
    } catch {
      // Safe to ignore: the snapshot only shortens later reads.
    } finally {
      this.#compacting = false
    }
  }
}
