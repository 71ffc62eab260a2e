/** Spreads services over racks; among equally used racks the best fit is taken. */
import { scoreBestFit } from '../scores.ts'
import type { PlacementPolicy } from '../workloadDefinition.ts'

/** Above any sum of leftover fractions (one for each of four dimensions), so that racks decide first. */
const RACK_WEIGHT = 8

export const servicePolicy: PlacementPolicy = {
  searchOrder: 'tightest-first',
  spreadsOverRacks: true,
  score: (candidate, size, context) =>
    context.tasksInRack(candidate.rack) * RACK_WEIGHT + scoreBestFit(candidate, size)
}
