/** Faults that the in-process target client injects. */
import type { TargetClient } from '../../ports/targetClient.ts'

export type TargetMethod = keyof TargetClient

export interface TargetCall {
  /** Position among all calls of this client, from 0. */
  readonly index: number
  readonly targetId: string
  readonly method: TargetMethod
  /** Present for calls about one task. */
  readonly taskId?: string
}

export type TargetFault =
  /** No connection is made. */
  | { readonly type: 'unreachable' }
  /** The call is lost on its way: no effect, and no answer. */
  | { readonly type: 'loseCall' }
  /** The call takes effect and its answer is lost. */
  | { readonly type: 'loseAnswer' }
  /** The call reaches the target after the duration, even if its caller gave up. */
  | { readonly type: 'delay', readonly durationMs: number }
  /** The call takes effect at once; its answer arrives after the duration. */
  | { readonly type: 'delayAnswer', readonly durationMs: number }
  /** The target receives the call twice, the second time after the duration. */
  | { readonly type: 'duplicate', readonly afterMs: number }
  /** The answer's body ends after that many bytes; starts only. */
  | { readonly type: 'truncate', readonly afterBytes: number }
  /** The answer echoes another task identity; starts only. */
  | { readonly type: 'echo', readonly taskId: string }

/** Returns the fault for a call, or undefined for none. */
export type ChooseTargetFault = (call: TargetCall) => TargetFault | undefined
