/** Spreads services over racks; among racks with equally many tasks the best fit is chosen. */
import { scoreBestFit } from '../scores.ts'
import type { PlacementPolicy } from '../workloadDefinition.ts'

/** Greater than any sum of remaining fractions (at most one for each of four dimensions), so that the rack takes precedence. */
const RACK_WEIGHT = 8

export const servicePolicy: PlacementPolicy = {
  searchOrder: 'tightest-first',
  spreadsOverRacks: true,
  score: (candidate, size, context) =>
    context.tasksInRack(candidate.rack) * RACK_WEIGHT + scoreBestFit(candidate, size)
}
