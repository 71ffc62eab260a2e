/** Error classes. Every error that is returned to a caller carries a verdict and a code. */
import ModernError from 'modern-errors'
import type { Verdict } from './verdict.ts'

export const REFUSAL_CODES = [
  'invalid', 'unauthenticated', 'forbidden', 'not-found', 'duplicate', 'too-large', 'never-runnable',
  'limit', 'shed', 'stale-configuration', 'draining', 'no-capacity', 'deadline', 'cancelled',
  'claim-unavailable', 'target-failed', 'answer-incomplete', 'fenced', 'preempted', 'peer-failed', 'internal'
] as const

export type RefusalCode = typeof REFUSAL_CODES[number]

export const BaseError = ModernError.subclass('AgategaugeError')

/** Invalid settings, arguments or documents. The message names the location and what is expected there. */
export const InputError = BaseError.subclass('InputError')

/** The store did not apply the call. */
export const StoreUnavailableError = BaseError.subclass('StoreUnavailableError')

/** The answer was lost, so the store may have applied the call. */
export const StoreUnknownError = BaseError.subclass('StoreUnknownError')

/** No connection was established, so the target cannot have received the call. */
export const TargetUnreachableError = BaseError.subclass('TargetUnreachableError')

/** The call was sent but no complete answer was received, so it may have taken effect. */
export const TargetUnknownError = BaseError.subclass('TargetUnknownError')

export interface RefusalDetails {
  readonly code: RefusalCode
  readonly verdict: Verdict
  /** Whether the request's id has been claimed, so that a new request needs a new id. */
  readonly claimed?: boolean
  /** Whether another attempt, at another owner or later, may succeed. */
  readonly retryable?: boolean
}

/**
 * A refusal or failure of a caller's request.
 *
 * @example
 * throw new RefusalError('the queue is full', { code: 'shed', verdict: 'not-run' })
 */
export class RefusalError extends Error {
  readonly code: RefusalCode
  readonly verdict: Verdict
  readonly claimed: boolean
  readonly retryable: boolean

  constructor (message: string, details: RefusalDetails & { readonly cause?: unknown }) {
    super(message, { cause: details.cause })
    this.name = 'RefusalError'
    this.code = details.code
    this.verdict = details.verdict
    this.claimed = details.claimed ?? false
    this.retryable = details.retryable ?? false
  }
}
