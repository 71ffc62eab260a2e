/** Free capacity of the other instances of the region, according to their digests. */
import type { InstanceDigest } from '../../model/digest.ts'
import { fits, scaleResources, subtractResources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import { countFitting } from '../../scheduler/placement/targetState.ts'
import type { PlacementRequest } from './placementQueue.ts'

interface FreeCapacity {
  readonly largestFree: Resources
  free: Resources
}

/**
 * Created for each rerouting pass. Reservations keep a pass from rerouting more requests than the others have capacity for.
 *
 * @example
 * const peerCapacity = new PeerCapacity(digests)
 * placements.rerouteWaiting(({ request, fitsLocally }) => !fitsLocally && peerCapacity.tryReserve(request))
 */
export class PeerCapacity {
  readonly #peers: readonly FreeCapacity[]

  constructor (digests: readonly InstanceDigest[]) {
    this.#peers = digests.filter(({ queued }) => queued === 0).map(({ free, largestFree }) => ({ free, largestFree }))
  }

  tryReserve ({ size, taskIds }: PlacementRequest): boolean {
    const peer = this.#peers.find(({ free, largestFree }) => fits(size, largestFree) && countFitting(size, free) >= taskIds.length)
    if (peer === undefined) return false
    peer.free = subtractResources(peer.free, scaleResources(size, taskIds.length))
    return true
  }
}
