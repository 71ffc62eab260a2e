/** Chooses the instance that places a request: this instance, a peer in the same region, or a peer in another region. */
import { fits, isEmpty } from '../../model/resources.ts'
import type { InstanceDigest } from '../../model/digest.ts'
import type { InstanceRef, Location } from '../../model/identity.ts'
import type { Resources } from '../../model/resources.ts'
import type { Random } from '../../ports/random.ts'
import { countFitting } from '../placement/targetState.ts'
import type { CrossRegionBudget } from './crossRegionBudget.ts'

export { CrossRegionBudget } from './crossRegionBudget.ts'
export type { CrossRegionAllowance } from './crossRegionBudget.ts'

/** Flags of the hops that a request has taken; it takes each kind of hop at most once. */
export const HOP_INSIDE_REGION = 1
export const HOP_ACROSS_REGIONS = 2

/** Instances of the same data centre with older digests are suspected to have failed and are not chosen. */
export const MAXIMUM_LOCAL_DIGEST_AGE_MS = 4_000
/** Digests from other data centres are fetched from one remote instance at a time in rotation, so they are older. */
export const MAXIMUM_REMOTE_DIGEST_AGE_MS = 15_000

/** Round-trip time between regions; the specification gives 20 ms one way. */
export const CROSS_REGION_ROUND_TRIP_MS = 40

/** Defaults of the `crossRegionWait` setting: the saving in waiting time that justifies use of the link between regions. */
export const CROSS_REGION_WAIT_MS = 500
export const URGENT_CROSS_REGION_WAIT_MS = 50

export interface RoutingRequest {
  readonly team: string
  /** Size of each task. */
  readonly size: Resources
  readonly tasks: number
  /** Size in bytes of the request when forwarded. */
  readonly bytes: number
  readonly hops: number
  /** Instances that refused the request. */
  readonly excluded?: ReadonlySet<string>
}

/** State of this instance with respect to the request. */
export interface LocalView extends Location {
  readonly ref: InstanceRef
  /** Whether the request fits into free capacity here and no other request is queued ahead of it. */
  readonly fitsNow: boolean
  /** Whether the request may be queued here; false while draining, or if no target here can ever run it. */
  readonly mayWait: boolean
  /** Estimated time in this instance's queue. */
  readonly waitMs: number
}

export interface RoutingContext {
  readonly random: Random
  readonly budget: CrossRegionBudget
  /** Round-trip time to another region. */
  readonly crossRegionRoundTripMs: number
  /** The `crossRegionWait` setting of the team and kind. */
  readonly crossRegionWaitMs: number
}

export type Route =
  | { readonly destination: 'local' }
  /** `hops` must be sent with the request. */
  | { readonly destination: 'peer', readonly instance: InstanceDigest, readonly acrossRegions: boolean, readonly hops: number }
  | { readonly destination: 'none' }

const LOCAL: Route = { destination: 'local' }

function hasCapacity ({ size, tasks }: RoutingRequest, { free, largestFree }: InstanceDigest): boolean {
  return fits(size, largestFree) && countFitting(size, free) >= tasks
}

/** Returns the queued requests per task that still fits; lower is better. */
function loadOf ({ size }: RoutingRequest, { free, queued }: InstanceDigest): number {
  const room = isEmpty(size) ? 1 : countFitting(size, free)
  return (queued + 1) / (room + 1)
}

/**
 * Returns the less loaded of two random candidates (power of two choices), so that many senders with the same outdated
 * digests do not all choose the same instance.
 */
function chooseLessLoadedOfTwo (request: RoutingRequest, candidates: readonly InstanceDigest[], random: Random): InstanceDigest | undefined {
  if (candidates.length <= 1) return candidates[0]
  const first = random.integer(candidates.length)
  const second = (first + 1 + random.integer(candidates.length - 1)) % candidates.length
  const [left, right] = [candidates[first]!, candidates[second]!]
  return loadOf(request, right) < loadOf(request, left) ? right : left
}

/** Groups the candidates to which the request may be sent by distance. */
function sortByDistance (request: RoutingRequest, local: LocalView, candidates: readonly InstanceDigest[]): {
  readonly sameDataCentre: readonly InstanceDigest[]
  readonly sameRegion: readonly InstanceDigest[]
  readonly otherRegions: readonly InstanceDigest[]
} {
  const usable = candidates.filter(({ ref, state, heardAge, dataCentre }) => state === 'serving' &&
    ref.name !== local.ref.name && request.excluded?.has(ref.name) !== true &&
    heardAge <= (dataCentre === local.dataCentre ? MAXIMUM_LOCAL_DIGEST_AGE_MS : MAXIMUM_REMOTE_DIGEST_AGE_MS))
  const withinRegion = (request.hops & HOP_INSIDE_REGION) === 0 ? usable.filter(({ region }) => region === local.region) : []
  return {
    sameDataCentre: withinRegion.filter(({ dataCentre }) => dataCentre === local.dataCentre),
    sameRegion: withinRegion.filter(({ dataCentre }) => dataCentre !== local.dataCentre),
    otherRegions: (request.hops & HOP_ACROSS_REGIONS) === 0 ? usable.filter(({ region }) => region !== local.region) : []
  }
}

/**
 * Prefers this instance, then a peer with capacity in the same data centre, then one in the same region. A peer in
 * another region is chosen only if the request cannot wait here or would wait longer than the sum of the round-trip
 * time and `crossRegionWaitMs`, and if the team's budget allows the bytes, which are then taken.
 *
 * @example
 * const route = chooseInstance(request, local, digests, { random, budget, crossRegionRoundTripMs: 40, crossRegionWaitMs: 500 })
 */
export function chooseInstance (request: RoutingRequest, local: LocalView, candidates: readonly InstanceDigest[], context: RoutingContext): Route {
  if (local.fitsNow) return LOCAL
  const { sameDataCentre, sameRegion, otherRegions } = sortByDistance(request, local, candidates)
  const chooseWithCapacity = (list: readonly InstanceDigest[]): InstanceDigest | undefined =>
    chooseLessLoadedOfTwo(request, list.filter(digest => hasCapacity(request, digest)), context.random)
  const forwardWithinRegion = (instance: InstanceDigest): Route =>
    ({ destination: 'peer', instance, acrossRegions: false, hops: request.hops | HOP_INSIDE_REGION })
  const peer = chooseWithCapacity(sameDataCentre) ?? chooseWithCapacity(sameRegion)
  if (peer !== undefined) return forwardWithinRegion(peer)
  const crossRegionWorthwhile = !local.mayWait || local.waitMs > context.crossRegionRoundTripMs + context.crossRegionWaitMs
  const remotePeer = crossRegionWorthwhile ? chooseWithCapacity(otherRegions) : undefined
  if (remotePeer !== undefined && context.budget.tryTake(request.team, request.bytes)) {
    return { destination: 'peer', instance: remotePeer, acrossRegions: true, hops: request.hops | HOP_ACROSS_REGIONS }
  }
  if (local.mayWait) return LOCAL
  const waitingPeer = chooseLessLoadedOfTwo(request, sameDataCentre, context.random) ?? chooseLessLoadedOfTwo(request, sameRegion, context.random)
  return waitingPeer === undefined ? { destination: 'none' } : forwardWithinRegion(waitingPeer)
}
