/** Packs batch work: the best fit of the sampled targets keeps large gaps for large tasks. */
import { scoreBestFit } from '../scores.ts'
import type { PlacementPolicy } from '../workloadDefinition.ts'

export const batchPolicy: PlacementPolicy = {
  searchOrder: 'tightest-first',
  spreadsOverRacks: false,
  score: scoreBestFit
}
