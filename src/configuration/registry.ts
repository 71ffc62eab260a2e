/** The instances that may accept changes. Freshness without the store rests on knowing all of them. */
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
  /** Monotonic time at which it was first counted, or asked to be counted again. */
  readonly trackedSince: number
  /** Version of the newest registry value that had the entry; 0 if it is known from the acceptor only. */
  lastSeenVersion: number
  /** Monotonic time at which the entry was known to be deregistered. */
  deregisteredAt?: number
  /** It ended, and everything that it accepted is known. */
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
 * Registers this instance and counts the others.
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
  /** Instances that were registered before this one and may count the acceptors without it. */
  #requiredAcknowledgers: readonly InstanceRef[] = []
  #value: RegistryValue = { acceptors: [], version: 0 }
  #self: Acceptor | undefined
  #registeredAt: number | undefined

  constructor ({ store, clock }: AcceptorRegistryOptions) {
    this.#store = store
    this.#clock = clock
  }

  /** Every instance that may have accepted a change that this instance does not know. */
  get acceptors (): readonly Acceptor[] {
    return [...this.#tracked.values()].filter(tracked => !tracked.released).map(tracked => tracked.acceptor)
  }

  /** Monotonic time after which every new acceptor needs this instance's acknowledgement; undefined if unregistered. */
  get registeredAt (): number | undefined {
    return this.#registeredAt
  }

  /** Registered, and acknowledged by every instance that was registered before or is no longer registered. */
  get mayAccept (): boolean {
    return this.#registeredAt !== undefined && this.#requiredAcknowledgers.every(ref =>
      this.#acknowledged.has(incarnationKey(ref)) || !this.#value.acceptors.some(entry => sameInstance(entry.ref, ref)))
  }

  /** Whether others have to be asked to count this instance; one that has deregistered must not be counted again. */
  get needsAcknowledgement (): boolean {
    return this.#self !== undefined && !this.mayAccept
  }

  /** Adds this instance; entries of earlier incarnations of its name are replaced. Rejects with the store's errors. */
  async register (self: Acceptor): Promise<void> {
    this.#self = self
    await this.#update(acceptors => [...acceptors.filter(({ ref }) => ref.name !== self.ref.name), self])
    this.#acknowledged.clear()
    this.#requiredAcknowledgers = this.#value.acceptors.map(({ ref }) => ref).filter(ref => !this.#isSelf(ref))
    this.#registeredAt = this.#clock.monotonicMs()
  }

  /** Removes this instance. Call it only when the change log has no pending write. */
  async deregister (): Promise<void> {
    const self = this.#self
    this.#self = undefined
    this.#registeredAt = undefined
    if (self !== undefined) await this.#update(acceptors => acceptors.filter(({ ref }) => !sameInstance(ref, self.ref)))
  }

  /** Counts an instance that asks to be acknowledged; what was known about its end no longer holds. */
  acknowledge (acceptor: Acceptor): void {
    this.#tracked.delete(incarnationKey(acceptor.ref))
    this.#presence.forget(acceptor.ref)
    this.#track(acceptor, 0)
  }

  isCounted (ref: InstanceRef): boolean {
    return this.#tracked.get(incarnationKey(ref))?.released === false
  }

  /** Notes an acknowledgement; one asked for before the registration does not count. */
  noteAcknowledged (by: InstanceRef, askedAt: number): void {
    if (this.#registeredAt !== undefined && askedAt >= this.#registeredAt) this.#acknowledged.add(incarnationKey(by))
  }

  observeList (instances: readonly ListedInstance[], readStartedAt: number): void {
    this.#presence.observe(instances, readStartedAt)
  }

  /** Reads the registry, removes entries of instances that are gone, and registers again if that is needed. */
  async maintain (): Promise<void> {
    const readStartedAt = this.#clock.monotonicMs()
    this.#adoptValue(await this.#read(), readStartedAt)
    if (this.#self !== undefined && this.#registeredAt === undefined) await this.register(this.#self)
    const isGone = ({ ref }: Acceptor): boolean => !this.#isSelf(ref) && this.#presence.goneSince(ref) !== undefined
    if (this.#value.acceptors.some(isGone)) await this.#update(acceptors => acceptors.filter(entry => !isGone(entry)))
  }

  /**
   * Stops counting instances that ended before a moment at which the log in the store was known to be read to its end.
   * Without such a read, a change that an instance accepted just before its end could be unknown to all others.
   */
  release (storeReadAt: number): void {
    for (const [key, tracked] of this.#tracked) {
      const { ref } = tracked.acceptor
      const endedAt = Math.min(tracked.deregisteredAt ?? Infinity, this.#presence.goneSince(ref) ?? Infinity)
      tracked.released = endedAt < storeReadAt
      // A registered entry is kept, so that its absence from the list is still known when it is removed.
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
    // The registry holds only the newest incarnation of a name.
    this.#presence.track(acceptor.ref, now)
    if (tracked === undefined) {
      this.#tracked.set(key, { acceptor, trackedSince: now, lastSeenVersion: registryVersion, released: false })
    } else if (registryVersion >= tracked.lastSeenVersion) {
      tracked.lastSeenVersion = registryVersion
      tracked.deregisteredAt = undefined
    }
  }

  /** Takes a value of the registry whose read began at the monotonic time given. */
  #adoptValue (value: RegistryValue, readStartedAt: number): void {
    if (value.version < this.#value.version) return
    this.#value = value
    for (const acceptor of value.acceptors) this.#track(acceptor, value.version)
    const now = this.#clock.monotonicMs()
    for (const tracked of this.#tracked.values()) {
      // An entry that was never seen in the registry may have been added after a read that began before it was asked for.
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

  /** Changes the registry by compare-and-swap; after a lost answer the next read tells the outcome. */
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
    throw new RegistryBusyError(`the registry changed ${MAX_UPDATE_ATTEMPTS} times in a row`)
  }
}
