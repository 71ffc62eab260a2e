/** What callers, operators and targets of a simulated cell saw; the checker's only source. */
import type { StandInTarget } from '../../src/adapters/target/standInTarget.ts'
import type { KindName } from '../../src/model/request.ts'
import type { Verdict } from '../../src/model/verdict.ts'
import type { ChangeAnswer, ChangeSubmission } from '../../src/observability/operatorApi.ts'

export type Outcome =
  | { readonly type: 'open' }
  | { readonly type: 'answered', readonly body: string, readonly announcedBytes: number }
  | { readonly type: 'refused', readonly verdict: Verdict, readonly code: string, readonly message: string }
  /** The connection broke: the caller knows nothing. */
  | { readonly type: 'reset', readonly reason: string }

/** One request as its caller saw it; times by the wall clock. */
export interface CallerRecord {
  readonly requestId: string
  readonly team: string
  readonly kind: KindName
  readonly key?: string
  readonly tasks: number
  readonly repeatable: boolean
  readonly instance: string
  readonly submittedAt: number
  outcome: Outcome
  endedAt?: number
}

export interface ChangeRecord {
  readonly submission: ChangeSubmission
  readonly instance: string
  readonly submittedAt: number
  answer?: ChangeAnswer
  answeredAt?: number
}

/** The version in force at one process; `reachable` says whether it has been in contact with all others long enough to learn of changes. */
export interface VersionSample {
  readonly at: number
  readonly process: string
  readonly version: number
  readonly reachable: boolean
}

export interface LimitRecord {
  readonly team: string
  readonly slots: number
  /** From when an instance may go by the limit, and from when all that are reachable must. */
  readonly since: number
  acceptedAt?: number
}

export interface Observations {
  readonly targets: readonly StandInTarget[]
  readonly callers: CallerRecord[]
  readonly changes: ChangeRecord[]
  readonly versions: VersionSample[]
  readonly limits: LimitRecord[]
  /** Keys that never worked, with time zero, and withdrawn ones with the time of the operator's answer. */
  readonly withdrawnKeys: Map<string, number>
  /** Since when a target must be known to be leaving, by target. */
  readonly leavingTargets: Map<string, number>
  /** No fault happened that can cut a request off: planned stops must not. */
  faultsPreserveOpenRequests: boolean
  /** Change identities in the log at the end. */
  finalChangeIds: readonly string[]
  /** What was not served or not owned after the faults had ended. */
  readonly notRecovered: string[]
}
