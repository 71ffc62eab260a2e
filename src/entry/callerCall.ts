/** A caller's request about a job, and the answers to it. */
import type { JobState } from '../jobs/job.ts'

export type CallAction = 'submit' | 'read' | 'cancel'

export interface CallerCall {
  readonly action: CallAction
  readonly host: string
  /** Path of the queue, followed by the job's identity if the call concerns a job. */
  readonly path: string
  readonly key: string
  /** The `JobDefinition` of a submission as JSON; empty for other calls. */
  readonly definition: string
  /** Version of the desired state that the entry instance knows. */
  readonly desiredStateVersion: number
}

/** A call with the caller's time-out. */
export interface CallerRequest {
  readonly call: CallerCall
  /** Time for which the caller waits for the answer; undefined if the caller did not state it. */
  readonly callerTimeoutMs?: number
}

interface Refusal<Outcome> {
  readonly outcome: Outcome
  readonly message: string
  readonly retryAfterSeconds: number
  /** Set if the coordinator's log lacks the job, which rules out that an earlier coordinator accepted it. */
  readonly absent?: boolean
}

export type CallerAnswer =
  | { readonly outcome: 'accepted' }
  | { readonly outcome: 'cancelled' }
  | { readonly outcome: 'state', readonly state: JobState }
  | { readonly outcome: 'pending', readonly pending: number }
  /** The call has no effect, now or later. */
  | { readonly outcome: 'no-queue' | 'no-job' | 'unauthenticated' }
  | { readonly outcome: 'invalid', readonly message: string }
  | Refusal<'unavailable'>
  /** The job could not end in time, or the team is above its share and the coordinator is busy; the call has no effect, now or later. */
  | Refusal<'limited'>
  /** The call may have taken effect; it is safe to repeat it. */
  | { readonly outcome: 'unknown', readonly message: string }

/** The coordinator's answer to another instance. */
export type CoordinatorAnswer =
  | CallerAnswer
  /** The coordinator has received the call and returns the answer when the call is repeated. */
  | { readonly outcome: 'underway' }

/** Time within which a new coordinator is normally elected. */
const RETRY_AFTER_SECONDS = 1

/**
 * Creates the answer to a call that has no effect, now or later.
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
