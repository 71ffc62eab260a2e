/** Packs the tasks of a gang by best fit, so that few empty targets become partly used. */
import { scoreBestFit } from '../scores.ts'
import type { PlacementPolicy } from '../workloadDefinition.ts'

export const gangPolicy: PlacementPolicy = {
  searchOrder: 'tightest-first',
  spreadsOverRacks: false,
  score: scoreBestFit
}
