/** Calls between instances about jobs. */
import type { CoordinatorInfo } from '../coordinator/election.ts'
import type { CallerCall, CoordinatorAnswer } from '../entry/callerCall.ts'
import type { VersionedText } from '../jobs/desiredState.ts'
import type { AdviceQuestion, AllowedTarget } from './placementAdvisor.ts'

export interface InstanceReport {
  readonly instance: string
  readonly address: string
  readonly region: string
  readonly desiredStateVersion: number
  /** Processors that the instance may use. */
  readonly processors: number
  /** The instance could be elected. */
  readonly reachesStore: boolean
}

export interface ReportAnswer {
  readonly coordinator?: CoordinatorInfo
  /** Set if the callee's is newer. */
  readonly desiredState?: VersionedText
  readonly peers: readonly string[]
  /** Most processors of an instance that could coordinate, as far as the callee knows. */
  readonly largestProcessors: number
}

export interface CoordinatorPeer {
  /**
   * Returns the answers in the order of the calls. `fence` is that of the coordinator whom they are meant for: a later
   * one does not carry them out. What takes long is answered as `underway`, so that it does not hold up the others.
   */
  handleAll (fence: number, calls: readonly CallerCall[]): Promise<readonly CoordinatorAnswer[]>
  report (report: InstanceReport): Promise<ReportAnswer>
  /** Ends the lease of an election for a coordinator that can not reach the store; false if the store did not take it. */
  release (lease: number): Promise<boolean>
  /** Whether the store answers there. */
  reachesStore (): Promise<boolean>
  advise (question: AdviceQuestion): Promise<readonly AllowedTarget[]>
}

export interface CoordinatorPeers {
  connect (address: string): CoordinatorPeer
}
