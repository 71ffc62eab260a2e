/** Packs batch work by best fit among the sampled targets, which keeps large free blocks for large tasks. */
import { scoreBestFit } from '../scores.ts'
import type { PlacementPolicy } from '../workloadDefinition.ts'

export const batchPolicy: PlacementPolicy = {
  searchOrder: 'tightest-first',
  spreadsOverRacks: false,
  score: scoreBestFit
}
