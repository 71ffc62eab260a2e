/** Spreads urgent work by choosing the least loaded of the sampled runners. */
import { scoreLeastLoaded } from '../scores.ts'
import type { PlacementPolicy } from '../workloadDefinition.ts'

export const urgentPolicy: PlacementPolicy = {
  searchOrder: 'emptiest-first',
  spreadsOverRacks: false,
  score: scoreLeastLoaded
}
