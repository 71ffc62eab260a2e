/** A caller's request about a job, and what it is answered. */
import type { JobState } from '../jobs/job.ts'

export type CallAction = 'submit' | 'read' | 'cancel'

export interface CallerCall {
  readonly action: CallAction
  readonly host: string
  /** Path of the queue, followed by the identity of the job if the call is about one. */
  readonly path: string
  readonly key: string
  /** JSON of the `JobDefinition` of a submission; empty for other calls. */
  readonly definition: string
  /** Version of the desired state that the entry instance knows. */
  readonly desiredStateVersion: number
}

/** A call as a caller sends it. */
export interface CallerRequest {
  readonly call: CallerCall
  /** How long the caller waits for the answer; undefined if it does not say. */
  readonly callerTimeoutMs?: number
}

interface Refusal<Outcome> {
  readonly outcome: Outcome
  readonly message: string
  readonly retryAfterSeconds: number
  /** The coordinator's log does not hold the job, so that no earlier coordinator has accepted it either. */
  readonly absent?: boolean
}

export type CallerAnswer =
  | { readonly outcome: 'accepted' }
  | { readonly outcome: 'cancelled' }
  | { readonly outcome: 'state', readonly state: JobState }
  | { readonly outcome: 'pending', readonly pending: number }
  /** Nothing was done, and nothing will be. */
  | { readonly outcome: 'no-queue' | 'no-job' | 'unauthenticated' }
  | { readonly outcome: 'invalid', readonly message: string }
  | Refusal<'unavailable'>
  /** Beyond the team's share while there is no room for it; nothing was done, and nothing will be. */
  | Refusal<'limited'>
  /** The call may have been carried out; the same call may be sent again. */
  | { readonly outcome: 'unknown', readonly message: string }

/** What the coordinator answers another instance. */
export type CoordinatorAnswer =
  | CallerAnswer
  /** The coordinator has the call and answers it when it is sent again. */
  | { readonly outcome: 'underway' }

/** Time after which a coordinator is in office again. */
const RETRY_AFTER_SECONDS = 1

/**
 * The answer to a call that was not carried out and never will be.
 *
 * @example
 * return unavailable('no coordinator is known')
 */
export function unavailable (message: string, retryAfterSeconds = RETRY_AFTER_SECONDS): Refusal<'unavailable'> {
  return { outcome: 'unavailable', message, retryAfterSeconds }
}

export interface CallHandler {
  handle (request: CallerRequest): Promise<CallerAnswer>
}
