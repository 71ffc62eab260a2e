/** What this instance knows about all instances, from exchanges and from the platform's list. */
import { ListPresence } from '../configuration/listPresence.ts'
import type { InstanceDigest } from '../model/digest.ts'
import { incarnationKey, sameInstance } from '../model/identity.ts'
import type { IncarnationKey, InstanceRef } from '../model/identity.ts'
import type { Clock } from '../ports/clock.ts'
import type { ListedInstance } from '../ports/instanceList.ts'

/** Without a heartbeat, direct or relayed, for this long an instance of the own data centre is suspected. */
export const SUSPICION_MS = 4_000

/** Remote instances are heard in rotation only, so their heartbeats arrive less often. */
export const REMOTE_SUSPICION_MS = 30_000

/** A longer gap between own digests means that this process was paused and could not hear anybody. */
const OWN_PAUSE_MS = 3_000

/** Silent instances are neither relayed nor kept for longer than this. */
const RETENTION_MS = 600_000
const RELAYED_MS = 60_000

/** One instance as known now; the ages in the digest are those of the time of the call. */
export interface Member {
  readonly digest: InstanceDigest
  /** The list says that it is about to leave. */
  readonly leaving: boolean
  /** The list no longer shows it. */
  readonly gone: boolean
}

interface Known {
  readonly digest: InstanceDigest
  readonly heardAt: number
  readonly storeReadAt: number
  readonly quietAt: number
}

export interface MembershipOptions {
  readonly clock: Clock
  readonly self: InstanceRef
  readonly dataCentre: string
}

function toTime (now: number, age: number | undefined): number {
  return age === undefined || !(age >= 0) ? -Infinity : now - age
}

function toAge (now: number, at: number): number | undefined {
  return at === -Infinity ? undefined : Math.max(0, now - at)
}

/** Combines two descriptions; the times are those of true statements, so the newest one of each holds. */
function combine (old: Known, heard: Known): Known {
  const newer = heard.heardAt >= old.heardAt ? heard : old
  const configurationVersion = Math.max(old.digest.configurationVersion, heard.digest.configurationVersion)
  return {
    digest: { ...newer.digest, configurationVersion },
    heardAt: newer.heardAt,
    storeReadAt: Math.max(old.storeReadAt, heard.storeReadAt),
    quietAt: Math.max(old.quietAt, heard.quietAt)
  }
}

/**
 * Digests of all instances with ages counted from the sending of the request that brought them.
 *
 * @example
 * table.merge(answer.instances, requestedAt)
 * table.inDataCentre('attica-a').map(member => member.digest.ref.name)
 */
export class MembershipTable {
  readonly #options: MembershipOptions
  readonly #known = new Map<IncarnationKey, Known>()
  readonly #presence = new ListPresence()
  #leaving: ReadonlySet<string> = new Set()
  #own: InstanceDigest | undefined
  #ownAt = -Infinity
  /** Suspicion is counted from here at the earliest: the start, or the end of the latest pause. */
  #listeningSince: number

  constructor (options: MembershipOptions) {
    this.#options = options
    this.#listeningSince = options.clock.monotonicMs()
  }

  /** Sets the own digest; to be called at each round of exchanges, also as a sign that this process is not paused. */
  setOwnDigest (digest: InstanceDigest): void {
    const now = this.#now()
    if (now - this.#ownAt > OWN_PAUSE_MS) this.#listeningSince = now
    this.#own = { ...digest, heardAge: 0 }
    this.#ownAt = now
  }

  /** Merges the digests of an answer to a request sent at the given monotonic time. */
  merge (digests: readonly InstanceDigest[], requestedAt: number): void {
    for (const digest of digests) {
      const { heardAge, storeReadAge, quietAge } = digest
      this.#add({
        digest,
        heardAt: requestedAt - Math.max(0, heardAge),
        storeReadAt: toTime(requestedAt, storeReadAge),
        quietAt: toTime(requestedAt, quietAge)
      })
    }
    this.#dropSilent()
  }

  /** Notes the sender of a request. Its ages are not used: the request may have been under way for long. */
  noteRequest (sender: InstanceDigest): void {
    this.#add({ digest: sender, heardAt: this.#now(), storeReadAt: -Infinity, quietAt: -Infinity })
  }

  /** Merges a reading of the list that started at the given monotonic time. */
  mergeList (instances: readonly ListedInstance[], readStartedAt: number): void {
    this.#presence.observe(instances, readStartedAt)
    this.#leaving = new Set(instances.filter(instance => instance.leaving).map(instance => instance.name))
  }

  /** The own digest and those of the others that were heard lately, for an answer. */
  digests (): readonly InstanceDigest[] {
    const others = this.#members().filter(({ digest, gone }) => !gone && digest.heardAge <= RELAYED_MS)
    return [...this.#own === undefined ? [] : [this.#own], ...others.map(member => member.digest)]
  }

  /** Every instance that is neither gone nor suspected; this instance first. */
  live (): readonly Member[] {
    const own = this.#ownMember()
    const others = this.#members().filter(({ digest, gone }) => !gone && !this.isSuspected(digest.ref))
    return own === undefined ? others : [own, ...others]
  }

  inDataCentre (dataCentre: string): readonly Member[] {
    return this.live().filter(({ digest }) => digest.dataCentre === dataCentre)
  }

  /** Every instance heard of that may still run, suspected ones included; without this instance. */
  others (): readonly Member[] {
    return this.#members().filter(member => !member.gone)
  }

  /** No heartbeat arrived for too long although this process was listening. */
  isSuspected (ref: InstanceRef): boolean {
    if (sameInstance(ref, this.#options.self)) return false
    const now = this.#now()
    if (now - this.#ownAt > OWN_PAUSE_MS) return false
    const known = this.#known.get(incarnationKey(ref))
    const isRemote = known !== undefined && known.digest.dataCentre !== this.#options.dataCentre
    const silence = now - Math.max(known?.heardAt ?? -Infinity, this.#listeningSince)
    return silence >= (isRemote ? REMOTE_SUSPICION_MS : SUSPICION_MS)
  }

  find (ref: InstanceRef): Member | undefined {
    if (sameInstance(ref, this.#options.self)) return this.#ownMember()
    const known = this.#known.get(incarnationKey(ref))
    return known === undefined ? undefined : this.#describe(known)
  }

  #now (): number {
    return this.#options.clock.monotonicMs()
  }

  #add (heard: Known): void {
    const { ref } = heard.digest
    if (sameInstance(ref, this.#options.self)) return
    const key = incarnationKey(ref)
    const old = this.#known.get(key)
    this.#known.set(key, old === undefined ? heard : combine(old, heard))
    this.#presence.track(ref)
  }

  #dropSilent (): void {
    const now = this.#now()
    for (const [key, { digest, heardAt }] of this.#known) {
      if (now - heardAt <= RETENTION_MS) continue
      this.#known.delete(key)
      this.#presence.forget(digest.ref)
    }
  }

  #ownMember (): Member | undefined {
    if (this.#own === undefined) return
    return { digest: this.#own, leaving: this.#leaving.has(this.#own.ref.name), gone: false }
  }

  #members (): readonly Member[] {
    return [...this.#known.values()].map(known => this.#describe(known))
  }

  #describe ({ digest, heardAt, storeReadAt, quietAt }: Known): Member {
    const now = this.#now()
    return {
      digest: {
        ...digest,
        heardAge: Math.max(0, now - heardAt),
        storeReadAge: toAge(now, storeReadAt),
        quietAge: toAge(now, quietAt)
      },
      leaving: this.#leaving.has(digest.ref.name),
      gone: this.#presence.goneSince(digest.ref) !== undefined
    }
  }
}
