/** Builds the digest entry of this instance for the exchange with peers. */
import type { InstanceDigest, InstanceState, TeamDigest } from '../../model/digest.ts'
import type { InstanceRef, Location } from '../../model/identity.ts'
import { isEmpty } from '../../model/resources.ts'
import type { AllotmentManager } from '../../scheduler/limits/allotmentManager.ts'
import type { TargetPool } from '../../scheduler/placement/targetPool.ts'
import type { PlacementQueue } from '../placement/placementQueue.ts'

export interface SelfDescriptionSource {
  readonly location: Location
  readonly peerAddress: string
  readonly pool: TargetPool
  readonly placements: PlacementQueue
  readonly allotments: Pick<AllotmentManager, 'used' | 'spare'>
  self (): InstanceRef
  state (): InstanceState
  teams (): readonly string[]
}

export type SelfDescription = Omit<InstanceDigest, 'heardAge' | 'storeReadAge' | 'quietAge' | 'configurationVersion'>

export function describeSelf (source: SelfDescriptionSource): SelfDescription {
  const { location, peerAddress, pool, placements } = source
  return {
    ref: source.self(),
    ...location,
    peerAddress,
    state: source.state(),
    free: pool.free(),
    largestFree: pool.largestFree(),
    queued: placements.length,
    teams: source.teams().map(team => describeTeam(source, team)).filter(isActive)
  }
}

function describeTeam ({ allotments, placements }: SelfDescriptionSource, team: string): TeamDigest {
  return { team, used: allotments.used(team), spare: allotments.spare(team), queued: placements.waiting(team).entries }
}

/** Teams without usage, spare allotment or queued requests are omitted to keep digests small. */
function isActive ({ used, spare, queued }: TeamDigest): boolean {
  return queued > 0 || !isEmpty(used) || !isEmpty(spare)
}
