/** Calls between instances about jobs. */
import type { CoordinatorInfo } from '../coordinator/election.ts'
import type { CallerAnswer, CallerCall } from '../entry/callerCall.ts'
import type { VersionedText } from '../jobs/desiredState.ts'
import type { AdviceQuestion, AllowedTarget } from './placementAdvisor.ts'

export interface InstanceReport {
  readonly instance: string
  readonly address: string
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
  /** Returns the answers in the order of the calls. */
  handleAll (calls: readonly CallerCall[]): Promise<readonly CallerAnswer[]>
  report (report: InstanceReport): Promise<ReportAnswer>
  /** Ends the lease of an election for a coordinator that can not reach the store; false if the store did not take it. */
  release (lease: number): Promise<boolean>
  advise (question: AdviceQuestion): Promise<readonly AllowedTarget[]>
}

export interface CoordinatorPeers {
  connect (address: string): CoordinatorPeer
}
