/** Reads the platform's list and keeps the last snapshot through its outages. */
import type { Component } from '../lifecycle/component.ts'
import { withTimeout } from '../configuration/withTimeout.ts'
import type { Clock } from '../ports/clock.ts'
import type { InstanceList, ListSnapshot } from '../ports/instanceList.ts'

export const LIST_INTERVAL_MS = 5_000
const LIST_TIMEOUT_MS = 4_000

/** Receives each snapshot and the monotonic time at which its reading started. Rejections are ignored. */
export type ListListener = (snapshot: ListSnapshot, readStartedAt: number) => void | Promise<void>

export interface ListLoopOptions {
  readonly list: InstanceList
  readonly clock: Clock
  readonly onSnapshot: ListListener
}

/**
 * Passes each reading of the list on.
 *
 * @example
 * const loop = new ListLoop({ list, clock, onSnapshot: async ({ instances }, startedAt) => {
 *   table.mergeList(instances, startedAt)
 *   registry.observeList(instances, startedAt)
 *   await registry.maintain()
 * } })
 */
export class ListLoop implements Component {
  readonly name = 'instance list'
  readonly #options: ListLoopOptions
  readonly #stopping = new AbortController()
  #running: Promise<void> | undefined
  #snapshot: ListSnapshot | undefined
  #readAt: number | undefined

  constructor (options: ListLoopOptions) {
    this.#options = options
  }

  /** The last snapshot that could be read. */
  get snapshot (): ListSnapshot | undefined {
    return this.#snapshot
  }

  /** Milliseconds since the last successful reading started; infinite if there was none. */
  get ageMs (): number {
    return this.#readAt === undefined ? Infinity : this.#options.clock.monotonicMs() - this.#readAt
  }

  async start (): Promise<void> {
    await this.#read()
    this.#running = this.#run()
  }

  async stop (): Promise<void> {
    this.#stopping.abort()
    await this.#running
  }

  async #run (): Promise<void> {
    const { clock } = this.#options
    const { signal } = this.#stopping
    while (!signal.aborted) {
      await clock.sleep(LIST_INTERVAL_MS, signal).catch(() => {})
      if (!signal.aborted) await this.#read()
    }
  }

  async #read (): Promise<void> {
    const { list, clock, onSnapshot } = this.#options
    const startedAt = clock.monotonicMs()
    try {
      await withTimeout(clock, LIST_TIMEOUT_MS, async signal => {
        this.#snapshot = await list.read(signal)
        this.#readAt = startedAt
        await onSnapshot(this.#snapshot, startedAt)
      }, this.#stopping.signal)
    } catch {
      // The last snapshot stays; its age tells how old it is.
    }
  }
}
