/** Targets (runners and workers) and the tasks on them. */
import type { KindName } from './request.ts'
import type { Resources } from './resources.ts'

export type TargetType = 'runner' | 'worker'

/** Capabilities of a target's protocol; the takeover rules depend on them. */
export interface TargetFeatures {
  /** Refuses requests with an epoch lower than the highest one seen. */
  readonly fencing: boolean
  /** Refuses to start work after the request's start-by time. */
  readonly startBy: boolean
  /** Lists its running tasks. */
  readonly inventory: boolean
  readonly checkpoint: boolean
  /** Reports ended tasks for at least ten minutes, so that a task unknown to the target was never started. */
  readonly remembersEnded?: boolean
}

/** A target as listed by the platform. */
export interface TargetInfo {
  readonly id: string
  readonly type: TargetType
  readonly address: string
  readonly dataCentre: string
  readonly region: string
  readonly rack: string
  readonly capacity: Resources
  /** Maximum number of concurrent connections that the target accepts. */
  readonly connections: number
  readonly features: TargetFeatures
  readonly leaving: boolean
}

export type TaskState = 'running' | 'checkpointed' | 'finished' | 'failed' | 'stopped'

/** State of one task, as reported by its target. */
export interface TaskReport {
  readonly taskId: string
  readonly team: string
  readonly kind: KindName
  readonly requestId: string
  readonly name: string
  readonly size: Resources
  readonly epoch: number
  readonly state: TaskState
  /** Last usage known to the target; it lags behind the actual usage. */
  readonly usage?: Resources
}
