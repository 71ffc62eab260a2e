/** Faults that `MemoryTargetClient` injects. */
import type { TargetClient } from '../../ports/targetClient.ts'

export type TargetMethod = keyof TargetClient

export interface TargetCall {
  /** Index among all calls of this client, from 0. */
  readonly index: number
  readonly targetId: string
  readonly method: TargetMethod
  /** Present for calls about one task. */
  readonly taskId?: string
}

export type TargetFault =
  /** No connection can be established. */
  | { readonly type: 'unreachable' }
  /** The call is lost in transit: it has no effect and no response. */
  | { readonly type: 'loseCall' }
  /** The call takes effect, and its response is lost. */
  | { readonly type: 'loseAnswer' }
  /** The call reaches the target after the duration, even if its caller has given up. */
  | { readonly type: 'delay', readonly durationMs: number }
  /** The call takes effect immediately; its response arrives after the duration. */
  | { readonly type: 'delayAnswer', readonly durationMs: number }
  /** The target receives the call twice, the second time after the duration. */
  | { readonly type: 'duplicate', readonly afterMs: number }
  /** The response body ends after that many bytes; starts only. */
  | { readonly type: 'truncate', readonly afterBytes: number }
  /** The response echoes another task identity; starts only. */
  | { readonly type: 'echo', readonly taskId: string }

/** Returns the fault for a call, or undefined for none. */
export type ChooseTargetFault = (call: TargetCall) => TargetFault | undefined
