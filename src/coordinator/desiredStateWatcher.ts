/** Tracks the newest desired state; its version never decreases during the lifetime of the process. */
import type { DesiredState, VersionedText } from '../jobs/desiredState.ts'
import type { Component } from '../lifecycle/component.ts'
import type { Logger } from '../observability/logger.ts'
import type { Clock } from '../ports/clock.ts'
import type { TransactionalStore } from '../ports/transactionalStore.ts'

/** A change ends the watch within milliseconds; a watch that times out confirms that there was none. */
const WATCH_TIMEOUT_MS = 1_500
const RETRY_DELAY_MS = 150

export interface DesiredStateWatcherOptions {
  readonly store: TransactionalStore
  readonly key: string
  readonly parse: (text: string) => DesiredState
  readonly clock: Clock
  readonly logger: Logger
}

const EMPTY_STATE: DesiredState = { version: 0, queues: [], services: [], teams: [], maximumBodyBytes: 0 }

export class DesiredStateWatcher implements Component {
  readonly name = 'desired state'
  readonly #options: DesiredStateWatcherOptions
  readonly #stopping = new AbortController()
  #state: DesiredState = EMPTY_STATE
  #text = ''
  #confirmedAtMs = -Infinity
  #failing = false
  #refreshing: Promise<void> | undefined
  #running: Promise<void> = Promise.resolve()

  constructor (options: DesiredStateWatcherOptions) {
    this.#options = options
  }

  async start (): Promise<void> {
    this.#running = this.#run()
  }

  async stop (): Promise<void> {
    this.#stopping.abort()
    await this.#running
  }

  /** Whether a desired state has been read or received. */
  get isLoaded (): boolean {
    return this.#state.version > 0
  }

  get state (): DesiredState {
    return this.#state
  }

  get text (): VersionedText {
    return { version: this.#state.version, text: this.#text }
  }

  /** Milliseconds since the store last confirmed that the state is the newest. */
  get ageMs (): number {
    return this.#options.clock.monotonicMs() - this.#confirmedAtMs
  }

  /** Applies the state that a peer has read if it is newer. */
  adoptNewer ({ version, text }: VersionedText, source: string): void {
    if (version > this.#state.version) this.#apply(text, source)
  }

  /** Reads the store unless the state was confirmed within the given time; keeps the state if the read fails. */
  async refresh (maximumAgeMs: number): Promise<void> {
    if (this.ageMs <= maximumAgeMs) return
    this.#refreshing ??= this.#read().then(() => {}, error => {
      this.#options.logger.warn({ error: String(error), version: this.#state.version, ageMs: Math.round(this.ageMs) }, 'refresh of the desired state failed')
    }).finally(() => { this.#refreshing = undefined })
    await this.#refreshing
  }

  async #run (): Promise<void> {
    const { clock, logger } = this.#options
    const { signal } = this.#stopping
    while (!signal.aborted) {
      try {
        await this.#watch(await this.#read())
      } catch (error) {
        if (signal.aborted) return
        if (!this.#failing) logger.warn({ error: String(error), version: this.#state.version }, 'the desired state can not be read')
        this.#failing = true
        await clock.sleep(RETRY_DELAY_MS, signal).catch(() => {})
      }
    }
  }

  /** Returns the revision of the store to watch from; 0 if there is no desired state. */
  async #read (): Promise<number> {
    const { item, revision } = await this.#options.store.get(this.#options.key)
    this.#markConfirmed()
    if (item === undefined) return 0
    this.#apply(item.value, 'store')
    return revision
  }

  async #watch (revision: number): Promise<void> {
    const { store, key, clock } = this.#options
    if (revision === 0) return await clock.sleep(RETRY_DELAY_MS, this.#stopping.signal).catch(() => {})
    let after = revision
    while (!this.#stopping.signal.aborted) {
      const result = await store.watch(key, after, WATCH_TIMEOUT_MS, this.#stopping.signal)
      if (result.outcome === 'history-lost') return await clock.sleep(RETRY_DELAY_MS, this.#stopping.signal).catch(() => {})
      for (const change of result.changes) {
        if (change.type === 'written' && change.item.key === key) this.#apply(change.item.value, 'store')
      }
      after = result.revision
      this.#markConfirmed()
    }
  }

  #markConfirmed (): void {
    this.#confirmedAtMs = this.#options.clock.monotonicMs()
    if (this.#failing) this.#options.logger.info({ version: this.#state.version }, 'the desired state can be read again')
    this.#failing = false
  }

  #apply (text: string, source: string): void {
    const { logger, parse } = this.#options
    try {
      const state = parse(text)
      if (state.version <= this.#state.version) return
      this.#state = state
      this.#text = text
      logger.info({ version: state.version, source, queues: state.queues.length, teams: state.teams.length }, 'desired state in force')
    } catch (error) {
      logger.error({ error: String(error), source, version: this.#state.version }, 'invalid desired state ignored; the previous version stays in force')
    }
  }
}
