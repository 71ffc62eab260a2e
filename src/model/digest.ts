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
