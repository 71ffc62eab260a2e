/** In-memory transactional store for unit tests, with fault injection per call. */
import { StoreUnavailableError, StoreUnknownError } from '../../model/errors.ts'
import type { CommitResult, StoreChange, StoredItem, StorePage, StoreRead, Transaction, TransactionalStore, WatchResult } from '../../ports/transactionalStore.ts'

/** `lost` executes the commit and loses the response; `late` does so when `executeLate` is called. */
export type CommitFault = 'none' | 'unavailable' | 'lost' | 'late'

export class MemoryTransactionalStore implements TransactionalStore {
  readonly items = new Map<string, StoredItem>()
  readonly leases = new Map<number, Set<string>>()
  /** Faults of the next commits, in order. */
  readonly commitFaults: CommitFault[] = []
  /** Whether all calls fail as unavailable. */
  refusing = false
  commits = 0
  /** Store revision of each key's removal by `remove`. */
  readonly #removals = new Map<string, number>()
  readonly #lateCommits: Transaction[] = []
  #revision = 1
  #nextLease = 1

  async get (key: string): Promise<StoreRead> {
    this.#refuse()
    return { item: this.items.get(key), revision: this.#revision }
  }

  async listPage (prefix: string, after = ''): Promise<StorePage> {
    this.#refuse()
    const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
    return { items: items.sort((left, right) => left.key < right.key ? -1 : 1), hasMore: false, revision: this.#revision }
  }

  async watch (prefix: string, afterRevision: number): Promise<WatchResult> {
    this.#refuse()
    const changed = [...this.items.values()].filter(({ key, revision }) => key.startsWith(prefix) && revision > afterRevision)
    const removed = [...this.#removals].filter(([key, revision]) => key.startsWith(prefix) && revision > afterRevision && !this.items.has(key))
    const changes: StoreChange[] = [...changed.map((item): StoreChange => ({ type: 'written', item })), ...removed.map(([key]): StoreChange => ({ type: 'removed', key }))]
    return { outcome: 'changes', changes, revision: this.#revision }
  }

  /** Executes the oldest late commit. */
  executeLate (): void {
    const transaction = this.#lateCommits.shift()
    if (transaction !== undefined) this.#execute(transaction)
  }

  async commit (transaction: Transaction): Promise<CommitResult> {
    this.#refuse()
    const fault = this.commitFaults.shift() ?? 'none'
    if (fault === 'unavailable') throw new StoreUnavailableError('refused')
    this.commits += 1
    if (fault === 'late') this.#lateCommits.push(transaction)
    const result = fault === 'late' ? undefined : this.#execute(transaction)
    if (result === undefined || fault === 'lost') throw new StoreUnknownError('the answer was lost')
    return result
  }

  #execute ({ conditions, writes, removes }: Transaction): CommitResult {
    const holds = conditions.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision)
    if (!holds) return { outcome: 'conflict', current: conditions.flatMap(({ key }) => this.items.get(key) ?? []) }
    for (const { key, value, lease } of writes) this.put(key, value, lease)
    for (const key of removes) this.items.delete(key)
    return { outcome: 'committed', revision: this.#revision }
  }

  put (key: string, value: string, lease?: number): void {
    this.#revision += 1
    this.items.set(key, { key, value, revision: this.#revision })
    if (lease !== undefined) this.leases.get(lease)?.add(key)
  }

  /** Removes a key as an operator would; watches report it. */
  remove (key: string): void {
    if (!this.items.delete(key)) return
    this.#revision += 1
    this.#removals.set(key, this.#revision)
  }

  async grantLease (): Promise<number> {
    this.#refuse()
    const lease = this.#nextLease++
    this.leases.set(lease, new Set())
    return lease
  }

  async renewLease (lease: number): Promise<boolean> {
    this.#refuse()
    return this.leases.has(lease)
  }

  async endLease (lease: number): Promise<void> {
    this.#refuse()
    for (const key of this.leases.get(lease) ?? []) this.items.delete(key)
    this.leases.delete(lease)
  }

  #refuse (): void {
    if (this.refusing) throw new StoreUnavailableError('refused')
  }
}
