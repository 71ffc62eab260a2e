/** Calls between instances that coordinate or forward jobs. */
import type { CoordinatorInfo } from '../coordinator/log/election.ts'
import type { CallerCall, CoordinatorAnswer } from '../entry/callerCall.ts'
import type { DesiredStateSummary } from '../jobs/desiredState.ts'
import type { RelayAnswer, RelayBatch } from '../relay/relayMessages.ts'
import type { RelayCandidate } from '../relay/selectRelays.ts'
import type { AdviceQuestion, AllowedTarget } from './placementAdvisor.ts'

export interface InstanceReport {
  readonly instance: string
  readonly address: string
  readonly region: string
  /** `peersDigest` of the last answer that contained the known instances; empty if there was none. */
  readonly peersDigest: string
  /** Number of processors that the instance may use. */
  readonly processors: number
  /** Whether the instance reaches the store, and so could be elected coordinator. */
  readonly reachesStore: boolean
}

export interface ReportAnswer {
  readonly coordinator?: CoordinatorInfo
  readonly desiredState: DesiredStateSummary
  /** Addresses of the instances that the callee knows; absent if they are those of the reported digest. */
  readonly peers?: readonly string[]
  /** Largest instances of each region, which can relay the orders of a new coordinator; sent with `peers`. */
  readonly relayCandidates?: readonly RelayCandidate[]
  /** Identifies `peers` and `relayCandidates`. */
  readonly peersDigest: string
  /** Largest processor count known to the callee among the instances that could become coordinator. */
  readonly largestProcessors: number
}

export interface CoordinatorPeer {
  /**
   * Returns the answers in the order of the calls. `fence` identifies the term of the coordinator for which the calls
   * are meant; a later coordinator does not execute them. A slow call is answered with `underway` so that it does not
   * delay the others.
   */
  handleAll (fence: number, calls: readonly CallerCall[]): Promise<readonly CoordinatorAnswer[]>
  report (report: InstanceReport): Promise<ReportAnswer>
  /** Ends an election lease on behalf of a coordinator that cannot reach the store; resolves with false if the store did not accept the call. */
  release (lease: number): Promise<boolean>
  /** Returns whether the peer can reach the store. */
  reachesStore (): Promise<boolean>
  advise (question: AdviceQuestion): Promise<readonly AllowedTarget[]>
  /** Executes orders of the coordinator to targets, and returns outcomes of these and of earlier ones. */
  relay (batch: RelayBatch): Promise<RelayAnswer>
  /** Makes the election of a coordinator known to an instance that may not reach the store. */
  announce (coordinator: CoordinatorInfo): Promise<void>
}

export interface CoordinatorPeers {
  connect (address: string): CoordinatorPeer
}
