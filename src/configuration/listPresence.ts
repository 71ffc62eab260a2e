/** Detects from the platform's eventually consistent instance list that an instance is gone. */
import { incarnationKey } from '../model/identity.ts'
import type { IncarnationKey, InstanceRef } from '../model/identity.ts'
import type { ListedInstance } from '../ports/instanceList.ts'

/** A stale list may be read after a newer one, so an absence counts only after it has lasted for the list's lag. */
export const LIST_LAG_MS = 10_000

/** An instance that was never listed may have just started; several times the lag allows for a slow start. */
const UNLISTED_ABSENCE_MS = 60_000

interface Presence {
  readonly ref: InstanceRef
  /** Monotonic time at which the instance was last known to run; negative infinity if it never was. */
  seenAt: number
  wasListed: boolean
  absentSince?: number
  goneAt?: number
}

/**
 * Tracks the presence of instances over successive reads of the list. A list entry without an incarnation refers to
 * the most recently seen incarnation of that name, since an ended incarnation may be discovered after its replacement.
 *
 * @example
 * presence.track(ref, heardAt)
 * presence.observe(snapshot.instances, readStartedAt)
 * presence.goneSince(ref)
 */
export class ListPresence {
  readonly #tracked = new Map<IncarnationKey, Presence>()

  /** Starts tracking an instance that was known to run at the given monotonic time. */
  track (ref: InstanceRef, seenAt: number): void {
    const key = incarnationKey(ref)
    const presence = this.#tracked.get(key)
    if (presence === undefined) this.#tracked.set(key, { ref, seenAt, wasListed: false })
    else presence.seenAt = Math.max(presence.seenAt, seenAt)
  }

  forget (ref: InstanceRef): void {
    this.#tracked.delete(incarnationKey(ref))
  }

  /** Applies a read of the list that started at the given monotonic time. */
  observe (instances: readonly ListedInstance[], readStartedAt: number): void {
    const newest = this.#findLatestIncarnations()
    const listed = new Set(instances.map(({ name, incarnation }) =>
      incarnationKey({ name, incarnation: incarnation ?? newest.get(name)?.ref.incarnation ?? '' })))
    for (const [key, presence] of this.#tracked) observePresence(presence, listed.has(key), readStartedAt)
  }

  /** Monotonic time from which the instance is known to be gone; undefined while it may still run. */
  goneSince (ref: InstanceRef): number | undefined {
    return this.#tracked.get(incarnationKey(ref))?.goneAt
  }

  /** Returns the most recently seen incarnation of each name. */
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
