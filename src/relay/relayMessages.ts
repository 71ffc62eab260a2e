/** Messages between a coordinator and the instances that relay its orders to targets. */
import type { RenewOrder, RenewOutcome, StartOutcome, StopOrder, StopOutcome, TargetIncarnation, TaskOrder } from '../ports/jobTarget.ts'

/** The target incarnation that an order is meant for, and where it is reached. */
export interface RelayTarget extends TargetIncarnation {
  readonly address: string
}

export type TargetOrder =
  | { readonly type: 'start', readonly order: TaskOrder }
  | { readonly type: 'stop', readonly order: StopOrder }
  | { readonly type: 'renew', readonly order: RenewOrder }

/** Orders are numbered from 1 in each channel; an order whose number has been seen is not executed again. */
export type NumberedOrder = TargetOrder & { readonly number: number, readonly target: RelayTarget }

/** A time on both clocks of the relay: a suspended machine stops the monotonic one, and the wall clock may jump. */
export interface RelayTime {
  readonly monotonicMs: number
  readonly wallMs: number
}

export interface RelayBatch {
  /** Fencing token of the coordinator; a relay that knows a higher one executes nothing. */
  readonly fence: number
  /** Identifies the coordinator's connection; a new one starts without outstanding orders. */
  readonly channel: string
  /** The orders of this batch may not be sent to targets after this time; absent in the first batch, which has no orders. */
  readonly validUntil?: RelayTime
  /** How long the relay may wait for an outcome before it answers. */
  readonly waitMs: number
  readonly orders: readonly NumberedOrder[]
}

/** `not-sent`: the order has not been sent to the target, and will not be; `unanswered`: it may have been executed, or may still be. */
export type RelayResult =
  | { readonly type: 'start', readonly outcome: StartOutcome }
  | { readonly type: 'stop', readonly outcome: StopOutcome }
  | { readonly type: 'renew', readonly outcome: RenewOutcome }
  | { readonly type: 'not-sent' | 'unanswered', readonly reason: string }

export interface RelayOutcome {
  readonly number: number
  readonly result: RelayResult
}

/** `closing`: the relay finishes what it has and takes no new orders; `superseded`: it knows a later coordinator. */
export type RelayState = 'open' | 'closing' | 'superseded'

export interface RelayAnswer {
  readonly state: RelayState
  readonly time: RelayTime
  readonly outcomes: readonly RelayOutcome[]
}
