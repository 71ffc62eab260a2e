/** Packs the tasks of a gang: best fit, so that few targets are broken into. */
import { scoreBestFit } from '../scores.ts'
import type { PlacementPolicy } from '../workloadDefinition.ts'

export const gangPolicy: PlacementPolicy = {
  searchOrder: 'tightest-first',
  spreadsOverRacks: false,
  score: scoreBestFit
}
