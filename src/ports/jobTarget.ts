/** What the coordinator needs from a target that runs the tasks of jobs under leases. */

/** One life of a target: a restart makes a new one, even under the same identity. */
export interface TargetIncarnation {
  readonly id: string
  /** Wall-clock time of the target's start, milliseconds; 0 if the target does not tell. */
  readonly bornMs: number
}

export interface TaskOrder {
  /** Unique name of the task within the cluster. */
  readonly task: string
  readonly attempt: number
  readonly spec: string
  /** Time on the target's clock at which everything on the target ends unless it is extended; also refuses the order when it arrives later. */
  readonly leaseUntilTargetMs: number
  readonly fencingToken: number
  /** State to resume from; empty for none. */
  readonly checkpoint: string
  /** Permit of the placement advisor, for queues that need one. */
  readonly ticket?: string
}

export type StartRefusal = 'fenced' | 'superseded' | 'too-late' | 'no-room' | 'ticket' | 'unhealthy' | 'other-life' | 'invalid'

export type StartOutcome =
  | { readonly outcome: 'started', readonly clockMs: number }
  /** The target has not started it and will not. */
  | { readonly outcome: 'refused', readonly refusal: StartRefusal }
  /** The target may have started it, or may do so later. */
  | { readonly outcome: 'unknown', readonly message: string }

export type StopOutcome = 'stopping' | 'fenced' | 'other-life' | 'unknown'

export interface RunningTask {
  readonly task: string
  readonly attempt: number
  /** Last saved state; empty for none. */
  readonly checkpoint: string
  /** Progress from 0 to 100. */
  readonly percent: number
}

/** Why a run has ended: `alone` waited too long for the other members of its gang, `broken` lost one of them. */
export const RUN_ENDS = ['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'] as const
export type RunEnd = typeof RUN_ENDS[number]

export interface FinishedRun {
  /** Rises by one with each end in one life of the target. */
  readonly number: number
  readonly task: string
  readonly attempt: number
  readonly end: RunEnd
  readonly checkpoint: string
}

export interface TargetReport {
  readonly bornMs: number
  readonly clockMs: number
  readonly running: readonly RunningTask[]
  readonly finished: readonly FinishedRun[]
}

export interface RenewOrder {
  readonly fencingToken: number
  /** Ends up to this number may be forgotten by the target. */
  readonly acknowledged: number
  /** Extends the leases of everything on the target; left out, nothing is extended. */
  readonly leaseUntilTargetMs?: number
  /** How long the target may wait for an end before it answers. */
  readonly waitMs: number
}

export type RenewOutcome =
  | { readonly outcome: 'report', readonly report: TargetReport }
  | { readonly outcome: 'fenced' }
  | { readonly outcome: 'other-life' }
  | { readonly outcome: 'failed', readonly message: string }

export interface JobTargetClient {
  start (order: TaskOrder): Promise<StartOutcome>
  stop (order: { readonly task: string, readonly attempt: number, readonly fencingToken: number }): Promise<StopOutcome>
  /** Raises the target's fence, extends leases, acknowledges ends and returns what runs and what has ended. */
  renew (order: RenewOrder): Promise<RenewOutcome>
  close (): Promise<void>
}

export type JobTargetConnector = (address: string, incarnation: TargetIncarnation) => JobTargetClient
