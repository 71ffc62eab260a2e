/** Errors of calls to targets, other than the results that starts report by value. */
import { BaseError } from '../../model/errors.ts'

export { TargetUnknownError, TargetUnreachableError } from '../../model/errors.ts'

/** The answer's body ended before its announced end. */
export const IncompleteAnswerError = BaseError.subclass('IncompleteAnswerError')
