/** A caller's request after its syntax and ranges were checked. */
import type { Resources } from './resources.ts'

export type KindName = 'urgent' | 'batch' | 'service' | 'gang'

export interface WorkRequest {
  /** Chosen by the caller, unique within its team. */
  readonly id: string
  readonly kind: KindName
  /** Groups requests of like size for learning from usage. */
  readonly name: string
  /** An open queue that takes work without a key. */
  readonly queue?: string
  /** Size of one task. */
  readonly size: Resources
  /** Number of tasks; above one for gangs only. */
  readonly tasks: number
  readonly deadlineMs: number
  readonly repeatable: boolean
  readonly payload: unknown
}

/** A request whose team is known from its key or open queue. */
export interface AdmittedRequest {
  readonly team: string
  readonly request: WorkRequest
  /** Monotonic time of the deadline on this instance. */
  readonly deadlineAt: number
}
