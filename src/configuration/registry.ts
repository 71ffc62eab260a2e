/**
 * Registry of acceptors: the instances that may accept configuration changes. Freshness can be established without the
 * store only if every acceptor is known.
 */
import { incarnationKey, sameInstance } from '../model/identity.ts'
import type { IncarnationKey, InstanceRef } from '../model/identity.ts'
import { BaseError, StoreUnknownError } from '../model/errors.ts'
import type { Clock } from '../ports/clock.ts'
import type { ListedInstance } from '../ports/instanceList.ts'
import type { Store } from '../ports/store.ts'
import { parseRecord } from '../ports/storeRecord.ts'
import { ListPresence } from './listPresence.ts'
import { acceptorsSchema } from './recordSchemas.ts'

const REGISTRY_KEY = 'registry'
const MAX_UPDATE_ATTEMPTS = 16

export interface Acceptor {
  readonly ref: InstanceRef
  readonly dataCentre: string
  readonly peerAddress: string
}

export const RegistryBusyError = BaseError.subclass('RegistryBusyError')

interface TrackedAcceptor {
  readonly acceptor: Acceptor
  /** Monotonic time at which it was first tracked, or last asked to be tracked again. */
  readonly trackedSince: number
  /** Version of the newest registry value that contained the entry; 0 if it is known only from the acceptor itself. */
  lastSeenVersion: number
  /** Monotonic time at which the entry was found to be deregistered. */
  deregisteredAt?: number
  /** The acceptor has ended and every change that it accepted is known here. */
  released: boolean
}

interface RegistryValue {
  readonly acceptors: readonly Acceptor[]
  readonly version: number
}

export interface AcceptorRegistryOptions {
  readonly store: Store
  readonly clock: Clock
}

/**
 * Registers this instance as an acceptor and tracks the others.
 *
 * @example
 * const registry = new AcceptorRegistry({ store, clock })
 * await registry.register({ ref, dataCentre: 'howrah', peerAddress: '10.1.0.7:7400' })
 */
export class AcceptorRegistry {
  readonly #store: Store
  readonly #clock: Clock
  readonly #presence = new ListPresence()
  readonly #tracked = new Map<IncarnationKey, TrackedAcceptor>()
  readonly #acknowledged = new Set<IncarnationKey>()
  /** Instances registered before this one, whose acceptor sets may not include it yet. */
  #requiredAcknowledgers: readonly InstanceRef[] = []
  #value: RegistryValue = { acceptors: [], version: 0 }
  #self: Acceptor | undefined
  #registeredAt: number | undefined

  constructor ({ store, clock }: AcceptorRegistryOptions) {
    this.#store = store
    this.#clock = clock
  }

  /** Instances that may have accepted a change unknown to this instance. */
  get acceptors (): readonly Acceptor[] {
    return [...this.#tracked.values()].filter(tracked => !tracked.released).map(tracked => tracked.acceptor)
  }

  /** Monotonic time after which every new acceptor needs this instance's acknowledgement; undefined if unregistered. */
  get registeredAt (): number | undefined {
    return this.#registeredAt
  }

  /** Whether this instance is registered and acknowledged by every earlier instance that is still registered. */
  get mayAccept (): boolean {
    return this.#registeredAt !== undefined && this.#requiredAcknowledgers.every(ref =>
      this.#acknowledged.has(incarnationKey(ref)) || !this.#value.acceptors.some(entry => sameInstance(entry.ref, ref)))
  }

  /** Whether to request acknowledgements. False once deregistered, since others must not track this instance again. */
  get needsAcknowledgement (): boolean {
    return this.#self !== undefined && !this.mayAccept
  }

  /** Adds this instance and replaces entries of earlier incarnations of its name. Rejects with the store's errors. */
  async register (self: Acceptor): Promise<void> {
    this.#self = self
    await this.#update(acceptors => [...acceptors.filter(({ ref }) => ref.name !== self.ref.name), self])
    this.#acknowledged.clear()
    this.#requiredAcknowledgers = this.#value.acceptors.map(({ ref }) => ref).filter(ref => !this.#isSelf(ref))
    this.#registeredAt = this.#clock.monotonicMs()
  }

  /** Removes this instance. Call only while the change log has no pending write. */
  async deregister (): Promise<void> {
    const self = this.#self
    this.#self = undefined
    this.#registeredAt = undefined
    if (self !== undefined) await this.#update(acceptors => acceptors.filter(({ ref }) => !sameInstance(ref, self.ref)))
  }

  /** Tracks an instance that requests an acknowledgement, and discards earlier evidence that it had ended. */
  acknowledge (acceptor: Acceptor): void {
    this.#tracked.delete(incarnationKey(acceptor.ref))
    this.#presence.forget(acceptor.ref)
    this.#track(acceptor, 0)
  }

  isCounted (ref: InstanceRef): boolean {
    return this.#tracked.get(incarnationKey(ref))?.released === false
  }

  /** Records an acknowledgement; one requested before the current registration is ignored. */
  noteAcknowledged (by: InstanceRef, askedAt: number): void {
    if (this.#registeredAt !== undefined && askedAt >= this.#registeredAt) this.#acknowledged.add(incarnationKey(by))
  }

  observeList (instances: readonly ListedInstance[], readStartedAt: number): void {
    this.#presence.observe(instances, readStartedAt)
  }

  /** Reads the registry, removes entries of instances that are gone, and registers this instance again if needed. */
  async maintain (): Promise<void> {
    const readStartedAt = this.#clock.monotonicMs()
    this.#adoptValue(await this.#read(), readStartedAt)
    if (this.#self !== undefined && this.#registeredAt === undefined) await this.register(this.#self)
    const isGone = ({ ref }: Acceptor): boolean => !this.#isSelf(ref) && this.#presence.goneSince(ref) !== undefined
    if (this.#value.acceptors.some(isGone)) await this.#update(acceptors => acceptors.filter(entry => !isGone(entry)))
  }

  /**
   * Stops tracking instances that ended before a read that reached the end of the log in the store. Without such a
   * read, a change that an instance accepted just before it ended could be unknown to every other instance.
   */
  release (storeReadAt: number): void {
    for (const [key, tracked] of this.#tracked) {
      const { ref } = tracked.acceptor
      const endedAt = Math.min(tracked.deregisteredAt ?? Infinity, this.#presence.goneSince(ref) ?? Infinity)
      tracked.released = endedAt < storeReadAt
      // An entry that is still registered stays tracked: maintain() needs its absence from the list to remove it.
      if (!tracked.released || this.#value.acceptors.some(entry => sameInstance(entry.ref, ref))) continue
      this.#tracked.delete(key)
      this.#presence.forget(ref)
    }
  }

  #isSelf (ref: InstanceRef): boolean {
    return this.#self !== undefined && sameInstance(ref, this.#self.ref)
  }

  #track (acceptor: Acceptor, registryVersion: number): void {
    if (this.#isSelf(acceptor.ref)) return
    const key = incarnationKey(acceptor.ref)
    const tracked = this.#tracked.get(key)
    const now = this.#clock.monotonicMs()
    // The registry holds only the newest incarnation of each name.
    this.#presence.track(acceptor.ref, now)
    if (tracked === undefined) {
      this.#tracked.set(key, { acceptor, trackedSince: now, lastSeenVersion: registryVersion, released: false })
    } else if (registryVersion >= tracked.lastSeenVersion) {
      tracked.lastSeenVersion = registryVersion
      tracked.deregisteredAt = undefined
    }
  }

  /** Applies a registry value whose read started at the given monotonic time. */
  #adoptValue (value: RegistryValue, readStartedAt: number): void {
    if (value.version < this.#value.version) return
    this.#value = value
    for (const acceptor of value.acceptors) this.#track(acceptor, value.version)
    const now = this.#clock.monotonicMs()
    for (const tracked of this.#tracked.values()) {
      // An entry never seen in the registry may have been added after this read, if the read started before the entry
      // was tracked.
      const isCovered = tracked.lastSeenVersion > 0 || tracked.trackedSince < readStartedAt
      if (isCovered && tracked.lastSeenVersion < value.version) tracked.deregisteredAt ??= now
    }
    if (this.#registeredAt !== undefined && !value.acceptors.some(({ ref }) => this.#isSelf(ref))) {
      this.#registeredAt = undefined
    }
  }

  async #read (): Promise<RegistryValue> {
    const entry = await this.#store.get(REGISTRY_KEY)
    if (entry === undefined) return { acceptors: [], version: 0 }
    return { acceptors: parseRecord(acceptorsSchema, 'registry', entry.value), version: entry.version }
  }

  /** Updates the registry by compare-and-swap. After a lost response, the next read shows whether the write applied. */
  async #update (change: (acceptors: readonly Acceptor[]) => readonly Acceptor[]): Promise<void> {
    for (let attempt = 0; attempt < MAX_UPDATE_ATTEMPTS; attempt++) {
      const readStartedAt = this.#clock.monotonicMs()
      const { acceptors, version } = await this.#read()
      const changed = change(acceptors)
      if (JSON.stringify(changed) === JSON.stringify(acceptors)) return this.#adoptValue({ acceptors, version }, readStartedAt)
      try {
        const result = await this.#store.put(REGISTRY_KEY, JSON.stringify(changed), { expectedVersion: version })
        if (result.outcome === 'written') return this.#adoptValue({ acceptors: changed, version: result.version }, readStartedAt)
      } catch (error) {
        if (!(error instanceof StoreUnknownError)) throw error
      }
    }
    throw new RegistryBusyError(`the registry could not be updated: no write succeeded in ${MAX_UPDATE_ATTEMPTS} attempts`)
  }
}
