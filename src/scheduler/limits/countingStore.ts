/** Counts calls to the store, because the platform meters every call. */
import type { Store, StoreEntry, WriteOptions, WriteResult } from '../../ports/store.ts'

export class CountingStore implements Store {
  readonly #store: Store
  #calls = 0

  constructor (store: Store) {
    this.#store = store
  }

  get calls (): number {
    return this.#calls
  }

  get (key: string, signal?: AbortSignal): Promise<StoreEntry | undefined> {
    this.#calls++
    return this.#store.get(key, signal)
  }

  list (prefix: string, signal?: AbortSignal): Promise<readonly StoreEntry[]> {
    this.#calls++
    return this.#store.list(prefix, signal)
  }

  put (key: string, value: string, options: WriteOptions, signal?: AbortSignal): Promise<WriteResult> {
    this.#calls++
    return this.#store.put(key, value, options, signal)
  }

  delete (key: string, expectedVersion: number, signal?: AbortSignal): Promise<WriteResult> {
    this.#calls++
    return this.#store.delete(key, expectedVersion, signal)
  }

  grantLease (durationMs: number, signal?: AbortSignal): Promise<string> {
    this.#calls++
    return this.#store.grantLease(durationMs, signal)
  }

  renewLease (lease: string, signal?: AbortSignal): Promise<boolean> {
    this.#calls++
    return this.#store.renewLease(lease, signal)
  }

  watch (key: string, afterVersion: number, timeoutMs: number, signal?: AbortSignal): Promise<StoreEntry | undefined> {
    this.#calls++
    return this.#store.watch(key, afterVersion, timeoutMs, signal)
  }
}
