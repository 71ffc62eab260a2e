/** Tracks the capacity of one target that new tasks may use. */
import { DIMENSIONS } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import type { ComputeResources } from '../placement/placeStep.ts'

/**
 * Capacity is held by the runs that the coordinator reserved it for, and by unexpected runs that the target shows, until
 * the target no longer shows them.
 *
 * @example
 * const capacity = new TargetCapacity(description.capacity)
 * capacity.reserve(assignment.size)
 * capacity.free.processors
 */
export class TargetCapacity {
  #total: Resources
  readonly #free: { processors: number, memory: number, accelerators: number }
  /** Resources of the unexpected runs, by run; undefined if not known. */
  #unexpectedRuns: ReadonlyMap<string, ComputeResources | undefined> = new Map()

  constructor (total: Resources) {
    this.#total = total
    const { processors, memory, accelerators } = total
    this.#free = { processors, memory, accelerators }
  }

  /** Capacity of the target as a whole. */
  get total (): Resources {
    return this.#total
  }

  /** Live view of the unassigned capacity; negative if the runs need more than the target has. */
  get free (): ComputeResources {
    return this.#free
  }

  get hasUnexpectedRuns (): boolean {
    return this.#unexpectedRuns.size > 0
  }

  /** Whether an unexpected run holds capacity of unknown size, so that `free` is too high. */
  get hasRunsOfUnknownSize (): boolean {
    return [...this.#unexpectedRuns.values()].includes(undefined)
  }

  /** Whether a run with reserved resources of the size may be started: the target may have shrunk since they were reserved. */
  covers (size: ComputeResources): boolean {
    const { processors, memory, accelerators } = this.#free
    return (processors >= 0 || size.processors === 0) && (memory >= 0 || size.memory === 0) && (accelerators >= 0 || size.accelerators === 0)
  }

  /** Applies a capacity that has shrunk or grown; runs keep what they hold. Returns false if it is the same. */
  resize (total: Resources): boolean {
    const previous = this.#total
    if (DIMENSIONS.every(dimension => previous[dimension] === total[dimension])) return false
    this.#total = total
    this.reserve(previous)
    this.release(total)
    return true
  }

  reserve (size: ComputeResources): void {
    this.#subtract(size, 1)
  }

  release (size: ComputeResources): void {
    this.#subtract(size, -1)
  }

  /** Replaces the runs that the target shows although nothing is reserved for them. */
  setUnexpectedRuns (runs: ReadonlyMap<string, ComputeResources | undefined>): void {
    for (const size of this.#unexpectedRuns.values()) if (size !== undefined) this.release(size)
    for (const size of runs.values()) if (size !== undefined) this.reserve(size)
    this.#unexpectedRuns = runs
  }

  #subtract (size: ComputeResources, sign: 1 | -1): void {
    this.#free.processors -= sign * size.processors
    this.#free.memory -= sign * size.memory
    this.#free.accelerators -= sign * size.accelerators
  }
}
