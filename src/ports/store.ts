/** The platform's key-value store. Each call counts against the store's rates, a waiting watch as one. */

export interface StoreEntry {
  readonly key: string
  readonly value: string
  /** Rises with each write of the key; at least 1. */
  readonly version: number
}

export type WriteResult =
  | { readonly outcome: 'written', readonly version: number }
  | { readonly outcome: 'conflict', readonly current?: StoreEntry }

export interface WriteOptions {
  /** The version that the key must have; 0 if it must not exist. */
  readonly expectedVersion: number
  /** Deletes the key when the lease ends. */
  readonly lease?: string
}

/**
 * Calls reject with `StoreUnavailableError` if they certainly had no effect,
 * and with `StoreUnknownError` if the answer was lost and they may have had one.
 */
export interface Store {
  get (key: string, signal?: AbortSignal): Promise<StoreEntry | undefined>
  list (prefix: string, signal?: AbortSignal): Promise<readonly StoreEntry[]>
  put (key: string, value: string, options: WriteOptions, signal?: AbortSignal): Promise<WriteResult>
  delete (key: string, expectedVersion: number, signal?: AbortSignal): Promise<WriteResult>
  /** Grants a lease and returns its identity. */
  grantLease (durationMs: number, signal?: AbortSignal): Promise<string>
  /** Extends a lease; false if it has ended. */
  renewLease (lease: string, signal?: AbortSignal): Promise<boolean>
  /** Waits until the key has a version above the one given or the time is up; undefined if the key is absent. */
  watch (key: string, afterVersion: number, timeoutMs: number, signal?: AbortSignal): Promise<StoreEntry | undefined>
}
