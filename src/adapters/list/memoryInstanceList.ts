/** An in-memory instance list that simulates the propagation lag of the platform's; for tests and the HTTP stand-in. */
import { BaseError } from '../../model/errors.ts'
import type { Clock } from '../../ports/clock.ts'
import type { InstanceList, ListSnapshot } from '../../ports/instanceList.ts'

const EMPTY: ListSnapshot = { instances: [], targets: [] }

interface TimedSnapshot {
  readonly setAtMs: number
  readonly snapshot: ListSnapshot
}

/**
 * Makes each snapshot visible to reads after the lag; the first one is visible immediately.
 *
 * @example
 * const list = new MemoryInstanceList(clock, snapshot, 10_000)
 * list.update(current => ({ ...current, instances: [] }))
 */
export class MemoryInstanceList implements InstanceList {
  lagMs: number
  /** While false, reads fail, as if the platform were unreachable. */
  available = true
  readonly #clock: Clock
  #snapshots: readonly TimedSnapshot[]

  constructor (clock: Clock, snapshot: ListSnapshot = EMPTY, lagMs = 0) {
    this.#clock = clock
    this.lagMs = lagMs
    this.#snapshots = [{ setAtMs: -Infinity, snapshot }]
  }

  /** The latest snapshot, regardless of the lag. */
  get current (): ListSnapshot {
    return this.#snapshots.at(-1)?.snapshot ?? EMPTY
  }

  /** Sets the latest snapshot; reads return it after the lag. */
  set (snapshot: ListSnapshot): void {
    const visibleIndex = this.#visibleIndex()
    this.#snapshots = [...this.#snapshots.slice(visibleIndex), { setAtMs: this.#clock.monotonicMs(), snapshot }]
  }

  update (change: (current: ListSnapshot) => ListSnapshot): void {
    this.set(change(this.current))
  }

  async read (signal?: AbortSignal): Promise<ListSnapshot> {
    signal?.throwIfAborted()
    if (!this.available) throw new BaseError('the instance list is unreachable')
    return this.#snapshots[this.#visibleIndex()]?.snapshot ?? EMPTY
  }

  #visibleIndex (): number {
    const visibleUntilMs = this.#clock.monotonicMs() - this.lagMs
    return Math.max(0, this.#snapshots.findLastIndex(({ setAtMs }) => setAtMs <= visibleUntilMs))
  }
}
