/** Observations of the callers, operators and targets of a simulated cell; the checker uses nothing else. */
import type { StandInTarget } from '../../src/adapters/target/standInTarget.ts'
import type { KindName } from '../../src/model/request.ts'
import type { Verdict } from '../../src/model/verdict.ts'
import type { ChangeAnswer, ChangeSubmission } from '../../src/observability/operatorApi.ts'

export type Outcome =
  | { readonly type: 'open' }
  | { readonly type: 'answered', readonly body: string, readonly announcedBytes: number }
  | { readonly type: 'refused', readonly verdict: Verdict, readonly code: string, readonly message: string }
  /** The connection broke, so the outcome is unknown to the caller. */
  | { readonly type: 'reset', readonly reason: string }

/** One request as observed by its caller; times are wall-clock times. */
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

/** Configuration version in force at one process; `reachable` tells whether it has been in contact with all others for long enough to learn of changes. */
export interface VersionSample {
  readonly at: number
  readonly process: string
  readonly version: number
  readonly reachable: boolean
}

export interface LimitRecord {
  readonly team: string
  readonly slots: number
  /** `since`: time from which an instance may apply the limit; `acceptedAt`: time from which all reachable instances must. */
  readonly since: number
  acceptedAt?: number
}

export interface Observations {
  readonly targets: readonly StandInTarget[]
  readonly callers: CallerRecord[]
  readonly changes: ChangeRecord[]
  readonly versions: VersionSample[]
  readonly limits: LimitRecord[]
  /** Keys that were never valid, with -Infinity, and withdrawn keys, with the time of the operator's answer. */
  readonly withdrawnKeys: Map<string, number>
  /** Time from which each leaving target must be known to be leaving, by target id. */
  readonly leavingTargets: Map<string, number>
  /** No injected fault can cut off a request, so every cut is a violation, also during planned stops. */
  faultsPreserveOpenRequests: boolean
  /** Ids of the changes in the log at the end. */
  finalChangeIds: readonly string[]
  /** Requests not served and targets not owned after the end of the faults. */
  readonly notRecovered: string[]
}
