/** Scores shared by the placement policies; the lowest score is best. */
import type { Resources } from '../model/resources.ts'
import type { PlacementCandidate } from './workloadDefinition.ts'

function remainingFraction (free: number, demand: number, capacity: number): number {
  return capacity > 0 ? (free - demand) / capacity : 0
}

/**
 * Sums the fractions of capacity that stay free after the placement, over all dimensions. Minimising it gives best fit.
 *
 * @example
 * scoreBestFit(candidate, resources({ processors: 4_000, memory: 8_192 }))
 */
export function scoreBestFit (candidate: PlacementCandidate, size: Resources): number {
  const { free, capacity } = candidate
  return remainingFraction(free.slots, size.slots, capacity.slots) +
    remainingFraction(free.processors, size.processors, capacity.processors) +
    remainingFraction(free.memory, size.memory, capacity.memory) +
    remainingFraction(free.accelerators, size.accelerators, capacity.accelerators)
}

/** Negates the best-fit score, so that the least loaded target scores lowest and work is spread. */
export function scoreLeastLoaded (candidate: PlacementCandidate, size: Resources): number {
  return -scoreBestFit(candidate, size)
}
