/** Free capacity of the other instances of the region, as their digests tell; each look takes what it finds. */
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
 * Used once for each round of offers, so that no more requests are sent away than others have room for.
 *
 * @example
 * const room = new PeerRoom(digests)
 * placements.offerElsewhere(({ request, fitsHere }) => !fitsHere && room.take(request))
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
