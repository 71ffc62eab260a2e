/**
 * How old the configuration may be. Section 4.3 of the design has the rules.
 *
 * Ages come only from answers, counted from the sending of the request. A request that was received carries ages
 * too, but its sending time is unknown, so a delayed one would look fresh.
 */
import { incarnationKey } from '../model/identity.ts'
import type { IncarnationKey, InstanceRef } from '../model/identity.ts'
import type { NamedUpdate } from '../model/digest.ts'
import type { Clock } from '../ports/clock.ts'
import type { ChangeLog } from './changeLog.ts'
import type { AcceptorRegistry } from './registry.ts'
import { VersionBounds } from './versionBounds.ts'

/** Above this number, statements of instances that are not registered are dropped. */
const MAX_TRACKED_INSTANCES = 256

export interface FreshnessOptions {
  readonly clock: Clock
  readonly self: InstanceRef
  readonly log: Pick<ChangeLog, 'version' | 'pending' | 'onRead'>
  readonly registry: Pick<AcceptorRegistry, 'acceptors' | 'registeredAt' | 'release'>
}

/** The parts of the own digest that other instances derive freshness from. */
export interface OwnAges {
  readonly storeReadAge?: number
  readonly quietAge?: number
}

/**
 * Computes since when the configuration is known to be current.
 *
 * @example
 * if (tracker.ageMs() > keyGraceMs) throw new RefusalError('stale', { code: 'stale-configuration', verdict: 'not-run' })
 */
export class FreshnessTracker {
  readonly #options: FreshnessOptions
  readonly #storeReadBounds = new VersionBounds()
  readonly #quietBounds = new Map<IncarnationKey, VersionBounds>()
  #ownQuietAt = -Infinity

  constructor (options: FreshnessOptions) {
    this.#options = options
    options.log.onRead((version, readAt) => this.noteStoreRead(version, readAt))
  }

  /** Notes that no change above the version existed at the start of a read. */
  noteStoreRead (version: number, readAt: number): void {
    this.#storeReadBounds.add(version, readAt)
  }

  /** Notes the ages in the answer to a request that was sent at the given monotonic time. */
  noteAnswer (instances: readonly Pick<NamedUpdate, 'ref' | 'configurationVersion' | 'storeReadAge' | 'quietAge'>[], requestedAt: number): void {
    for (const { ref, configurationVersion, storeReadAge, quietAge } of instances) {
      if (storeReadAge !== undefined && storeReadAge >= 0) this.#storeReadBounds.add(configurationVersion, requestedAt - storeReadAge)
      if (quietAge === undefined || !(quietAge >= 0)) continue
      this.#quietBoundsFor(ref).add(configurationVersion, requestedAt - quietAge)
    }
  }

  /** Milliseconds since the configuration was certainly current; infinite if it never was. */
  ageMs (): number {
    const currentAt = Math.max(this.#storeReadAt(), this.#allQuietAt())
    return this.#options.clock.monotonicMs() - currentAt
  }

  /** Milliseconds since a read of the store, by this or another instance, that found no newer change. */
  storeReadAgeMs (): number {
    return this.#options.clock.monotonicMs() - this.#storeReadAt()
  }

  /** Ages for the own digest; to be read together with the version. */
  ownAges (): OwnAges {
    this.#options.registry.release(this.#storeReadAt())
    const storeReadAge = this.storeReadAgeMs()
    return {
      storeReadAge: Number.isFinite(storeReadAge) ? storeReadAge : undefined,
      quietAge: this.#options.log.pending ? undefined : 0
    }
  }

  #quietBoundsFor (ref: InstanceRef): VersionBounds {
    const key = incarnationKey(ref)
    let times = this.#quietBounds.get(key)
    if (times === undefined) {
      if (this.#quietBounds.size >= MAX_TRACKED_INSTANCES) this.#dropUnregistered()
      times = new VersionBounds()
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

  /** The oldest of the times at which each acceptor stated that it had no change above the own version. */
  #allQuietAt (): number {
    const { log, registry, clock } = this.#options
    const storeReadAt = this.#storeReadAt()
    registry.release(storeReadAt)
    if (!log.pending) this.#ownQuietAt = clock.monotonicMs()
    // An instance that deregistered before the own registration is not counted; only a later read covers its changes.
    if (registry.registeredAt === undefined || storeReadAt <= registry.registeredAt) return -Infinity
    const times = registry.acceptors.map(({ ref }) =>
      this.#quietBounds.get(incarnationKey(ref))?.latestTimeFor(log.version) ?? -Infinity)
    return Math.min(this.#ownQuietAt, ...times)
  }
}
