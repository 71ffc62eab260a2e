/** The state that instances exchange about themselves and about the other instances they know. */
import type { InstanceRef } from './identity.ts'
import type { Resources } from './resources.ts'

export type InstanceState = 'starting' | 'serving' | 'draining'

export interface TeamDigest {
  readonly team: string
  readonly used: Resources
  /** Part of the instance's allotment that it could transfer to another instance now. */
  readonly spare: Resources
  readonly queued: number
}

/** Location and address of an instance; constant for an incarnation. */
export interface Place {
  readonly dataCentre: string
  readonly region: string
  readonly peerAddress: string
}

/** Free capacity of an instance. The instance itself increments the version with each change. */
export interface Load {
  readonly version: number
  readonly free: Resources
  readonly largestFree: Resources
  readonly queued: number
}

export interface TeamLoad extends TeamDigest {
  /** Load version of the instance in which this entry last changed. */
  readonly version: number
}

/** State of an instance, as described by itself or by another instance. Ages are in milliseconds at the time of the answer. */
export interface InstanceDigest {
  readonly ref: InstanceRef
  readonly dataCentre: string
  readonly region: string
  readonly peerAddress: string
  readonly state: InstanceState
  readonly configurationVersion: number
  /** Time since the instance was last known to be in this state, as far as the describing instance knows. */
  readonly heardAge: number
  /** Time since the latest store read, by the instance or a peer, that is known to have found no newer change; undefined if there was none. */
  readonly storeReadAge?: number
  /** Time since the instance stated that it had no pending change at this version; undefined while one is pending. */
  readonly quietAge?: number
  readonly free: Resources
  readonly largestFree: Resources
  readonly queued: number
  readonly teams: readonly TeamDigest[]
}

/** One entry of an exchange answer; omits what the receiver already has from earlier answers of the same instance. */
export interface DigestUpdate {
  /** Short identifier that replaces `ref` in later answers of the same callee. */
  readonly handle: number
  readonly ref?: InstanceRef
  readonly state: InstanceState
  readonly configurationVersion: number
  readonly heardAge: number
  readonly storeReadAge?: number
  readonly quietAge?: number
  readonly place?: Place
  readonly load?: Load
  /** The teams whose entries changed; a team with only zero amounts no longer uses or queues anything. */
  readonly teams: readonly TeamLoad[]
}

/** An update whose instance has been resolved. */
export type NamedUpdate = DigestUpdate & { readonly ref: InstanceRef }

/** Identifies the last answer that a caller received from an instance. */
export interface KnownAnswer {
  readonly incarnation: string
  readonly revision: number
}

/** The caller's own state in an exchange. It carries no ages, because the request may be in transit for a long time. */
export interface ExchangeSender {
  readonly ref: InstanceRef
  readonly state: InstanceState
  readonly configurationVersion: number
  /** Omitted once the callee has it. */
  readonly place?: Place
  readonly known?: KnownAnswer
  /** Names of the instances with which the sender's latest exchange failed; the callee relays their state as it last received it. */
  readonly unanswered: readonly string[]
  /** Whether the callee may omit capacity and teams, because the sender received them from another instance in the callee's data centre. */
  readonly withoutLoad: boolean
}
