/** Cached copy of one team's allotment record, with serialised and rate-limited writes. */
import type { Clock } from '../../ports/clock.ts'
import type { Store, StoreEntry } from '../../ports/store.ts'
import { RecordUpdater } from '../recordUpdate.ts'
import { allotmentKey, EMPTY_ALLOTMENT, parseAllotment, serialiseAllotment } from './allotmentRecord.ts'
import type { AllotmentRecord } from './allotmentRecord.ts'

/** Shortest time between two writes to one team's record by one instance. */
export const WRITE_INTERVAL_MS = 250

export class AllotmentView {
  readonly #store: Store
  readonly #clock: Clock
  readonly #key: string
  readonly #updater: RecordUpdater
  #entry: StoreEntry | undefined
  #record: AllotmentRecord = EMPTY_ALLOTMENT
  #stale = true
  #currentAtMs = -Infinity
  #nextWriteMs = 0
  #tail: Promise<unknown> = Promise.resolve()

  constructor (store: Store, clock: Clock, team: string) {
    this.#store = store
    this.#clock = clock
    this.#key = allotmentKey(team)
    this.#updater = new RecordUpdater(store, clock)
  }

  get record (): AllotmentRecord {
    return this.#record
  }

  /** Whether the record must be reread before the held amount may be raised on its basis. */
  get stale (): boolean {
    return this.#stale
  }

  /** Monotonic time at which the record was last known to be current; negative infinity if the store never answered. */
  get currentAtMs (): number {
    return this.#currentAtMs
  }

  markStale (): void {
    this.#stale = true
  }

  async read (signal?: AbortSignal): Promise<void> {
    this.#stale = false
    const startedAtMs = this.#clock.monotonicMs()
    try {
      this.#storeEntry(await this.#store.get(this.#key, signal))
      this.#currentAtMs = startedAtMs
    } catch (error) {
      this.#stale = true
      throw error
    }
  }

  async update (change: (record: AllotmentRecord) => AllotmentRecord | undefined, signal?: AbortSignal): Promise<void> {
    const startedAtMs = this.#clock.monotonicMs()
    const known = this.#entry
    try {
      const entry = await this.#updater.update(this.#key, known, value => {
        const next = change(parseAllotment(value))
        if (next !== undefined) this.#nextWriteMs = this.#clock.monotonicMs() + WRITE_INTERVAL_MS
        return next === undefined ? undefined : serialiseAllotment(next)
      }, signal)
      this.#storeEntry(entry)
      // The known entry is returned if nothing had to be changed, without a call to the store.
      if (entry !== known) this.#currentAtMs = startedAtMs
    } catch (error) {
      this.#stale = true
      throw error
    }
  }

  /** Runs operations one at a time, each no earlier than the next write is allowed. */
  runExclusive<T> (operation: () => Promise<T>, signal?: AbortSignal): Promise<T> {
    const result = this.#tail.then(async () => {
      const wait = this.#nextWriteMs - this.#clock.monotonicMs()
      if (wait > 0) await this.#clock.sleep(wait, signal)
      return await operation()
    })
    this.#tail = result.catch(() => {})
    return result
  }

  #storeEntry (entry: StoreEntry | undefined): void {
    this.#record = parseAllotment(entry?.value)
    this.#entry = entry
  }
}
