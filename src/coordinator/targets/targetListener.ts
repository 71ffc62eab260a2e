/** The events that a target session reports to the coordinator. */
import type { FinishedRun, StartRefusal } from '../../ports/jobTarget.ts'
import type { Assignment } from './assignment.ts'
import type { Outage } from './crashEvidence.ts'
import type { ComputeResources } from '../placement/placeStep.ts'
import type { TargetSession } from './targetSession.ts'

export type IncarnationEndReason = 'restarted' | 'lease-lapsed'

/** Receives the events that a target session derives from reports. */
export interface TargetListener {
  /** A run end that was not reported before; resolves when it is stored. */
  runEnded (session: TargetSession, run: FinishedRun, assignment: Assignment | undefined): Promise<void>
  /** The run has certainly stopped, and its outcome is unknown. */
  runLost (session: TargetSession, assignment: Assignment, reason: string): void
  /** The incarnation will not execute the start of the run, whose resources are free; a later incarnation may. */
  runHeld (session: TargetSession, assignment: Assignment): void
  startRefused (session: TargetSession, assignment: Assignment, refusal: StartRefusal): void
  startConfirmed (session: TargetSession, assignment: Assignment): void
  /** The incarnation has certainly begun the run, so that its start is not in transit any more. */
  runBegun (assignment: Assignment): void
  /** A start request was not answered, and the run is being stopped because the target does not report it. */
  startUnanswered (session: TargetSession, assignment: Assignment): void
  /** The target has reported as the incarnation of the session; called before `joined`. */
  reported (session: TargetSession): void
  joined (session: TargetSession): void
  /** The target has restarted without a planned shutdown. Its runs are reported as lost once this has resolved; it never rejects. */
  targetCrashed (session: TargetSession, outage: Outage, runs: readonly Assignment[]): Promise<void>
  incarnationEnded (session: TargetSession, reason: IncarnationEndReason): void
  fenced (session: TargetSession): void
  stateChanged (): void
  /** Resources that a run of the task holds; undefined if the task is not known. */
  sizeOfRun (task: string): ComputeResources | undefined
}
