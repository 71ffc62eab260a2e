/** Records of the job log. Replay in order is idempotent: repeating it results in the same jobs. */
import type { CrashEvidence, CrashHistory } from './crashHistory.ts'
import type { RunEnd } from '../ports/jobTarget.ts'
import type { Resources } from '../model/resources.ts'
import type { EarlyCancellation } from './earlyCancellations.ts'
import type { QueueSettings } from './desiredState.ts'
import type { JobDefinition, JobIdentity, JobState } from './job.ts'

/** One incarnation of a target on which tasks may run. */
export interface TargetDescription {
  readonly id: string
  readonly bornMs: number
  readonly address: string
  readonly service: string
  readonly dataCentre: string
  readonly capacity: Resources
  readonly labels: readonly string[]
}

export interface RunEndRecord {
  readonly type: 'run-end'
  readonly job: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
  readonly attempt: number
  readonly end: RunEnd
  readonly checkpoint: string
}

export interface JobRecord extends JobIdentity {
  readonly type: 'job'
  readonly acceptedWallMs: number
  readonly withinShare: boolean
  readonly definition: JobDefinition
}

/** Tasks that are about to be started; stored before the start requests are sent to targets. */
export interface PlacedRecord {
  readonly type: 'placed'
  readonly job: string
  readonly occurrence: number
  readonly step: number
  readonly runs: readonly PlacedRun[]
}

export type PlacedRun = readonly [index: number, attempt: number, targetKey: string]

/** Runs that the targets on which they were placed have begun: their starts are not in transit any more. */
export interface StartedRecord {
  readonly type: 'started'
  readonly job: string
  readonly occurrence: number
  readonly step: number
  readonly runs: readonly StartedRun[]
}

export type StartedRun = readonly [index: number, attempt: number]

/** Starts that may still be executed, and that no coordinator will send again. */
export interface StartExpiryRecord {
  readonly type: 'start-expiry'
  readonly job: string
  readonly occurrence: number
  readonly step: number
  readonly runs: readonly ExpiringStart[]
}

/** `remainingMs`: time after the record from which on the start can not be executed any more. */
export type ExpiringStart = readonly [index: number, attempt: number, remainingMs: number]

/** Runs of one step that were lost in the crash of their target; stored before their tasks are placed again. */
export interface CrashRecord {
  readonly type: 'crashed'
  readonly job: string
  readonly occurrence: number
  readonly step: number
  /** Identity of the target. */
  readonly target: string
  readonly runs: readonly CrashedRun[]
}

export type CrashedRun = readonly [index: number, attempt: number, evidence: CrashEvidence]

/** State of one task in a snapshot. */
export interface TaskSnapshot {
  readonly done: boolean
  readonly attempt: number
  readonly endedAttempts: readonly number[]
  readonly failures: number
  readonly checkpoint: string
  readonly placedOn: string
  /** Absent if the target is not known to have begun the run. */
  readonly started?: true
  /** Of the last `StartExpiryRecord`; absent if there was none. */
  readonly startExpiresInMs?: number
  /** Absent if no target crashed under the task. */
  readonly crashHistory?: CrashHistory
}

export interface StepSnapshot {
  readonly tasks: readonly TaskSnapshot[]
  readonly gangFailures: number
  readonly failedGangAttempt: number
  readonly gangCheckpoint: string
}

export type StepRecord = StepSnapshot & {
  readonly type: 'step'
  readonly job: string
  readonly occurrence: number
  readonly step: number
}

/** Learned ratios of actual to declared run times for similar steps. */
export interface RunTimeModelSummary {
  /** Name of the queue; empty for the ratios of remote to near run times. */
  readonly queue: string
  readonly position: number
  readonly gang: boolean
  /** Whether it was learned from runs near their data. */
  readonly near: boolean
  readonly count: number
  readonly mean: number
  readonly points: readonly number[]
}

/** Models that have changed; later records replace single models of earlier ones. */
export interface RunTimesRecord {
  readonly type: 'run-times'
  readonly models: readonly RunTimeModelSummary[]
}

export type LogRecord =
  | { readonly type: 'queue', readonly queue: QueueSettings }
  | JobRecord
  | PlacedRecord
  | StartedRecord
  | StartExpiryRecord
  | RunEndRecord
  | CrashRecord
  | StepRecord
  | RunTimesRecord
  | { readonly type: 'cancelled', readonly job: string, readonly wallMs: number }
  /** The cancel of a job that was not known; its submission must not run if it arrives later. */
  | EarlyCancellation & { readonly type: 'cancelled-early' }
  | { readonly type: 'finished-job', readonly id: string, readonly queue: string, readonly team: string, readonly state: JobState, readonly wallMs: number }
  | { readonly type: 'target', readonly target: TargetDescription }
  | { readonly type: 'target-gone', readonly id: string, readonly bornMs: number }
