/** Returns waiting requests to the instances that routed them here when other instances have free capacity. */
import type { InstanceDigest } from '../../model/digest.ts'
import type { Location } from '../../model/identity.ts'
import type { KindName } from '../../model/request.ts'
import { scaleResources } from '../../model/resources.ts'
import type { Clock } from '../../ports/clock.ts'
import type { AllotmentManager } from '../../scheduler/limits/allotmentManager.ts'
import { CROSS_REGION_ROUND_TRIP_MS, HOP_ACROSS_REGIONS, MAXIMUM_REMOTE_DIGEST_AGE_MS } from '../../scheduler/routing/router.ts'
import type { CrossRegionBudget } from '../../scheduler/routing/router.ts'
import type { TeamSettings } from '../../settings/tree.ts'
import { PeerCapacity, PeerReservations } from './peerCapacity.ts'
import type { PlacementQueue, PlacementRequest, RerouteCandidate } from './placementQueue.ts'

/** Shorter waits usually end before rerouting would help. */
const REROUTE_AFTER_MS = 250
/** Taking an allotment needs one store round trip; after this time the store is assumed to be unreachable. */
const ALLOTMENT_REROUTE_AFTER_MS = 1_000
/** Large clusters fetch the load of another data centre every 5 s; until then its digest lacks the requests sent there. */
const CROSS_REGION_RESERVATION_MS = 5_000

export interface WaitingRerouterDependencies {
  readonly clock: Pick<Clock, 'monotonicMs'>
  readonly location: Location
  readonly placements: PlacementQueue
  readonly allotments: Pick<AllotmentManager, 'mayFitElsewhere'>
  readonly settings: { find: (team: string, kind: KindName) => Pick<TeamSettings, 'crossRegionWaitMs'> }
  readonly budget: Pick<CrossRegionBudget, 'available'>
  /** Digests of the other instances that accept work. */
  peers (): readonly InstanceDigest[]
}

/**
 * Refuses a waiting request as `no-capacity` if another instance has room for it, so that the instance that received it
 * from its caller routes it anew, to its own targets first. The router's rules on repeated refusals apply: an instance
 * that refused the request gets it again only when no other one is left to try.
 */
export class WaitingRerouter {
  readonly #dependencies: WaitingRerouterDependencies
  readonly #reservations = new PeerReservations(CROSS_REGION_RESERVATION_MS)

  constructor (dependencies: WaitingRerouterDependencies) {
    this.#dependencies = dependencies
  }

  /** Routes are chosen from outdated digests, so waiting requests are rerouted if another instance has capacity now. */
  run (): void {
    const { placements, allotments, location } = this.#dependencies
    if (placements.length === 0) return
    const peers = this.#dependencies.peers()
    const sameRegion = new PeerCapacity(peers.filter(({ region }) => region === location.region))
    const tryReserveInOtherRegion = this.#openOtherRegions(peers)
    placements.rerouteWaiting(candidate => {
      const { request, fitsLocally, waitedMs } = candidate
      if (fitsLocally) {
        return waitedMs >= ALLOTMENT_REROUTE_AFTER_MS && allotments.mayFitElsewhere(request.team, scaleResources(request.size, request.taskIds.length), waitedMs)
      }
      return waitedMs >= REROUTE_AFTER_MS && (sameRegion.tryReserve(request) !== undefined || tryReserveInOtherRegion(candidate))
    })
  }

  /** Returns a function that reserves capacity in other regions during one pass. */
  #openOtherRegions (peers: readonly InstanceDigest[]): (candidate: RerouteCandidate) => boolean {
    const { clock, location } = this.#dependencies
    const now = clock.monotonicMs()
    const digests = peers.filter(({ region, heardAge }) => region !== location.region && heardAge <= MAXIMUM_REMOTE_DIGEST_AGE_MS)
    const capacity = new PeerCapacity(this.#reservations.subtractFrom(digests, now))
    const availableBytes = new Map<string, number>()
    return ({ request, waitedMs }) => {
      if (!this.#mayLeaveRegion(request, waitedMs)) return false
      const available = availableBytes.get(request.team) ?? this.#dependencies.budget.available(request.team)
      // A request from another region returns as a refusal, which takes nothing from the byte budget.
      const isReturning = (request.hops & HOP_ACROSS_REGIONS) !== 0
      if (!isReturning && request.bytes > available) return false
      const ref = capacity.tryReserve(request)
      if (ref === undefined) return false
      if (!isReturning) availableBytes.set(request.team, available - request.bytes)
      this.#reservations.add(ref, scaleResources(request.size, request.taskIds.length), now)
      return true
    }
  }

  #mayLeaveRegion ({ team, kind }: PlacementRequest, waitedMs: number): boolean {
    const { crossRegionWaitMs } = this.#dependencies.settings.find(team, kind)
    return waitedMs > CROSS_REGION_ROUND_TRIP_MS + crossRegionWaitMs
  }
}
