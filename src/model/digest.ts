/** What instances tell each other about themselves and the others they know. */
import type { InstanceRef } from './identity.ts'
import type { Resources } from './resources.ts'

export type InstanceState = 'starting' | 'serving' | 'draining'

export interface TeamDigest {
  readonly team: string
  readonly used: Resources
  /** Allotment that the instance could give away now. */
  readonly spare: Resources
  readonly queued: number
}

/** Where an instance is; it does not change. */
export interface Place {
  readonly dataCentre: string
  readonly region: string
  readonly peerAddress: string
}

/** Capacity of an instance; versions are counted by the instance itself and rise with each change. */
export interface Load {
  readonly version: number
  readonly free: Resources
  readonly largestFree: Resources
  readonly queued: number
}

export interface TeamLoad extends TeamDigest {
  /** Version of the instance's load in which this entry changed. */
  readonly version: number
}

/** One instance as described by itself or by another one; ages in milliseconds at the time of the answer. */
export interface InstanceDigest {
  readonly ref: InstanceRef
  readonly dataCentre: string
  readonly region: string
  readonly peerAddress: string
  readonly state: InstanceState
  readonly configurationVersion: number
  /** Since the instance had this state, as far as the describing instance knows. */
  readonly heardAge: number
  /** Since the latest store read known to it, its own or a peer's, that found no newer change; undefined if there was none. */
  readonly storeReadAge?: number
  /** Since it stated to have no pending change at this version; undefined while one is pending. */
  readonly quietAge?: number
  readonly free: Resources
  readonly largestFree: Resources
  readonly queued: number
  readonly teams: readonly TeamDigest[]
}

/** One entry of an answer; what the receiver has from earlier answers of the same instance is left out. */
export interface DigestUpdate {
  /** Stands for the instance in later answers of the same callee. */
  readonly handle: number
  readonly ref?: InstanceRef
  readonly state: InstanceState
  readonly configurationVersion: number
  readonly heardAge: number
  readonly storeReadAge?: number
  readonly quietAge?: number
  readonly place?: Place
  readonly load?: Load
  /** The teams that changed; one without amounts has nothing left. */
  readonly teams: readonly TeamLoad[]
}

/** An entry whose instance is known. */
export type NamedUpdate = DigestUpdate & { readonly ref: InstanceRef }

/** The last answer that a caller has from an instance. */
export interface KnownAnswer {
  readonly incarnation: string
  readonly revision: number
}

/** What the caller of an exchange says about itself. Ages are missing: the request may be under way for long. */
export interface ExchangeSender {
  readonly ref: InstanceRef
  readonly state: InstanceState
  readonly configurationVersion: number
  /** Left out once the callee has it. */
  readonly place?: Place
  readonly known?: KnownAnswer
  /** Names of instances whose latest exchange failed; the callee relays what it heard of them. */
  readonly unanswered: readonly string[]
  /** Capacity and teams may be left out, since they came from another instance of the callee's data centre. */
  readonly withoutLoad: boolean
}
