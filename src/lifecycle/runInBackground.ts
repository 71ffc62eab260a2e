/** Logs failures of promises that are not awaited. */
import type { Logger } from '../observability/logger.ts'

/**
 * Logs a rejection of the task as an error.
 *
 * @example
 * runInBackground(session.run(), logger, 'target session')
 */
export function runInBackground (task: Promise<unknown>, logger: Logger, name: string): void {
  task.catch(error => {
    logger.error({ task: name, error: error instanceof Error ? error.stack : String(error) }, 'background task failed')
  })
}
