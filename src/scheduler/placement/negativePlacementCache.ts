/**
 * Caches demands that could not be placed, so that a full cluster is not searched repeatedly for the same sizes.
 * A cached demand stays valid until a target gains capacity and can then take one of its tasks.
 */
import { fits } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import type { TargetState } from './targetState.ts'

/** Maximum number of cached demands; each placement and release is compared with all of them. */
const MAXIMUM_DEMANDS = 32

interface Demand {
  readonly size: Resources
  readonly tasks: number
}

function isImpliedBy (demand: Demand, refused: Demand): boolean {
  return refused.tasks <= demand.tasks && fits(refused.size, demand.size)
}

export class NegativePlacementCache {
  #demands: Demand[] = []

  /** Returns whether an equal or smaller demand is cached as unplaceable. */
  isKnownUnplaceable (size: Resources, tasks: number): boolean {
    for (const refused of this.#demands) if (refused.tasks <= tasks && fits(refused.size, size)) return true
    return false
  }

  /** Caches a demand that the usable targets together cannot take now. */
  add (size: Resources, tasks: number): void {
    const demand = { size, tasks }
    this.#demands = this.#demands.filter(refused => !isImpliedBy(refused, demand))
    if (this.#demands.length === MAXIMUM_DEMANDS) this.#demands.shift()
    this.#demands.push(demand)
  }

  /** Removes the demands that may be placeable now that a target has gained capacity. */
  invalidateFor (target: TargetState): void {
    if (this.#demands.some(refused => target.admits(refused.size))) {
      this.#demands = this.#demands.filter(refused => !target.admits(refused.size))
    }
  }
}
