/** Targets (runners and workers) and the tasks on them. */
import type { KindName } from './request.ts'
import type { Resources } from './resources.ts'

export type TargetType = 'runner' | 'worker'

/** What a target's protocol can do; takeover rules depend on it. */
export interface TargetFeatures {
  /** Refuses requests under a lower epoch than the highest seen. */
  readonly fencing: boolean
  /** Refuses to start work after the start-by time in the request. */
  readonly startBy: boolean
  /** Lists the tasks that it runs. */
  readonly inventory: boolean
  readonly checkpoint: boolean
  /** Reports ended tasks for at least ten minutes, so that an unknown task was never started. */
  readonly remembersEnded?: boolean
}

/** An entry of the platform's list. */
export interface TargetInfo {
  readonly id: string
  readonly type: TargetType
  readonly address: string
  readonly dataCentre: string
  readonly region: string
  readonly rack: string
  readonly capacity: Resources
  /** Connections that the target takes at the same time. */
  readonly connections: number
  readonly features: TargetFeatures
  readonly leaving: boolean
}

export type TaskState = 'running' | 'checkpointed' | 'finished' | 'failed' | 'stopped'

/** What a target reports about one task. */
export interface TaskReport {
  readonly taskId: string
  readonly team: string
  readonly kind: KindName
  readonly requestId: string
  readonly name: string
  readonly size: Resources
  readonly epoch: number
  readonly state: TaskState
  /** Last usage known to the target; lags. */
  readonly usage?: Resources
}
