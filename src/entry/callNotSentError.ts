/** The error of a call of which no attempt reached the coordinator. */
import { BaseError } from '../model/errors.ts'

/** The call was never sent to the coordinator, which has certainly not seen it. */
export const CallNotSentError = BaseError.subclass('CallNotSentError')
