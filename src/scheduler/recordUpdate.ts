/** Compare-and-swap updates of single store records that are safe when responses are lost. */
import { StoreUnknownError } from '../model/errors.ts'
import type { Clock } from '../ports/clock.ts'
import type { Store, StoreEntry } from '../ports/store.ts'

/** Delay before each read that determines the outcome of a write whose response was lost. */
const READ_RETRY_INTERVAL_MS = 100

/** Returns the new value, or undefined to leave the record unchanged. Called again after each conflict. */
export type RecordChange = (value: string | undefined) => string | undefined

/**
 * Applies changes to single keys.
 *
 * A write whose response was lost may still be applied later. Its outcome is resolved by advancing the key past the
 * version that the write expected: either it has already been applied, which the change must recognise from the value,
 * or it can no longer be applied. Rejects with `StoreUnknownError` only if the signal aborts before that.
 *
 * @example
 * const entry = await new RecordUpdater(store, clock).update('ownership/howrah', undefined, addMember, signal)
 */
export class RecordUpdater {
  readonly #store: Store
  readonly #clock: Clock

  constructor (store: Store, clock: Clock) {
    this.#store = store
    this.#clock = clock
  }

  /** Returns the record after the change. Passing the last known entry saves a read if it is current. */
  async update (key: string, known: StoreEntry | undefined, change: RecordChange, signal?: AbortSignal): Promise<StoreEntry | undefined> {
    let current = known ?? await this.#store.get(key, signal)
    let unresolvedVersion: number | undefined
    for (;;) {
      const expectedVersion = current?.version ?? 0
      const unresolved: boolean = unresolvedVersion === expectedVersion
      const next = change(current?.value) ?? (unresolved ? current?.value : undefined)
      if (next === undefined) return current
      try {
        const result = await this.#store.put(key, next, { expectedVersion }, signal)
        if (result.outcome === 'written') return { key, value: next, version: result.version }
        current = result.current
      } catch (error) {
        if (!(error instanceof StoreUnknownError) && !unresolved) throw error
        unresolvedVersion = expectedVersion
        if (signal?.aborted) throw new StoreUnknownError(`aborted before the outcome of the write to ${key} was known`, { cause: error })
        current = await this.#readUntilAnswered(key, signal)
      }
    }
  }

  async #readUntilAnswered (key: string, signal?: AbortSignal): Promise<StoreEntry | undefined> {
    for (;;) {
      try {
        await this.#clock.sleep(READ_RETRY_INTERVAL_MS, signal)
        return await this.#store.get(key, signal)
      } catch (error) {
        if (signal?.aborted) throw new StoreUnknownError(`aborted before the outcome of the write to ${key} was known`, { cause: error })
      }
    }
  }
}
