/** Errors thrown by calls to targets; starts return their expected failures as results instead. */
import { BaseError } from '../../model/errors.ts'

export { TargetUnknownError, TargetUnreachableError } from '../../model/errors.ts'

/** The body ended before its declared length. */
export const IncompleteAnswerError = BaseError.subclass('IncompleteAnswerError')
