/** Cached copy of the ownership record, kept up to date by a single watch. */
import type { Clock } from '../../ports/clock.ts'
import type { Store, StoreEntry } from '../../ports/store.ts'
import { RecordUpdater } from '../recordUpdate.ts'
import { EMPTY_OWNERSHIP, parseOwnership, serialiseOwnership } from './ownershipRecord.ts'
import type { OwnershipRecord } from './ownershipRecord.ts'
import { RETRY_INTERVAL_MS, WATCH_TIMEOUT_MS } from './ownershipTiming.ts'

export class OwnershipView {
  readonly #store: Store
  readonly #clock: Clock
  readonly #key: string
  readonly #updater: RecordUpdater
  #entry: StoreEntry | undefined
  #record: OwnershipRecord = EMPTY_OWNERSHIP
  #wakeUp = new AbortController()
  #readRequested = new AbortController()
  #closed = false

  constructor (store: Store, clock: Clock, key: string) {
    this.#store = store
    this.#clock = clock
    this.#key = key
    this.#updater = new RecordUpdater(store, clock)
  }

  get record (): OwnershipRecord {
    return this.#record
  }

  async read (signal?: AbortSignal): Promise<void> {
    this.#storeEntry(await this.#store.get(this.#key, signal))
  }

  /** Watches the record and updates the cached copy until `close` is called. */
  async watch (): Promise<void> {
    while (!this.#closed) {
      const { signal } = this.#readRequested
      try {
        this.#storeEntry(await this.#store.watch(this.#key, this.#entry?.version ?? 0, WATCH_TIMEOUT_MS, signal))
      } catch {
        if (signal.aborted) await this.#readNow()
        else await this.#clock.sleep(RETRY_INTERVAL_MS, signal).catch(() => {})
      }
    }
  }

  async update (change: (record: OwnershipRecord) => OwnershipRecord | undefined, signal?: AbortSignal): Promise<void> {
    this.#storeEntry(await this.#updater.update(this.#key, this.#entry, value => {
      const next = change(parseOwnership(value))
      return next === undefined ? undefined : serialiseOwnership(next)
    }, signal))
  }

  /** Waits until the time has passed, a newer record arrives or `wake` is called. */
  async sleep (durationMs: number): Promise<void> {
    await this.#clock.sleep(durationMs, this.#wakeUp.signal).catch(() => {})
    if (this.#wakeUp.signal.aborted && !this.#closed) this.#wakeUp = new AbortController()
  }

  wake (): void {
    this.#wakeUp.abort()
  }

  requestRead (): void {
    this.#readRequested.abort()
  }

  close (): void {
    this.#closed = true
    this.#wakeUp.abort()
    this.#readRequested.abort()
  }

  async #readNow (): Promise<void> {
    if (this.#closed) return
    this.#readRequested = new AbortController()
    await this.read(this.#readRequested.signal).catch(() => {})
  }

  #storeEntry (entry: StoreEntry | undefined): void {
    if (entry === undefined || entry.version <= (this.#entry?.version ?? 0)) return
    // Parses before the entry is stored: an unreadable record must not be taken for the previously cached one.
    this.#record = parseOwnership(entry.value)
    this.#entry = entry
    this.wake()
  }
}
