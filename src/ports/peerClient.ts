/** Calls from one entry instance to another. A rejected call may have had an effect unless its doc says otherwise. */
import type { Change, ConfigurationSnapshot } from '../model/change.ts'
import type { DigestUpdate, ExchangeSender } from '../model/digest.ts'
import type { RefusalCode } from '../model/errors.ts'
import type { InstanceRef } from '../model/identity.ts'
import type { WorkRequest } from '../model/request.ts'
import type { Resources } from '../model/resources.ts'
import type { Verdict } from '../model/verdict.ts'

export interface ExchangeAnswer {
  /** The callee first, then the instances about which the callee knows more than the caller, as far as the callee can tell. */
  readonly instances: readonly DigestUpdate[]
  /** To be named in the next request to the same instance. */
  readonly revision: number
  /** The callee counts the sender among the instances that may accept changes. */
  readonly acknowledged: boolean
}

export interface ForwardedRequest {
  readonly attemptId: string
  readonly team: string
  readonly request: WorkRequest
  readonly remainingMs: number
  readonly hops: number
  readonly configurationVersion: number
}

/** Events of a forwarded request, in order; the stream is whole only if it closes after `end` or `refused`. */
export type RunEvent =
  | { readonly type: 'accepted', readonly owner: InstanceRef }
  | { readonly type: 'head', readonly target: string, readonly contentType: string }
  | { readonly type: 'chunk', readonly bytes: Uint8Array }
  | { readonly type: 'end', readonly byteCount: number }
  | {
    readonly type: 'refused',
    readonly code: RefusalCode,
    readonly message: string,
    readonly verdict: Verdict,
    readonly claimed: boolean,
    readonly retryable: boolean
  }

/** What an instance knows of one attempt at a request. */
export interface RequestStatus {
  readonly instance: string
  readonly state: 'queued' | 'claiming' | 'running'
  readonly attemptId: string
  /** Empty until the attempt is placed. */
  readonly target: string
}

export interface ClaimEntry {
  /** Hash of team and request identity. */
  readonly identity: string
  /** The attempt that claims; the same holder may ask again. */
  readonly holder: string
}

export type ClaimOutcome = 'claimed' | 'duplicate' | 'unavailable'

export type FetchedChanges =
  | { readonly type: 'changes', readonly changes: readonly Change[] }
  | { readonly type: 'snapshot', readonly snapshot: ConfigurationSnapshot }

export interface PeerClient {
  exchange (address: string, sender: ExchangeSender, registering: boolean, signal?: AbortSignal): Promise<ExchangeAnswer>
  run (address: string, forwarded: ForwardedRequest, signal?: AbortSignal): AsyncIterable<RunEvent>
  cancel (address: string, team: string, requestId: string, attemptId: string, signal?: AbortSignal): Promise<boolean>
  find (address: string, team: string, requestId: string, signal?: AbortSignal): Promise<readonly RequestStatus[]>
  fetchChanges (address: string, afterVersion: number, signal?: AbortSignal): Promise<FetchedChanges>
  /** Resolves with what was given, which is already in the store's record. */
  transferAllotment (address: string, receiver: InstanceRef, team: string, wanted: Resources, signal?: AbortSignal): Promise<Resources>
  claim (address: string, entries: readonly ClaimEntry[], signal?: AbortSignal): Promise<readonly ClaimOutcome[]>
  handOver (address: string, from: InstanceRef, dataCentre: string, targets: readonly string[], signal?: AbortSignal): Promise<void>
}

/** The callee's side of the calls above; implemented by the composition of an instance. */
export interface PeerHandler {
  exchange (sender: ExchangeSender, registering: boolean): Promise<ExchangeAnswer>
  run (forwarded: ForwardedRequest, signal: AbortSignal): AsyncIterable<RunEvent>
  cancel (team: string, requestId: string, attemptId: string): Promise<boolean>
  find (team: string, requestId: string): Promise<readonly RequestStatus[]>
  fetchChanges (afterVersion: number): Promise<FetchedChanges>
  transferAllotment (receiver: InstanceRef, team: string, wanted: Resources): Promise<Resources>
  claim (entries: readonly ClaimEntry[]): Promise<readonly ClaimOutcome[]>
  handOver (from: InstanceRef, dataCentre: string, targets: readonly string[]): Promise<void>
}
