/**
 * Tracks how stale the local configuration may be; see section 4.3 of the design.
 *
 * Ages are taken only from responses and are counted from the time at which the request was sent. Incoming requests
 * carry ages too, but the time at which they were sent is unknown, so a delayed request would look fresh.
 */
import { incarnationKey } from '../model/identity.ts'
import type { IncarnationKey, InstanceRef } from '../model/identity.ts'
import type { NamedUpdate } from '../model/digest.ts'
import type { Clock } from '../ports/clock.ts'
import type { ChangeLog } from './changeLog.ts'
import type { AcceptorRegistry } from './registry.ts'
import { VersionedTimes } from './versionedTimes.ts'

/** Number of tracked instances at which bounds of unregistered instances are evicted. */
const MAX_TRACKED_INSTANCES = 256

export interface FreshnessOptions {
  readonly clock: Clock
  readonly self: InstanceRef
  readonly log: Pick<ChangeLog, 'version' | 'pending' | 'onRead'>
  readonly registry: Pick<AcceptorRegistry, 'acceptors' | 'registeredAt' | 'release'>
}

/** Fields of this instance's digest from which other instances derive freshness. */
export interface OwnAges {
  readonly storeReadAge?: number
  readonly quietAge?: number
}

/**
 * Computes the latest time at which the local configuration is known to have been current.
 *
 * @example
 * if (tracker.ageMs() > keyGraceMs) throw new RefusalError('stale', { code: 'stale-configuration', verdict: 'not-run' })
 */
export class FreshnessTracker {
  readonly #options: FreshnessOptions
  readonly #storeReadBounds = new VersionedTimes()
  readonly #quietBounds = new Map<IncarnationKey, VersionedTimes>()
  #ownQuietAt = -Infinity

  constructor (options: FreshnessOptions) {
    this.#options = options
    options.log.onRead((version, readAt) => this.noteStoreRead(version, readAt))
  }

  /** Records that no change above the version existed when a store read started. */
  noteStoreRead (version: number, readAt: number): void {
    this.#storeReadBounds.add(version, readAt)
  }

  /** Records the ages in the response to a request that was sent at the given monotonic time. */
  noteAnswer (instances: readonly Pick<NamedUpdate, 'ref' | 'configurationVersion' | 'storeReadAge' | 'quietAge'>[], requestedAt: number): void {
    for (const { ref, configurationVersion, storeReadAge, quietAge } of instances) {
      if (storeReadAge !== undefined && storeReadAge >= 0) this.#storeReadBounds.add(configurationVersion, requestedAt - storeReadAge)
      if (quietAge === undefined || !(quietAge >= 0)) continue
      this.#quietBoundsFor(ref).add(configurationVersion, requestedAt - quietAge)
    }
  }

  /** Milliseconds since the configuration was last known to be current; infinite if it never was. */
  ageMs (): number {
    const currentAt = Math.max(this.#storeReadAt(), this.#allQuietAt())
    return this.#options.clock.monotonicMs() - currentAt
  }

  /** Milliseconds since this or another instance last read the store and found no newer change. */
  storeReadAgeMs (): number {
    return this.#options.clock.monotonicMs() - this.#storeReadAt()
  }

  /** Ages for this instance's digest. Read them together with the configuration version. */
  ownAges (): OwnAges {
    this.#options.registry.release(this.#storeReadAt())
    const storeReadAge = this.storeReadAgeMs()
    return {
      storeReadAge: Number.isFinite(storeReadAge) ? storeReadAge : undefined,
      quietAge: this.#options.log.pending ? undefined : 0
    }
  }

  #quietBoundsFor (ref: InstanceRef): VersionedTimes {
    const key = incarnationKey(ref)
    let times = this.#quietBounds.get(key)
    if (times === undefined) {
      if (this.#quietBounds.size >= MAX_TRACKED_INSTANCES) this.#dropUnregistered()
      times = new VersionedTimes()
      this.#quietBounds.set(key, times)
    }
    return times
  }

  #dropUnregistered (): void {
    const counted = new Set(this.#options.registry.acceptors.map(({ ref }) => incarnationKey(ref)))
    for (const key of this.#quietBounds.keys()) if (!counted.has(key)) this.#quietBounds.delete(key)
  }

  #storeReadAt (): number {
    return this.#storeReadBounds.latestTimeFor(this.#options.log.version)
  }

  /** Latest time at which every acceptor had reported no change above the local version (minimum over acceptors). */
  #allQuietAt (): number {
    const { log, registry, clock } = this.#options
    const storeReadAt = this.#storeReadAt()
    registry.release(storeReadAt)
    if (!log.pending) this.#ownQuietAt = clock.monotonicMs()
    // Acceptors that deregistered before this instance registered are not tracked. Only a later store read covers
    // their changes.
    if (registry.registeredAt === undefined || storeReadAt <= registry.registeredAt) return -Infinity
    const times = registry.acceptors.map(({ ref }) =>
      this.#quietBounds.get(incarnationKey(ref))?.latestTimeFor(log.version) ?? -Infinity)
    return Math.min(this.#ownQuietAt, ...times)
  }
}
