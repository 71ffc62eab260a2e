/** Logs errors that no part of the program handled. */
import type { Logger } from './logger.ts'

/**
 * Logs an unexpected error with its stack.
 *
 * @example
 * process.on('uncaughtException', error => logUnexpectedError(logger, error))
 */
export function logUnexpectedError (logger: Logger, error: unknown): void {
  logger.error({ error: error instanceof Error ? error.stack : String(error) }, 'unexpected error; the instance keeps running')
}
