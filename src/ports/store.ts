/** The platform's key-value store. Every call counts towards the store's rate limits; a waiting watch counts as one call. */

export interface StoreEntry {
  readonly key: string
  readonly value: string
  /** Increases with each write of the key; at least 1. */
  readonly version: number
}

export type WriteResult =
  | { readonly outcome: 'written', readonly version: number }
  | { readonly outcome: 'conflict', readonly current?: StoreEntry }

export interface WriteOptions {
  /** The version that the key must have; 0 if it must not exist. */
  readonly expectedVersion: number
  /** Lease to which the key is bound; the key is deleted when the lease ends. */
  readonly lease?: string
}

/**
 * Calls reject with `StoreUnavailableError` if they did not take effect,
 * and with `StoreUnknownError` if the answer was lost and they may have taken effect.
 */
export interface Store {
  get (key: string, signal?: AbortSignal): Promise<StoreEntry | undefined>
  list (prefix: string, signal?: AbortSignal): Promise<readonly StoreEntry[]>
  put (key: string, value: string, options: WriteOptions, signal?: AbortSignal): Promise<WriteResult>
  delete (key: string, expectedVersion: number, signal?: AbortSignal): Promise<WriteResult>
  /** Grants a lease and returns its id. */
  grantLease (durationMs: number, signal?: AbortSignal): Promise<string>
  /** Extends a lease; resolves with false if it has ended. */
  renewLease (lease: string, signal?: AbortSignal): Promise<boolean>
  /** Waits until the key has a version above `afterVersion` or the timeout expires; resolves with undefined if the key does not exist. */
  watch (key: string, afterVersion: number, timeoutMs: number, signal?: AbortSignal): Promise<StoreEntry | undefined>
}
