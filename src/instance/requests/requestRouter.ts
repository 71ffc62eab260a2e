/** Chooses the route of a request from the state of this instance and the digests of the others. */
import type { InstanceDigest } from '../../model/digest.ts'
import type { InstanceRef, Location } from '../../model/identity.ts'
import { fits } from '../../model/resources.ts'
import type { MembershipTable } from '../../membership/membershipTable.ts'
import type { Random } from '../../ports/random.ts'
import { countFitting } from '../../scheduler/placement/targetState.ts'
import type { TargetPool } from '../../scheduler/placement/targetPool.ts'
import { chooseInstance, CROSS_REGION_ROUND_TRIP_MS } from '../../scheduler/routing/router.ts'
import type { CrossRegionBudget, LocalView, Route } from '../../scheduler/routing/router.ts'
import { findWorkload } from '../../workloads/registry.ts'
import type { RouteQuery } from './dispatcher.ts'
import type { PlacementQueue } from '../placement/placementQueue.ts'
import type { TeamSettingsSource } from '../teamSettingsSource.ts'
import type { WaitEstimator } from '../placement/waitEstimator.ts'

/** Size of the headers and framing of a forwarded request. */
const FORWARDING_OVERHEAD_BYTES = 300

export interface RequestRouterDependencies {
  readonly self: () => InstanceRef
  readonly location: Location
  readonly pool: TargetPool
  readonly placements: PlacementQueue
  readonly membership: MembershipTable
  readonly settings: TeamSettingsSource
  readonly budget: CrossRegionBudget
  readonly random: Random
  readonly waitEstimator: WaitEstimator
  isDraining (): boolean
}

export class RequestRouter {
  readonly #dependencies: RequestRouterDependencies

  constructor (dependencies: RequestRouterDependencies) {
    this.#dependencies = dependencies
  }

  choose (query: RouteQuery): Route {
    const { random, budget, settings } = this.#dependencies
    const { team, request, hops, excluded } = query
    const bytes = FORWARDING_OVERHEAD_BYTES + JSON.stringify(request).length
    const routed = { team, size: request.size, tasks: request.tasks, bytes, hops, excluded }
    const { crossRegionWaitMs } = settings.find(team, request.kind)
    const context = { random, budget, crossRegionRoundTripMs: CROSS_REGION_ROUND_TRIP_MS, crossRegionWaitMs }
    return chooseInstance(routed, this.#describeLocal(query), this.#candidates(), context)
  }

  #describeLocal ({ request, excluded }: RouteQuery): LocalView {
    const { pool, placements, waitEstimator, location, self } = this.#dependencies
    const workload = findWorkload(request.kind)
    const ref = self()
    const refused = excluded.has(ref.name) || this.#dependencies.isDraining()
    const hasFreeCapacity = fits(request.size, pool.largestFree()) && countFitting(request.size, pool.free()) >= request.tasks
    const type = workload.targetType(request.size)
    const fitsAnOwnedTarget = [...pool.targets()].some(({ info }) => info.type === type && fits(request.size, info.capacity))
    return {
      ...location,
      ref,
      fitsNow: !refused && hasFreeCapacity && (workload.urgency === 0 || placements.length === 0),
      mayWait: !refused && fitsAnOwnedTarget,
      waitMs: hasFreeCapacity ? 0 : waitEstimator.estimate(request.kind)
    }
  }

  #candidates (): readonly InstanceDigest[] {
    return this.#dependencies.membership.live().filter(member => !member.leaving).map(member => member.digest)
  }
}
