/** Polls the platform's instance list and keeps the last snapshot during outages of the list. */
import type { Component } from '../lifecycle/component.ts'
import { withTimeout } from '../configuration/withTimeout.ts'
import type { Clock } from '../ports/clock.ts'
import type { InstanceList, ListSnapshot } from '../ports/instanceList.ts'

export const LIST_INTERVAL_MS = 5_000
const LIST_TIMEOUT_MS = 4_000

/** Receives each snapshot and the monotonic time at which the read started. Errors of the listener are ignored. */
export type ListListener = (snapshot: ListSnapshot, readStartedAt: number) => void | Promise<void>

export interface ListLoopOptions {
  readonly list: InstanceList
  readonly clock: Clock
  readonly onSnapshot: ListListener
}

/**
 * Passes each snapshot of the list to a listener.
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

  /** The last snapshot that was read. */
  get snapshot (): ListSnapshot | undefined {
    return this.#snapshot
  }

  /** Monotonic time at which the read of the last snapshot started. */
  get readAt (): number | undefined {
    return this.#readAt
  }

  /** Milliseconds since the last successful read started; infinite if there was none. */
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
      // Keeps the last snapshot; callers judge it by its age.
    }
  }
}
