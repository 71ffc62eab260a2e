/** Error classes; every error that reaches a caller carries a verdict and a code. */
import ModernError from 'modern-errors'
import type { Verdict } from './verdict.ts'

export const REFUSAL_CODES = [
  'invalid', 'unauthenticated', 'forbidden', 'not-found', 'duplicate', 'too-large', 'never-runnable',
  'limit', 'shed', 'stale-configuration', 'draining', 'no-capacity', 'deadline', 'cancelled',
  'claim-unavailable', 'target-failed', 'answer-incomplete', 'fenced', 'preempted', 'peer-failed', 'internal'
] as const

export type RefusalCode = typeof REFUSAL_CODES[number]

export const BaseError = ModernError.subclass('AgategaugeError')

/** Bad settings, arguments or documents; the message says where and what would be right. */
export const InputError = BaseError.subclass('InputError')

/** The store certainly did not apply the call. */
export const StoreUnavailableError = BaseError.subclass('StoreUnavailableError')

/** The store may have applied the call: the answer was lost. */
export const StoreUnknownError = BaseError.subclass('StoreUnknownError')

/** No connection was made: the target certainly has not seen the call. */
export const TargetUnreachableError = BaseError.subclass('TargetUnreachableError')

/** The call was sent and no whole answer came back: it may have had an effect. */
export const TargetUnknownError = BaseError.subclass('TargetUnknownError')

export interface RefusalDetails {
  readonly code: RefusalCode
  readonly verdict: Verdict
  /** The request's identity was claimed, so that a new request needs a new identity. */
  readonly claimed?: boolean
  /** Another owner or a later time may succeed. */
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
