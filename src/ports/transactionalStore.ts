/** An external store with multi-key transactions, prefix watches and leases. */

export interface StoredItem {
  readonly key: string
  readonly value: string
  /** Store revision of the key's last change. */
  readonly revision: number
}

export interface StoreRead {
  /** Absent if the key does not exist. */
  readonly item?: StoredItem
  /** Store revision at which the key was read, from which a watch can continue; 0 if unknown. */
  readonly revision: number
}

export interface StorePage {
  readonly items: readonly StoredItem[]
  readonly hasMore: boolean
  /** Store revision at which the page was read. */
  readonly revision: number
}

export type StoreChange =
  | { readonly type: 'written', readonly item: StoredItem }
  | { readonly type: 'removed', readonly key: string }

export type WatchResult =
  | { readonly outcome: 'changes', readonly changes: readonly StoreChange[], readonly revision: number }
  /** The store no longer has the changes after the revision; the keys must be read again. */
  | { readonly outcome: 'history-lost' }

export interface Transaction {
  /** Revision that each key must have; 0 if the key must not exist. */
  readonly conditions: readonly { readonly key: string, readonly revision: number }[]
  readonly writes: readonly { readonly key: string, readonly value: string, readonly lease?: number }[]
  readonly removes: readonly string[]
}

export type CommitResult =
  | { readonly outcome: 'committed', readonly revision: number }
  /** `current` holds the current items of those condition keys that exist. */
  | { readonly outcome: 'conflict', readonly current: readonly StoredItem[] }
  | { readonly outcome: 'lease-ended' }

/** Maximum number of conditions, writes and removes in one transaction, counted together. */
export const MAX_TRANSACTION_OPERATIONS = 32

/**
 * Calls reject with `StoreUnavailableError` if they did not and will not take effect, and with
 * `StoreUnknownError` if they may have taken effect or may still do so.
 */
export interface TransactionalStore {
  get (key: string): Promise<StoreRead>
  /** Reads one page of the keys with the prefix, starting after the key `after`. */
  listPage (prefix: string, after?: string): Promise<StorePage>
  /** Waits for changes after the revision; resolves without changes after `waitMs`. */
  watch (prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<WatchResult>
  commit (transaction: Transaction): Promise<CommitResult>
  grantLease (durationMs: number): Promise<number>
  /** Extends a lease; resolves with false if it has ended. */
  renewLease (lease: number): Promise<boolean>
  endLease (lease: number): Promise<void>
}

/**
 * Reads all keys with the prefix. The pages are read one after another and do not form a consistent snapshot.
 *
 * @example
 * const items = await listAll(store, 'agategauge/log/')
 */
export async function listAll (store: Pick<TransactionalStore, 'listPage'>, prefix: string): Promise<readonly StoredItem[]> {
  const items: StoredItem[] = []
  let after: string | undefined
  for (;;) {
    const page = await store.listPage(prefix, after)
    items.push(...page.items)
    after = page.items.at(-1)?.key
    if (!page.hasMore || after === undefined) return items
  }
}
