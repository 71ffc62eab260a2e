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
const MAX_ATTEMPTS = 16

export interface Acceptor {
  readonly ref: InstanceRef
  readonly dataCentre: string
  readonly peerAddress: string
}

export const RegistryBusyError = BaseError.subclass('RegistryBusyError')

interface Counted {
  readonly acceptor: Acceptor
  /** Monotonic time at which it was first counted, or asked to be counted again. */
  readonly countedAt: number
  /** Version of the newest registry value that had the entry; 0 if it is known from the acceptor only. */
  seenVersion: number
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
  readonly #counted = new Map<IncarnationKey, Counted>()
  readonly #acknowledged = new Set<IncarnationKey>()
  /** Instances that were registered before this one and may count the acceptors without it. */
  #required: readonly InstanceRef[] = []
  #value: RegistryValue = { acceptors: [], version: 0 }
  #self: Acceptor | undefined
  #registeredAt: number | undefined

  constructor ({ store, clock }: AcceptorRegistryOptions) {
    this.#store = store
    this.#clock = clock
  }

  /** Every instance that may have accepted a change that this instance does not know. */
  get acceptors (): readonly Acceptor[] {
    return [...this.#counted.values()].filter(counted => !counted.released).map(counted => counted.acceptor)
  }

  /** Monotonic time after which every new acceptor needs this instance's acknowledgement; undefined if unregistered. */
  get registeredAt (): number | undefined {
    return this.#registeredAt
  }

  /** Registered, and acknowledged by every instance that was registered before or is no longer registered. */
  get mayAccept (): boolean {
    return this.#registeredAt !== undefined && this.#required.every(ref =>
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
    this.#required = this.#value.acceptors.map(({ ref }) => ref).filter(ref => !this.#isSelf(ref))
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
    this.#counted.delete(incarnationKey(acceptor.ref))
    this.#presence.forget(acceptor.ref)
    this.#count(acceptor, 0)
  }

  isCounted (ref: InstanceRef): boolean {
    return this.#counted.get(incarnationKey(ref))?.released === false
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
    this.#learn(await this.#read(), readStartedAt)
    if (this.#self !== undefined && this.#registeredAt === undefined) await this.register(this.#self)
    const isGone = ({ ref }: Acceptor): boolean => !this.#isSelf(ref) && this.#presence.goneSince(ref) !== undefined
    if (this.#value.acceptors.some(isGone)) await this.#update(acceptors => acceptors.filter(entry => !isGone(entry)))
  }

  /**
   * Stops counting instances that ended before a moment at which the log in the store was known to be read to its end.
   * Without such a read, a change that an instance accepted just before its end could be unknown to all others.
   */
  release (storeReadAt: number): void {
    for (const [key, counted] of this.#counted) {
      const { ref } = counted.acceptor
      const endedAt = Math.min(counted.deregisteredAt ?? Infinity, this.#presence.goneSince(ref) ?? Infinity)
      counted.released = endedAt < storeReadAt
      // A registered entry is kept, so that its absence from the list is still known when it is removed.
      if (!counted.released || this.#value.acceptors.some(entry => sameInstance(entry.ref, ref))) continue
      this.#counted.delete(key)
      this.#presence.forget(ref)
    }
  }

  #isSelf (ref: InstanceRef): boolean {
    return this.#self !== undefined && sameInstance(ref, this.#self.ref)
  }

  #count (acceptor: Acceptor, seenVersion: number): void {
    if (this.#isSelf(acceptor.ref)) return
    const key = incarnationKey(acceptor.ref)
    const counted = this.#counted.get(key)
    const now = this.#clock.monotonicMs()
    // The registry holds only the newest incarnation of a name.
    this.#presence.track(acceptor.ref, now)
    if (counted === undefined) {
      this.#counted.set(key, { acceptor, countedAt: now, seenVersion, released: false })
    } else if (seenVersion >= counted.seenVersion) {
      counted.seenVersion = seenVersion
      counted.deregisteredAt = undefined
    }
  }

  /** Takes a value of the registry whose read began at the monotonic time given. */
  #learn (value: RegistryValue, readStartedAt: number): void {
    if (value.version < this.#value.version) return
    this.#value = value
    for (const acceptor of value.acceptors) this.#count(acceptor, value.version)
    const now = this.#clock.monotonicMs()
    for (const counted of this.#counted.values()) {
      // An entry that was never seen in the registry may have been added after a read that began before it was asked for.
      const isCovered = counted.seenVersion > 0 || counted.countedAt < readStartedAt
      if (isCovered && counted.seenVersion < value.version) counted.deregisteredAt ??= now
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
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const readStartedAt = this.#clock.monotonicMs()
      const { acceptors, version } = await this.#read()
      const changed = change(acceptors)
      if (JSON.stringify(changed) === JSON.stringify(acceptors)) return this.#learn({ acceptors, version }, readStartedAt)
      try {
        const result = await this.#store.put(REGISTRY_KEY, JSON.stringify(changed), { expectedVersion: version })
        if (result.outcome === 'written') return this.#learn({ acceptors: changed, version: result.version }, readStartedAt)
      } catch (error) {
        if (!(error instanceof StoreUnknownError)) throw error
      }
    }
    throw new RegistryBusyError(`the registry changed ${MAX_ATTEMPTS} times in a row`)
  }
}
