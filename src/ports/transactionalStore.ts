/** A store with transactions over several keys, watches of a prefix, and leases; it lives outside of this project's processes. */

export interface StoredItem {
  readonly key: string
  readonly value: string
  /** The store's revision at the last change of the key. */
  readonly revision: number
}

export interface StoreRead {
  /** Left out if the key does not exist. */
  readonly item?: StoredItem
  /** The store's revision when the key was read; a watch continues from here. 0 if it is not known. */
  readonly revision: number
}

export interface StorePage {
  readonly items: readonly StoredItem[]
  readonly hasMore: boolean
  /** The store's revision when the page was read. */
  readonly revision: number
}

export type StoreChange =
  | { readonly type: 'written', readonly item: StoredItem }
  | { readonly type: 'removed', readonly key: string }

export type WatchResult =
  | { readonly outcome: 'changes', readonly changes: readonly StoreChange[], readonly revision: number }
  /** The changes after the revision are not available any more; read the keys anew. */
  | { readonly outcome: 'history-lost' }

export interface Transaction {
  /** Revision that each key must have; 0 if it must not exist. */
  readonly conditions: readonly { readonly key: string, readonly revision: number }[]
  readonly writes: readonly { readonly key: string, readonly value: string, readonly lease?: number }[]
  readonly removes: readonly string[]
}

export type CommitResult =
  | { readonly outcome: 'committed', readonly revision: number }
  /** The keys of the conditions that exist, as they are now. */
  | { readonly outcome: 'conflict', readonly current: readonly StoredItem[] }
  | { readonly outcome: 'lease-ended' }

/** Conditions, writes and removes of one transaction together. */
export const MAX_TRANSACTION_OPERATIONS = 32

/**
 * Calls reject with `StoreUnavailableError` if they certainly had no effect, and with
 * `StoreUnknownError` if they may have had one, or may have it later.
 */
export interface TransactionalStore {
  get (key: string): Promise<StoreRead>
  /** Reads the keys with the prefix that follow `after`. */
  listPage (prefix: string, after?: string): Promise<StorePage>
  /** Waits for changes after the revision; resolves without changes when the time is up. */
  watch (prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<WatchResult>
  commit (transaction: Transaction): Promise<CommitResult>
  grantLease (durationMs: number): Promise<number>
  /** Extends a lease; false if it has ended. */
  renewLease (lease: number): Promise<boolean>
  endLease (lease: number): Promise<void>
}

/**
 * Reads every key with the prefix. Pages are no snapshot.
 *
 * @example
 * const items = await listAll(store, 'agategauge/log/')
 */
export async function listAll (store: TransactionalStore, prefix: string): Promise<readonly StoredItem[]> {
  const items: StoredItem[] = []
  let after: string | undefined
  for (;;) {
    const page = await store.listPage(prefix, after)
    items.push(...page.items)
    after = page.items.at(-1)?.key
    if (!page.hasMore || after === undefined) return items
  }
}
