/** Free capacity of other instances according to their digests, less what was reserved for rerouted requests. */
import type { InstanceDigest } from '../../model/digest.ts'
import { incarnationKey } from '../../model/identity.ts'
import type { IncarnationKey, InstanceRef } from '../../model/identity.ts'
import { addResources, fits, NO_RESOURCES, scaleResources, subtractResources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import { countFitting } from '../../scheduler/placement/targetState.ts'
import type { PlacementRequest } from './placementQueue.ts'

interface FreeCapacity {
  readonly ref: InstanceRef
  readonly largestFree: Resources
  free: Resources
}

/** Keeps reservations for a fixed time, so that passes with the same digests do not reserve the same capacity again. */
export class PeerReservations {
  readonly #retentionMs: number
  /** In the order of their times. */
  #reservations: Array<{ readonly key: IncarnationKey, readonly size: Resources, readonly reservedAt: number }> = []

  constructor (retentionMs: number) {
    this.#retentionMs = retentionMs
  }

  add (ref: InstanceRef, size: Resources, now: number): void {
    this.#reservations.push({ key: incarnationKey(ref), size, reservedAt: now })
  }

  /** Removes expired reservations and returns the digests without the reserved capacity. */
  subtractFrom (digests: readonly InstanceDigest[], now: number): readonly InstanceDigest[] {
    this.#reservations = this.#reservations.filter(({ reservedAt }) => now - reservedAt < this.#retentionMs)
    if (this.#reservations.length === 0) return digests
    const reserved = new Map<IncarnationKey, Resources>()
    for (const { key, size } of this.#reservations) reserved.set(key, addResources(reserved.get(key) ?? NO_RESOURCES, size))
    return digests.map(digest => ({ ...digest, free: subtractResources(digest.free, reserved.get(incarnationKey(digest.ref)) ?? NO_RESOURCES) }))
  }
}

/**
 * Created for each rerouting pass. Reservations keep a pass from rerouting more requests than the others have capacity for.
 *
 * @example
 * const peerCapacity = new PeerCapacity(digests)
 * placements.rerouteWaiting(({ request, fitsLocally }) => !fitsLocally && peerCapacity.tryReserve(request) !== undefined)
 */
export class PeerCapacity {
  readonly #peers: readonly FreeCapacity[]
  /** Sizes that fit no instance. Capacity only decreases during a pass, so they are not looked up again. */
  readonly #unavailable = new Set<string>()

  constructor (digests: readonly InstanceDigest[]) {
    this.#peers = digests.filter(({ queued }) => queued === 0).map(({ ref, free, largestFree }) => ({ ref, free, largestFree }))
  }

  /** Reserves the capacity and returns its instance; undefined if no instance has enough. */
  tryReserve ({ size, taskIds }: PlacementRequest): InstanceRef | undefined {
    if (this.#peers.length === 0) return undefined
    const shape = `${taskIds.length}/${size.slots}/${size.processors}/${size.memory}/${size.accelerators}`
    if (this.#unavailable.has(shape)) return undefined
    const peer = this.#peers.find(({ free, largestFree }) => fits(size, largestFree) && countFitting(size, free) >= taskIds.length)
    if (peer === undefined) {
      this.#unavailable.add(shape)
      return undefined
    }
    peer.free = subtractResources(peer.free, scaleResources(size, taskIds.length))
    return peer.ref
  }
}
