/** The operations that the coordinator uses on a target that runs tasks of jobs under leases. */

/** One incarnation of a target; a restart starts a new one, even under the same id. */
export interface TargetIncarnation {
  readonly id: string
  /** Wall-clock time at which the incarnation started, in milliseconds, by which incarnations of a target are told apart. */
  readonly bornMs: number
}

export interface TaskOrder {
  /** Name of the task, unique in the cluster. */
  readonly task: string
  readonly attempt: number
  readonly spec: string
  /** Time on the target's clock at which the target's lease expires and all its runs end unless it is extended; an order that arrives later is refused. */
  readonly leaseUntilTargetMs: number
  readonly fencingToken: number
  /** Checkpoint to resume from; empty if there is none. */
  readonly checkpoint: string
  /** Ticket issued by the placement advisor, for queues that require one. */
  readonly ticket?: string
}

/** `other-life`: the target has restarted, so the order was meant for an earlier incarnation. */
export const START_REFUSALS = ['fenced', 'superseded', 'too-late', 'no-room', 'ticket', 'unhealthy', 'other-life', 'invalid'] as const
export type StartRefusal = typeof START_REFUSALS[number]

export type StartOutcome =
  /** `clockMs` is the time of the target's clock, which starts anew with each incarnation; 0 if it is not known. */
  | { readonly outcome: 'started', readonly clockMs: number }
  /** The target has not started the task and will not start it. */
  | { readonly outcome: 'refused', readonly refusal: StartRefusal }
  /** The target may have started the task or may still start it. */
  | { readonly outcome: 'unknown', readonly message: string }

export const STOP_OUTCOMES = ['stopping', 'fenced', 'other-life', 'unknown'] as const
export type StopOutcome = typeof STOP_OUTCOMES[number]

export interface RunningTask {
  readonly task: string
  readonly attempt: number
  /** Last saved checkpoint; empty if there is none. */
  readonly checkpoint: string
  /** Progress from 0 to 100. */
  readonly percent: number
}

/** Why a run ended: `lapsed` when its lease expired, `alone` when it waited too long for the other members of its gang, `broken` when one of them was lost. */
export const RUN_ENDS = ['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'] as const
export type RunEnd = typeof RUN_ENDS[number]

export interface FinishedRun {
  /** Sequence number of the finished run; increases by one with each within an incarnation of the target. */
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
  /** The oldest finished runs that are not acknowledged. */
  readonly finished: readonly FinishedRun[]
  /** Whether there may be later ones that `finished` leaves out, so that a run in neither list may have finished. */
  readonly mayOmitFinished: boolean
}

export interface RenewOrder {
  readonly fencingToken: number
  /** The target may discard finished runs up to and including this number. */
  readonly acknowledged: number
  /** Extends the leases of all runs on the target; no lease is extended if it is omitted. */
  readonly leaseUntilTargetMs?: number
  /** How long the target may delay its answer while waiting for a run to finish (long polling). */
  readonly waitMs: number
}

export type RenewOutcome =
  | { readonly outcome: 'report', readonly report: TargetReport }
  | { readonly outcome: 'fenced' }
  | { readonly outcome: 'other-life' }
  | { readonly outcome: 'failed', readonly message: string }

export interface StopOrder {
  readonly task: string
  readonly attempt: number
  readonly fencingToken: number
}

export interface JobTargetClient {
  /** How the latest orders travelled, for the log: addresses of relays, or `direct`, the latest last. */
  readonly routes?: readonly string[]
  start (order: TaskOrder): Promise<StartOutcome>
  stop (order: StopOrder): Promise<StopOutcome>
  /** Raises the target's fencing token, extends leases, acknowledges finished runs, and returns the running and finished runs. */
  renew (order: RenewOrder): Promise<RenewOutcome>
  close (): Promise<void>
}

export type JobTargetConnector = (address: string, incarnation: TargetIncarnation) => JobTargetClient

/** Connects to targets whose data centre decides how their orders travel. */
export type PlacedTargetConnector = (address: string, incarnation: TargetIncarnation, dataCentre: string) => JobTargetClient
