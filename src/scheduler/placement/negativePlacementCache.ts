/**
 * Remembers demands that found no room, so that a full cluster is not searched again and again for the same sizes.
 * A remembered demand stays true until some target gains capacity and could then take one of its tasks.
 */
import { fits } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import type { TargetState } from './targetState.ts'

/** Remembered demands; each placement and release compares with all of them. */
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

  /** Says whether an equal or smaller demand found no room since. */
  isKnownUnplaceable (size: Resources, tasks: number): boolean {
    for (const refused of this.#demands) if (refused.tasks <= tasks && fits(refused.size, size)) return true
    return false
  }

  /** Notes a demand that no usable targets together can take now. */
  add (size: Resources, tasks: number): void {
    const demand = { size, tasks }
    this.#demands = this.#demands.filter(refused => !isImpliedBy(refused, demand))
    if (this.#demands.length === MAXIMUM_DEMANDS) this.#demands.shift()
    this.#demands.push(demand)
  }

  /** Forgets what may fit now that a target has gained capacity. */
  invalidateFor (target: TargetState): void {
    if (this.#demands.some(refused => target.admits(refused.size))) {
      this.#demands = this.#demands.filter(refused => !target.admits(refused.size))
    }
  }
}
