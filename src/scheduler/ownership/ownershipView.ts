/** The ownership record as last seen, kept current by one watch. */
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
    this.#accept(await this.#store.get(this.#key, signal))
  }

  /** Keeps the record in view until the signal aborts. */
  async follow (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const either = AbortSignal.any([signal, this.#readRequested.signal])
      try {
        this.#accept(await this.#store.watch(this.#key, this.#entry?.version ?? 0, WATCH_TIMEOUT_MS, either))
      } catch {
        if (signal.aborted) return
        if (this.#readRequested.signal.aborted) {
          this.#readRequested = new AbortController()
          await this.read(signal).catch(() => {})
        } else {
          await this.#clock.sleep(RETRY_INTERVAL_MS, signal).catch(() => {})
        }
      }
    }
  }

  async update (change: (record: OwnershipRecord) => OwnershipRecord | undefined, signal?: AbortSignal): Promise<void> {
    this.#accept(await this.#updater.update(this.#key, this.#entry, value => {
      const next = change(parseOwnership(value))
      return next === undefined ? undefined : serialiseOwnership(next)
    }, signal))
  }

  /** Waits for the time, a newer record or a wake-up. */
  async sleep (durationMs: number, signal: AbortSignal): Promise<void> {
    const wakeUp = this.#wakeUp
    await this.#clock.sleep(durationMs, AbortSignal.any([signal, wakeUp.signal])).catch(() => {})
    if (wakeUp.signal.aborted) this.#wakeUp = new AbortController()
  }

  wake (): void {
    this.#wakeUp.abort()
  }

  requestRead (): void {
    this.#readRequested.abort()
  }

  #accept (entry: StoreEntry | undefined): void {
    if (entry === undefined || entry.version <= (this.#entry?.version ?? 0)) return
    this.#entry = entry
    this.#record = parseOwnership(entry.value)
    this.wake()
  }
}
