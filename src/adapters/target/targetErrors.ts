/** Errors of calls to targets, other than the results that starts report by value. */
import { BaseError } from '../../model/errors.ts'

export { TargetUnreachableError } from '../../model/errors.ts'

/** The call was sent and no whole answer came back: it may have had an effect. */
export const TargetUnknownError = BaseError.subclass('TargetUnknownError')

/** The answer's body ended before its announced end. */
export const IncompleteAnswerError = BaseError.subclass('IncompleteAnswerError')
