/** What the scheduler needs from a target; one adapter for each target protocol. */
import type { KindName } from '../model/request.ts'
import type { Resources } from '../model/resources.ts'
import type { TargetInfo, TaskReport } from '../model/target.ts'

export interface TaskStart {
  /** The attempt identity; the target echoes it. */
  readonly taskId: string
  readonly team: string
  readonly requestId: string
  readonly kind: KindName
  readonly name: string
  readonly size: Resources
  readonly payload: unknown
  /** Fencing token of the owner. */
  readonly epoch: number
  /** Wall-clock time after which the target must not start the task. */
  readonly startByWallMs: number
  readonly leaseMs: number
  /** The answer comes when the task has started, not when it has finished. */
  readonly detached: boolean
}

export interface TaskAnswer {
  /** The attempt identity that the target echoed. */
  readonly taskId: string
  readonly contentType: string
  /** Fails if the target's answer ends before its announced end. */
  readonly body: AsyncIterable<Uint8Array>
}

/** Refusal by the target before it started the task. */
export type TargetRefusal = 'no-capacity' | 'fenced' | 'too-late' | 'leaving' | 'unknown-task'

export type StartResult =
  | { readonly outcome: 'started', readonly answer: TaskAnswer }
  | { readonly outcome: 'refused', readonly refusal: TargetRefusal }
  /** The task started and failed. */
  | { readonly outcome: 'failed', readonly message: string }
  /** No connection was made, so that the target certainly has not seen the request. */
  | { readonly outcome: 'unreachable', readonly message: string }
  /** Bytes were sent and no whole answer head came back. */
  | { readonly outcome: 'unknown', readonly message: string }

export type FenceResult =
  | { readonly outcome: 'fenced', readonly tasks: readonly TaskReport[] }
  | { readonly outcome: 'refused', readonly highestEpoch: number }

export type TaskCommand = 'stop' | 'checkpoint' | 'throttle'

/** Calls reject with `TargetUnreachableError` if the target certainly has not seen them, with `TargetUnknownError` if it may have. */
export interface TargetClient {
  /** Raises the target's epoch and returns the tasks that it runs; rejects if the target can't be reached. */
  fence (target: TargetInfo, epoch: number, signal?: AbortSignal): Promise<FenceResult>
  start (target: TargetInfo, start: TaskStart, signal?: AbortSignal): Promise<StartResult>
  /** Extends a task's lease; undefined if the target doesn't know the task. */
  renew (target: TargetInfo, taskId: string, epoch: number, leaseMs: number, signal?: AbortSignal): Promise<TaskReport | undefined>
  /** Resolves when the target confirmed the command; undefined if it doesn't know the task. */
  command (target: TargetInfo, taskId: string, epoch: number, command: TaskCommand, signal?: AbortSignal): Promise<TaskReport | undefined>
  inspect (target: TargetInfo, taskId: string, signal?: AbortSignal): Promise<TaskReport | undefined>
  /** Reported usage for each task; lags. */
  usage (target: TargetInfo, signal?: AbortSignal): Promise<readonly TaskReport[]>
}
