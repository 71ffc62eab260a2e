/** This instance's view of all instances, from exchanges and from the platform's instance list. */
import { ListPresence } from '../configuration/listPresence.ts'
import type { ExchangeSender, InstanceDigest, KnownAnswer, NamedUpdate } from '../model/digest.ts'
import { incarnationKey, sameInstance } from '../model/identity.ts'
import type { IncarnationKey, InstanceRef } from '../model/identity.ts'
import type { Clock } from '../ports/clock.ts'
import type { ListedInstance } from '../ports/instanceList.ts'
import type { ExchangeAnswer } from '../ports/peerClient.ts'
import { createKnownInstance, createUpdateFor, mergeUpdate, toDigest } from './knownInstance.ts'
import type { UpdateSource, KnownInstance } from './knownInstance.ts'
import { OwnLoad } from './ownLoad.ts'

/** An instance of the same data centre is suspected after this long without a heartbeat, direct or relayed. */
export const SUSPICION_TIMEOUT_MS = 4_000

/** Longer than for local instances, since exchanges with remote instances rotate and heartbeats arrive less often. */
export const REMOTE_SUSPICION_TIMEOUT_MS = 30_000

/** A longer gap between updates of the own digest means that this process was paused and received no heartbeats. */
const PAUSE_THRESHOLD_MS = 3_000

/** Time without a heartbeat after which an instance is removed. */
const RETENTION_MS = 600_000
/** Time without a heartbeat after which an instance is no longer relayed. */
const RELAY_MAX_AGE_MS = 60_000

/**
 * Minimum interval, per known instance above ten, at which an instance publishes its load and at which one data centre
 * fetches the load of another: every exchange at 7 instances, every 3.15 s at 31. Preemption acts on the published
 * loads every second, so small clusters, where the traffic is low, have no such interval.
 */
const LOAD_INTERVAL_PER_INSTANCE_MS = 150
const INSTANCES_WITHOUT_LOAD_INTERVAL = 10
const MAX_LOAD_INTERVAL_MS = 5_000

/** Current view of one instance; the ages in the digest are computed at the time of the call. */
export interface Member {
  readonly digest: InstanceDigest
  /** The list marks the instance as leaving. */
  readonly leaving: boolean
  /** The list no longer contains the instance. */
  readonly gone: boolean
}

export interface MembershipOptions {
  readonly clock: Clock
  readonly self: InstanceRef
  readonly dataCentre: string
}

/**
 * Holds the digests of all instances; ages are counted from the time at which the request that fetched them was sent.
 *
 * @example
 * table.merge(decoder.decode(address, known, answer), requestedAt)
 * table.inDataCentre('attica-a').map(member => member.digest.ref.name)
 */
export class MembershipTable {
  readonly #options: MembershipOptions
  readonly #knownInstances = new Map<IncarnationKey, KnownInstance>()
  readonly #presence = new ListPresence()
  #leaving: ReadonlySet<string> = new Set()
  readonly #ownLoad = new OwnLoad()
  #ownDigest: InstanceDigest | undefined
  #ownDigestAt = -Infinity
  /** Incremented with each change of the table, so that answers can omit what a caller has. */
  #revision = 1
  /** Time of the last change of capacity or teams in this table, by data centre. */
  readonly #loadChangedAt = new Map<string, number>()
  /** Next handle; handles are never reused, and 0 stands for this instance. */
  #nextHandle = 1
  /** Start of the process or end of its latest pause; silence before that does not count towards suspicion. */
  #listeningSince: number

  constructor (options: MembershipOptions) {
    this.#options = options
    this.#listeningSince = options.clock.monotonicMs()
  }

  /** Sets the own digest. Must be called in each round of exchanges, since longer gaps count as a pause of the process. */
  setOwnDigest (digest: InstanceDigest): void {
    const now = this.#now()
    if (now - this.#ownDigestAt > PAUSE_THRESHOLD_MS) this.#listeningSince = now
    this.#ownDigest = { ...digest, heardAge: 0 }
    this.#ownDigestAt = now
    this.#ownLoad.update(digest, { now, teamIntervalMs: this.#loadIntervalMs() }, () => ++this.#revision)
  }

  /** Merges the entries of an answer to a request sent at the given monotonic time; the first entry is the callee's. */
  merge (updates: readonly NamedUpdate[], requestedAt: number): void {
    const callee = updates[0]
    if (callee === undefined) return
    const dataCentre = callee.place?.dataCentre ?? this.#knownInstances.get(incarnationKey(callee.ref))?.place.dataCentre
    const arrival = { requestedAt, revision: ++this.#revision, remote: dataCentre !== this.#options.dataCentre }
    for (const update of updates) this.#mergeEntry(update, arrival)
    this.#evictSilent()
  }

  /** Records a heartbeat of the sender of a request; a sender without a place is ignored unless it is known. */
  noteRequest ({ ref, state, configurationVersion, place }: ExchangeSender): void {
    const update = { handle: 0, ref, state, configurationVersion, heardAge: 0, place, teams: [] }
    this.#mergeEntry(update, { requestedAt: this.#now(), revision: ++this.#revision, remote: false })
  }

  /** Creates the entries of an answer: the own one, and what the caller lacks of instances with recent heartbeats. */
  describeFor ({ ref, place, known, unanswered, withoutLoad }: ExchangeSender): Pick<ExchangeAnswer, 'instances' | 'revision'> {
    const { dataCentre } = this.#options
    const revision = this.#revisionOf(known)
    if (this.#ownDigest === undefined) return { instances: [], revision }
    const now = this.#now()
    const caller = {
      revision, dataCentre: place?.dataCentre ?? this.#knownInstances.get(incarnationKey(ref))?.place.dataCentre, unanswered: new Set(unanswered), withoutLoad
    }
    const others = [...this.#knownInstances.values()].filter(other =>
      !sameInstance(other.ref, ref) && now - other.heardAt <= RELAY_MAX_AGE_MS && this.#presence.goneSince(other.ref) === undefined)
    const instances = [
      this.#ownLoad.createUpdate(this.#ownDigest, revision, withoutLoad),
      ...others.flatMap(other => createUpdateFor(other, dataCentre, caller, now) ?? [])
    ]
    // An answer without load does not advance the revision, since the caller still lacks the load that was left out.
    return { instances, revision: withoutLoad ? revision : this.#revision }
  }

  /** Whether this table received load from the remote data centre of the address within the current load interval. */
  hasRecentLoadOf (peerAddress: string): boolean {
    const dataCentre = [...this.#knownInstances.values()].find(({ place }) => place.peerAddress === peerAddress)?.place.dataCentre
    if (dataCentre === undefined || dataCentre === this.#options.dataCentre) return false
    return this.#now() - (this.#loadChangedAt.get(dataCentre) ?? -Infinity) < this.#loadIntervalMs()
  }

  /** Merges a snapshot of the list whose read started at the given monotonic time. */
  mergeList (instances: readonly ListedInstance[], readStartedAt: number): void {
    this.#presence.observe(instances, readStartedAt)
    this.#leaving = new Set(instances.filter(instance => instance.leaving).map(instance => instance.name))
  }

  /** The own digest, and those of other instances with recent heartbeats. */
  digests (): readonly InstanceDigest[] {
    const others = this.#members().filter(({ digest, gone }) => !gone && digest.heardAge <= RELAY_MAX_AGE_MS)
    return [...this.#ownDigest === undefined ? [] : [this.#ownDigest], ...others.map(member => member.digest)]
  }

  /** All instances that are neither gone nor suspected; this instance comes first. */
  live (): readonly Member[] {
    const own = this.#ownMember()
    const others = this.#members().filter(({ digest, gone }) => !gone && !this.isSuspected(digest.ref))
    return own === undefined ? others : [own, ...others]
  }

  inDataCentre (dataCentre: string): readonly Member[] {
    return this.live().filter(({ digest }) => digest.dataCentre === dataCentre)
  }

  /** All known instances that may still run, including suspected ones, without this instance. */
  others (): readonly Member[] {
    return this.#members().filter(member => !member.gone)
  }

  /** Whether the time without a heartbeat exceeds the suspicion time-out although this process was not paused. */
  isSuspected (ref: InstanceRef): boolean {
    if (sameInstance(ref, this.#options.self)) return false
    const now = this.#now()
    if (now - this.#ownDigestAt > PAUSE_THRESHOLD_MS) return false
    const known = this.#knownInstances.get(incarnationKey(ref))
    const isRemote = known !== undefined && known.place.dataCentre !== this.#options.dataCentre
    const silence = now - Math.max(known?.heardAt ?? -Infinity, this.#listeningSince)
    return silence >= (isRemote ? REMOTE_SUSPICION_TIMEOUT_MS : SUSPICION_TIMEOUT_MS)
  }

  find (ref: InstanceRef): Member | undefined {
    if (sameInstance(ref, this.#options.self)) return this.#ownMember()
    const known = this.#knownInstances.get(incarnationKey(ref))
    return known === undefined ? undefined : this.#toMember(known)
  }

  #now (): number {
    return this.#options.clock.monotonicMs()
  }

  #loadIntervalMs (): number {
    const excess = Math.max(0, this.#knownInstances.size + 1 - INSTANCES_WITHOUT_LOAD_INTERVAL)
    return Math.min(MAX_LOAD_INTERVAL_MS, excess * LOAD_INTERVAL_PER_INSTANCE_MS)
  }

  #revisionOf (known: KnownAnswer | undefined): number {
    return known?.incarnation === this.#options.self.incarnation ? known.revision : 0
  }

  #mergeEntry (update: NamedUpdate, arrival: UpdateSource): void {
    const { ref, place } = update
    if (sameInstance(ref, this.#options.self)) return
    const key = incarnationKey(ref)
    const old = this.#knownInstances.get(key) ?? (place && createKnownInstance(this.#nextHandle++, ref, place, arrival.revision))
    if (old === undefined) return
    const merged = mergeUpdate(old, update, arrival)
    if (merged.load !== old.load || merged.teams !== old.teams) this.#loadChangedAt.set(merged.place.dataCentre, this.#now())
    this.#knownInstances.set(key, merged)
    this.#presence.track(ref, merged.heardAt)
  }

  #evictSilent (): void {
    const now = this.#now()
    for (const [key, { ref, heardAt }] of this.#knownInstances) {
      if (now - heardAt <= RETENTION_MS) continue
      this.#knownInstances.delete(key)
      this.#presence.forget(ref)
    }
  }

  #ownMember (): Member | undefined {
    if (this.#ownDigest === undefined) return
    return { digest: this.#ownDigest, leaving: this.#leaving.has(this.#ownDigest.ref.name), gone: false }
  }

  #members (): readonly Member[] {
    return [...this.#knownInstances.values()].map(known => this.#toMember(known))
  }

  #toMember (known: KnownInstance): Member {
    return {
      digest: toDigest(known, this.#now()),
      leaving: this.#leaving.has(known.ref.name),
      gone: this.#presence.goneSince(known.ref) !== undefined
    }
  }
}
