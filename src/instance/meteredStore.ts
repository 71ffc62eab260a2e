/** Counts store calls by method and outcome. */
import { StoreUnknownError } from '../model/errors.ts'
import type { Metrics, StoreMethod } from '../observability/metrics.ts'
import type { Store, StoreEntry, WriteOptions, WriteResult } from '../ports/store.ts'

export class MeteredStore implements Store {
  readonly #store: Store
  readonly #metrics: Metrics

  constructor (store: Store, metrics: Metrics) {
    this.#store = store
    this.#metrics = metrics
  }

  get (key: string, signal?: AbortSignal): Promise<StoreEntry | undefined> {
    return this.#count('get', this.#store.get(key, signal))
  }

  list (prefix: string, signal?: AbortSignal): Promise<readonly StoreEntry[]> {
    return this.#count('list', this.#store.list(prefix, signal))
  }

  put (key: string, value: string, options: WriteOptions, signal?: AbortSignal): Promise<WriteResult> {
    return this.#count('put', this.#store.put(key, value, options, signal))
  }

  delete (key: string, expectedVersion: number, signal?: AbortSignal): Promise<WriteResult> {
    return this.#count('delete', this.#store.delete(key, expectedVersion, signal))
  }

  grantLease (durationMs: number, signal?: AbortSignal): Promise<string> {
    return this.#count('grantLease', this.#store.grantLease(durationMs, signal))
  }

  renewLease (lease: string, signal?: AbortSignal): Promise<boolean> {
    return this.#count('renewLease', this.#store.renewLease(lease, signal))
  }

  watch (key: string, afterVersion: number, timeoutMs: number, signal?: AbortSignal): Promise<StoreEntry | undefined> {
    return this.#count('watch', this.#store.watch(key, afterVersion, timeoutMs, signal))
  }

  async #count<Result> (method: StoreMethod, call: Promise<Result>): Promise<Result> {
    try {
      const result = await call
      const conflict = typeof result === 'object' && result !== null && 'outcome' in result && result.outcome === 'conflict'
      this.#metrics.countStoreCall(method, conflict ? 'conflict' : 'ok')
      return result
    } catch (error) {
      this.#metrics.countStoreCall(method, error instanceof StoreUnknownError ? 'unknown' : 'unavailable')
      throw error
    }
  }
}
