/**
 * Follows the newest desired state and the evacuations while this instance coordinates; the version of the desired state
 * never decreases during the lifetime of the process.
 */
import type { DesiredState } from '../jobs/desiredState.ts'
import { DesiredStateIndex } from '../jobs/desiredStateIndex.ts'
import { runInBackground } from '../lifecycle/runInBackground.ts'
import type { Logger } from '../observability/logger.ts'
import type { Clock } from '../ports/clock.ts'
import type { StoreChange, StoredItem, TransactionalStore } from '../ports/transactionalStore.ts'
import { Evacuations } from './targets/evacuations.ts'

/** A change ends the watch within milliseconds; a watch that times out confirms that there was none. */
const WATCH_TIMEOUT_MS = 1_500
const RETRY_DELAY_MS = 150

export interface DesiredStateWatcherOptions {
  readonly store: TransactionalStore
  /** Prefix of all keys of the operator, which are listed and watched together. */
  readonly prefix: string
  /** Key of the desired state. */
  readonly key: string
  /** Prefix of the keys of evacuations, followed by the name of a data centre. Their values do not matter. */
  readonly evacuationPrefix: string
  readonly parse: (text: string) => DesiredState
  readonly clock: Clock
  readonly logger: Logger
}

const EMPTY_STATE: DesiredState = { version: 0, queues: [], services: [], teams: [], maximumBodyBytes: 0 }

/** The time between `follow` and `pause`. */
interface Following {
  readonly stopping: AbortController
  /** Resolves when the store has confirmed the state, or when following ends. */
  readonly confirmed: Promise<void>
  readonly resolveConfirmed: () => void
}

/**
 * Only the coordinator decides on the desired state, so only the coordinator reads it: read by every instance, a large
 * state would fill the link between two regions with copies at each change and at each start of the cluster.
 *
 * @example
 * watcher.follow()
 * await watcher.confirmed
 * const queue = watcher.index.findQueue('orders.example', '/stock/5c0e')
 */
export class DesiredStateWatcher {
  readonly #options: DesiredStateWatcherOptions
  #state: DesiredState = EMPTY_STATE
  #index = new DesiredStateIndex(EMPTY_STATE)
  #evacuations = Evacuations.NONE
  readonly #evacuationListeners = new Set<() => void>()
  #confirmedAtMs = -Infinity
  #failing = false
  #following: Following | undefined
  #refreshing: Promise<void> | undefined

  constructor (options: DesiredStateWatcherOptions) {
    this.#options = options
  }

  /** Starts to read and to watch the store. */
  follow (): void {
    this.pause()
    let resolveConfirmed: () => void = () => {}
    const confirmed = new Promise<void>(resolve => { resolveConfirmed = resolve })
    const following: Following = { stopping: new AbortController(), confirmed, resolveConfirmed }
    this.#following = following
    runInBackground(this.#run(following), this.#options.logger, 'watch of the desired state')
  }

  /** Stops watching; the state stays as it is. */
  pause (): void {
    this.#following?.stopping.abort()
    this.#following?.resolveConfirmed()
    this.#following = undefined
  }

  /** Resolves when the store has confirmed the state and the evacuations since the last `follow`; at once while the watcher is paused. */
  get confirmed (): Promise<void> {
    return this.#following?.confirmed ?? Promise.resolve()
  }

  get state (): DesiredState {
    return this.#state
  }

  /** Lookups in the current state. */
  get index (): DesiredStateIndex {
    return this.#index
  }

  /** The evacuations in force; those read last while the store does not answer. */
  get evacuations (): Evacuations {
    return this.#evacuations
  }

  /** Calls the listener after each change of the evacuations; returns a function that ends this. */
  onEvacuationsChanged (listener: () => void): () => void {
    this.#evacuationListeners.add(listener)
    return () => { this.#evacuationListeners.delete(listener) }
  }

  /** Milliseconds since the store last confirmed that the state is the newest. */
  get ageMs (): number {
    return this.#options.clock.monotonicMs() - this.#confirmedAtMs
  }

  /** Reads the store unless the state was confirmed within the given time; keeps the state if the read fails. */
  async refresh (maximumAgeMs: number): Promise<void> {
    if (this.ageMs <= maximumAgeMs) return
    this.#refreshing ??= this.#read().then(() => {}, error => {
      this.#options.logger.warn({ error: String(error), version: this.#state.version, ageMs: Math.round(this.ageMs) }, 'refresh of the desired state failed')
    }).finally(() => { this.#refreshing = undefined })
    await this.#refreshing
  }

  async #run ({ stopping: { signal }, resolveConfirmed }: Following): Promise<void> {
    const { clock, logger } = this.#options
    while (!signal.aborted) {
      try {
        const revision = await this.#list(signal)
        resolveConfirmed()
        await this.#watch(revision, signal)
      } catch (error) {
        if (signal.aborted) return
        if (!this.#failing) logger.warn({ error: String(error), version: this.#state.version }, 'the desired state can not be read')
        this.#failing = true
        await clock.sleep(RETRY_DELAY_MS, signal).catch(() => {})
      }
    }
  }

  async #read (): Promise<void> {
    const { item } = await this.#options.store.get(this.#options.key)
    this.#markConfirmed()
    if (item !== undefined) this.#apply(item.value)
  }

  /**
   * Reads all keys of the operator. Returns the revision of the store to watch from, which is that of the first page:
   * changes between two pages may be in none of them.
   */
  async #list (signal: AbortSignal): Promise<number> {
    const { store, prefix } = this.#options
    const items: StoredItem[] = []
    let page = await store.listPage(prefix)
    const { revision } = page
    for (;;) {
      if (signal.aborted) throw new Error('the term has ended')
      items.push(...page.items)
      const after = page.items.at(-1)?.key
      if (!page.hasMore || after === undefined) break
      page = await store.listPage(prefix, after)
    }
    this.#markConfirmed()
    const evacuated = new Map<string, number>()
    for (const { key, value, revision: written } of items) {
      if (key === this.#options.key) this.#apply(value)
      const name = this.#evacuatedName(key)
      if (name !== undefined) evacuated.set(name, written)
    }
    this.#updateEvacuations(Evacuations.of(evacuated))
    return revision
  }

  async #watch (revision: number, signal: AbortSignal): Promise<void> {
    const { store, prefix, clock } = this.#options
    let after = revision
    while (!signal.aborted) {
      const result = await store.watch(prefix, after, WATCH_TIMEOUT_MS, signal)
      if (signal.aborted) return
      if (result.outcome === 'history-lost') return await clock.sleep(RETRY_DELAY_MS, signal).catch(() => {})
      this.#updateEvacuations(result.changes.reduce((evacuations, change) => this.#applyChange(evacuations, change), this.#evacuations))
      after = result.revision
      this.#markConfirmed()
    }
  }

  /** Returns the evacuations after the change; applies a new desired state at once. */
  #applyChange (evacuations: Evacuations, change: StoreChange): Evacuations {
    const key = change.type === 'written' ? change.item.key : change.key
    if (change.type === 'written' && key === this.#options.key) this.#apply(change.item.value)
    const name = this.#evacuatedName(key)
    if (name === undefined) return evacuations
    return change.type === 'written' ? evacuations.with(name, change.item.revision) : evacuations.without(name)
  }

  /** Returns undefined if the key is not that of an evacuation. */
  #evacuatedName (key: string): string | undefined {
    const { evacuationPrefix } = this.#options
    return key.startsWith(evacuationPrefix) && key.length > evacuationPrefix.length ? key.slice(evacuationPrefix.length) : undefined
  }

  #updateEvacuations (evacuations: Evacuations): void {
    const hasChanged = !evacuations.hasSameNames(this.#evacuations)
    this.#evacuations = evacuations
    if (hasChanged) for (const listener of [...this.#evacuationListeners]) listener()
  }

  #markConfirmed (): void {
    this.#confirmedAtMs = this.#options.clock.monotonicMs()
    if (this.#failing) this.#options.logger.info({ version: this.#state.version }, 'the desired state can be read again')
    this.#failing = false
  }

  #apply (text: string): void {
    const { logger, parse } = this.#options
    try {
      const state = parse(text)
      if (state.version <= this.#state.version) return
      this.#state = state
      this.#index = new DesiredStateIndex(state)
      logger.info({ version: state.version, bytes: text.length, queues: state.queues.length, teams: state.teams.length }, 'desired state in force')
    } catch (error) {
      logger.error({ error: String(error), version: this.#state.version }, 'invalid desired state ignored; the previous version stays in force')
    }
  }
}
