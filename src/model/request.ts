/** A caller's request after validation of its syntax and value ranges. */
import type { Resources } from './resources.ts'

export type KindName = 'urgent' | 'batch' | 'service' | 'gang'

export interface WorkRequest {
  /** Chosen by the caller, unique within its team. */
  readonly id: string
  readonly kind: KindName
  /** Groups requests of similar size, so that their size can be estimated from reported usage. */
  readonly name: string
  /** Name of an open queue, which accepts work without a key. */
  readonly queue?: string
  /** Resources needed by one task. */
  readonly size: Resources
  /** Number of tasks; greater than one only for gangs. */
  readonly tasks: number
  readonly deadlineMs: number
  readonly repeatable: boolean
  readonly payload: unknown
}

/** A request whose team has been determined from its key or open queue. */
export interface AdmittedRequest {
  readonly team: string
  readonly request: WorkRequest
  /** Deadline in monotonic time of this instance. */
  readonly deadlineAt: number
}
