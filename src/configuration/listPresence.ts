/** Decides from the platform's list, which lags, that an instance is gone. */
import { incarnationKey } from '../model/identity.ts'
import type { IncarnationKey, InstanceRef } from '../model/identity.ts'
import type { ListedInstance } from '../ports/instanceList.ts'

/** An older list may be read after a newer one, so an absence counts only when it has lasted for the list's lag. */
export const LIST_LAG_MS = 10_000

/** An instance that was never listed may have started within the lag; several lags allow for a slow start. */
const UNLISTED_ABSENCE_MS = 60_000

interface Presence {
  readonly ref: InstanceRef
  /** Monotonic time of the latest sign that it ran; negative infinity without one. */
  seenAt: number
  wasListed: boolean
  absentSince?: number
  goneAt?: number
}

/**
 * Follows a set of instances through readings of the list. An entry of the list without an incarnation stands for the
 * one of its name that was seen last: an incarnation that ended may be learned of after the one that replaced it.
 *
 * @example
 * presence.track(ref, heardAt)
 * presence.observe(snapshot.instances, readStartedAt)
 * presence.goneSince(ref)
 */
export class ListPresence {
  readonly #tracked = new Map<IncarnationKey, Presence>()

  /** Follows the instance, which was seen to run at the monotonic time. */
  track (ref: InstanceRef, seenAt: number): void {
    const key = incarnationKey(ref)
    const presence = this.#tracked.get(key)
    if (presence === undefined) this.#tracked.set(key, { ref, seenAt, wasListed: false })
    else presence.seenAt = Math.max(presence.seenAt, seenAt)
  }

  forget (ref: InstanceRef): void {
    this.#tracked.delete(incarnationKey(ref))
  }

  /** Takes a reading of the list that started at the given monotonic time. */
  observe (instances: readonly ListedInstance[], readStartedAt: number): void {
    const newest = this.#findLatestIncarnations()
    const listed = new Set(instances.map(({ name, incarnation }) =>
      incarnationKey({ name, incarnation: incarnation ?? newest.get(name)?.ref.incarnation ?? '' })))
    for (const [key, presence] of this.#tracked) observePresence(presence, listed.has(key), readStartedAt)
  }

  /** Monotonic time at which the instance was known to be gone; undefined while it may run. */
  goneSince (ref: InstanceRef): number | undefined {
    return this.#tracked.get(incarnationKey(ref))?.goneAt
  }

  /** The incarnation of each name that was seen last. */
  #findLatestIncarnations (): ReadonlyMap<string, Presence> {
    const newest = new Map<string, Presence>()
    for (const presence of this.#tracked.values()) {
      const other = newest.get(presence.ref.name)
      if (other === undefined || presence.seenAt >= other.seenAt) newest.set(presence.ref.name, presence)
    }
    return newest
  }
}

function observePresence (presence: Presence, listed: boolean, readStartedAt: number): void {
  if (listed) {
    presence.wasListed = true
    presence.absentSince = presence.goneAt = undefined
    return
  }
  presence.absentSince ??= readStartedAt
  const required = presence.wasListed ? LIST_LAG_MS : UNLISTED_ABSENCE_MS
  if (readStartedAt - presence.absentSince >= required) presence.goneAt ??= readStartedAt
}
