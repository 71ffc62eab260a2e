/** Chooses the instance that is to place a request: this one, one of its region, or one across the region link. */
import { fits, isEmpty } from '../../model/resources.ts'
import type { InstanceDigest } from '../../model/digest.ts'
import type { InstanceRef, Location } from '../../model/identity.ts'
import type { Resources } from '../../model/resources.ts'
import type { Random } from '../../ports/random.ts'
import { countFitting } from '../placement/targetState.ts'
import type { CrossRegionBudget } from './crossRegionBudget.ts'

export { CrossRegionBudget } from './crossRegionBudget.ts'
export type { CrossRegionAllowance } from './crossRegionBudget.ts'

/** Hops that a request has taken, as the sum of its values; it takes each at most once. */
export const HOP_INSIDE_REGION = 1
export const HOP_ACROSS_REGIONS = 2

/** An instance of this data centre that was not heard for this long is suspected to be dead. */
export const MAXIMUM_LOCAL_DIGEST_AGE_MS = 4_000
/** Digests of other data centres come from one remote instance in rotation, so they are older. */
export const MAXIMUM_REMOTE_DIGEST_AGE_MS = 15_000

/** Default difference of waiting times that is worth the link, by the `crossRegionWait` setting. */
export const CROSS_REGION_WAIT_MS = 500
export const URGENT_CROSS_REGION_WAIT_MS = 50

export interface RoutingRequest {
  readonly team: string
  /** Size of each task. */
  readonly size: Resources
  readonly tasks: number
  /** Bytes of the request as it would be forwarded. */
  readonly bytes: number
  readonly hops: number
  /** Instances that refused the request. */
  readonly excluded?: ReadonlySet<string>
}

/** How this instance stands to the request. */
export interface LocalView extends Location {
  readonly ref: InstanceRef
  /** The request fits into free capacity here, and nothing waits before it. */
  readonly fitsNow: boolean
  /** It may wait here; false while draining, or if no target here could ever run it. */
  readonly mayWait: boolean
  /** Estimate of the time that it would wait here. */
  readonly waitMs: number
}

export interface RoutingContext {
  readonly random: Random
  readonly budget: CrossRegionBudget
  /** Round trip to another region. */
  readonly crossRegionRoundTripMs: number
  /** The team's and kind's setting `crossRegionWait`. */
  readonly crossRegionWaitMs: number
}

export type Route =
  | { readonly destination: 'local' }
  /** `hops` is what to send along with the request. */
  | { readonly destination: 'peer', readonly instance: InstanceDigest, readonly acrossRegions: boolean, readonly hops: number }
  | { readonly destination: 'none' }

const LOCAL: Route = { destination: 'local' }

function hasCapacity ({ size, tasks }: RoutingRequest, { free, largestFree }: InstanceDigest): boolean {
  return fits(size, largestFree) && countFitting(size, free) >= tasks
}

/** Waiting requests for each task that still fits; lower is better. */
function loadOf ({ size }: RoutingRequest, { free, queued }: InstanceDigest): number {
  const room = isEmpty(size) ? 1 : countFitting(size, free)
  return (queued + 1) / (room + 1)
}

/** The less loaded one of two random candidates, so that many senders with equal, old digests don't choose the same one. */
function chooseLessLoadedOfTwo (request: RoutingRequest, candidates: readonly InstanceDigest[], random: Random): InstanceDigest | undefined {
  if (candidates.length <= 1) return candidates[0]
  const first = random.integer(candidates.length)
  const second = (first + 1 + random.integer(candidates.length - 1)) % candidates.length
  const [left, right] = [candidates[first]!, candidates[second]!]
  return loadOf(request, right) < loadOf(request, left) ? right : left
}

/** Candidates to which the request may be sent, by distance. */
function sortByDistance (request: RoutingRequest, local: LocalView, candidates: readonly InstanceDigest[]): {
  readonly near: readonly InstanceDigest[]
  readonly region: readonly InstanceDigest[]
  readonly remote: readonly InstanceDigest[]
} {
  const usable = candidates.filter(({ ref, state, heardAge, dataCentre }) => state === 'serving' &&
    ref.name !== local.ref.name && request.excluded?.has(ref.name) !== true &&
    heardAge <= (dataCentre === local.dataCentre ? MAXIMUM_LOCAL_DIGEST_AGE_MS : MAXIMUM_REMOTE_DIGEST_AGE_MS))
  const inside = (request.hops & HOP_INSIDE_REGION) === 0 ? usable.filter(({ region }) => region === local.region) : []
  return {
    near: inside.filter(({ dataCentre }) => dataCentre === local.dataCentre),
    region: inside.filter(({ dataCentre }) => dataCentre !== local.dataCentre),
    remote: (request.hops & HOP_ACROSS_REGIONS) === 0 ? usable.filter(({ region }) => region !== local.region) : []
  }
}

/**
 * Prefers this instance, then a peer with room in the data centre, then one in the region. Another region is chosen
 * only if waiting here would take longer than its round trip and `crossRegionWaitMs` together, and if the team's
 * budget allows the bytes, which are then taken.
 *
 * @example
 * const route = chooseInstance(request, local, digests, { random, budget, crossRegionRoundTripMs: 40, crossRegionWaitMs: 500 })
 */
export function chooseInstance (request: RoutingRequest, local: LocalView, candidates: readonly InstanceDigest[], context: RoutingContext): Route {
  if (local.fitsNow) return LOCAL
  const { near, region, remote } = sortByDistance(request, local, candidates)
  const chooseWithCapacity = (list: readonly InstanceDigest[]): InstanceDigest | undefined =>
    chooseLessLoadedOfTwo(request, list.filter(digest => hasCapacity(request, digest)), context.random)
  const forwardWithinRegion = (instance: InstanceDigest): Route =>
    ({ destination: 'peer', instance, acrossRegions: false, hops: request.hops | HOP_INSIDE_REGION })
  const peer = chooseWithCapacity(near) ?? chooseWithCapacity(region)
  if (peer !== undefined) return forwardWithinRegion(peer)
  const crossRegionWorthwhile = !local.mayWait || local.waitMs > context.crossRegionRoundTripMs + context.crossRegionWaitMs
  const remotePeer = crossRegionWorthwhile ? chooseWithCapacity(remote) : undefined
  if (remotePeer !== undefined && context.budget.tryTake(request.team, request.bytes)) {
    return { destination: 'peer', instance: remotePeer, acrossRegions: true, hops: request.hops | HOP_ACROSS_REGIONS }
  }
  if (local.mayWait) return LOCAL
  const waitingPeer = chooseLessLoadedOfTwo(request, near, context.random) ?? chooseLessLoadedOfTwo(request, region, context.random)
  return waitingPeer === undefined ? { destination: 'none' } : forwardWithinRegion(waitingPeer)
}
