/** The target operations that the scheduler uses; each target protocol has its own adapter. */
import type { KindName } from '../model/request.ts'
import type { Resources } from '../model/resources.ts'
import type { TargetInfo, TaskReport } from '../model/target.ts'

export interface TaskStart {
  /** Id of the attempt; the target returns it in its answer. */
  readonly taskId: string
  readonly team: string
  readonly requestId: string
  readonly kind: KindName
  readonly name: string
  readonly size: Resources
  readonly payload: unknown
  /** Fencing token of the instance that owns the target. */
  readonly epoch: number
  /** Wall-clock time after which the target must not start the task. */
  readonly startByWallMs: number
  readonly leaseMs: number
  /** The target answers when the task has started instead of when it has finished. */
  readonly detached: boolean
}

export interface TaskAnswer {
  /** Id of the attempt, as returned by the target. */
  readonly taskId: string
  readonly contentType: string
  /** Throws if the target's response is truncated. */
  readonly body: AsyncIterable<Uint8Array>
}

/** Reason why the target refused a call without starting the task. */
export type TargetRefusal = 'no-capacity' | 'fenced' | 'too-late' | 'leaving' | 'unknown-task'

export type StartResult =
  | { readonly outcome: 'started', readonly answer: TaskAnswer }
  | { readonly outcome: 'refused', readonly refusal: TargetRefusal }
  /** The task started and failed. */
  | { readonly outcome: 'failed', readonly message: string }
  /** No connection was established, so the target cannot have received the request. */
  | { readonly outcome: 'unreachable', readonly message: string }
  /** The request was at least partly sent, but no complete response header was received. */
  | { readonly outcome: 'unknown', readonly message: string }

export type FenceResult =
  | { readonly outcome: 'fenced', readonly tasks: readonly TaskReport[] }
  | { readonly outcome: 'refused', readonly highestEpoch: number }

export type TaskCommand = 'stop' | 'checkpoint' | 'throttle'

/** Calls reject with `TargetUnreachableError` if the target cannot have received them, and with `TargetUnknownError` if it may have. */
export interface TargetClient {
  /** Raises the target's epoch and returns its running tasks; rejects if the target cannot be reached. */
  fence (target: TargetInfo, epoch: number, signal?: AbortSignal): Promise<FenceResult>
  start (target: TargetInfo, start: TaskStart, signal?: AbortSignal): Promise<StartResult>
  /** Extends a task's lease; resolves with undefined if the target does not know the task. */
  renew (target: TargetInfo, taskId: string, epoch: number, leaseMs: number, signal?: AbortSignal): Promise<TaskReport | undefined>
  /** Resolves when the target has confirmed the command; with undefined if it does not know the task. */
  command (target: TargetInfo, taskId: string, epoch: number, command: TaskCommand, signal?: AbortSignal): Promise<TaskReport | undefined>
  inspect (target: TargetInfo, taskId: string, signal?: AbortSignal): Promise<TaskReport | undefined>
  /** Returns the usage that the target last reported for each task; it lags behind the actual usage. */
  usage (target: TargetInfo, signal?: AbortSignal): Promise<readonly TaskReport[]>
}
