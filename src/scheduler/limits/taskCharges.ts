/** Usage and queued demand of one team's tasks on one instance. */
import { addResources, DIMENSIONS, NO_RESOURCES, subtractResources } from '../../model/resources.ts'
import type { Dimension, Resources } from '../../model/resources.ts'
import type { Clock } from '../../ports/clock.ts'
import { buildResources } from './allotmentRecord.ts'

/** A chunk is kept for this long after the last use, so that the next request need not wait for a write. */
const IDLE_RETURN_MS = 30_000

export class TaskCharges {
  readonly #clock: Clock
  readonly #charges = new Map<string, Resources>()
  readonly #lastActiveMs = new Map<Dimension, number>()
  #used = NO_RESOURCES
  #queued = NO_RESOURCES

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get used (): Resources {
    return this.#used
  }

  /** Usage and queued demand. */
  get demand (): Resources {
    return addResources(this.#used, this.#queued)
  }

  /** One in each recently used dimension, zero in the others. */
  get active (): Resources {
    const now = this.#clock.monotonicMs()
    return buildResources(dimension => now - (this.#lastActiveMs.get(dimension) ?? -Infinity) < IDLE_RETURN_MS ? 1 : 0)
  }

  setQueued (queued: Resources): void {
    this.#queued = queued
    this.#recordActivity(queued)
  }

  has (taskId: string): boolean {
    return this.#charges.has(taskId)
  }

  add (taskId: string, size: Resources): void {
    if (this.#charges.has(taskId)) return
    this.#charges.set(taskId, size)
    this.#used = addResources(this.#used, size)
    this.#recordActivity(size)
  }

  /** Removes a charge and returns its size. */
  remove (taskId: string): Resources | undefined {
    const size = this.#charges.get(taskId)
    if (size === undefined) return undefined
    this.#charges.delete(taskId)
    this.#used = subtractResources(this.#used, size)
    this.#recordActivity(size)
    return size
  }

  clear (): void {
    this.#charges.clear()
    this.#used = NO_RESOURCES
  }

  #recordActivity (amount: Resources): void {
    for (const dimension of DIMENSIONS) {
      if (amount[dimension] > 0) this.#lastActiveMs.set(dimension, this.#clock.monotonicMs())
    }
  }
}

/** Rounds up to whole units, so that sums of sizes are exact and return to zero. */
export function roundSize (size: Resources): Resources {
  return buildResources(dimension => Math.ceil(size[dimension]))
}
