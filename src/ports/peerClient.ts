/** Calls between entry instances. A call that rejects may still have taken effect unless its documentation says otherwise. */
import type { Change, ConfigurationSnapshot } from '../model/change.ts'
import type { DigestUpdate, ExchangeSender } from '../model/digest.ts'
import type { RefusalCode } from '../model/errors.ts'
import type { InstanceRef } from '../model/identity.ts'
import type { WorkRequest } from '../model/request.ts'
import type { Resources } from '../model/resources.ts'
import type { Verdict } from '../model/verdict.ts'

export interface ExchangeAnswer {
  /** The callee, followed by the instances about which it appears to have newer information than the caller. */
  readonly instances: readonly DigestUpdate[]
  /** The caller sends this revision in its next request to the same instance. */
  readonly revision: number
  /** Whether the callee counts the sender among the instances that may accept changes. */
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

/** Events of a forwarded request, in order; the stream is complete only if it closes after `end` or `refused`. */
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

/** State of one attempt at a request on an instance. */
export interface RequestStatus {
  readonly instance: string
  readonly state: 'queued' | 'claiming' | 'running'
  readonly attemptId: string
  /** Empty until the attempt is placed. */
  readonly target: string
}

export interface ClaimEntry {
  /** Hash of the team and the request id. */
  readonly identity: string
  /** The claiming attempt; the same holder may repeat its claim. */
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
  /** Resolves with the amount transferred, which has already been recorded in the store. */
  transferAllotment (address: string, receiver: InstanceRef, team: string, wanted: Resources, signal?: AbortSignal): Promise<Resources>
  claim (address: string, entries: readonly ClaimEntry[], signal?: AbortSignal): Promise<readonly ClaimOutcome[]>
  handOver (address: string, from: InstanceRef, dataCentre: string, targets: readonly string[], signal?: AbortSignal): Promise<void>
}

/** Handles the calls above on the callee; implemented where an instance is composed. */
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
