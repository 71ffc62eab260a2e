/** Runs tasks that nobody waits for, so that their failures are logged and not lost. */
import type { Logger } from '../observability/logger.ts'

/**
 * Logs a failure of the task as an error.
 *
 * @example
 * runInBackground(session.run(), logger, 'target session')
 */
export function runInBackground (task: Promise<unknown>, logger: Logger, name: string): void {
  task.catch(error => {
    logger.error({ task: name, error: error instanceof Error ? error.stack : String(error) }, 'a background task failed')
  })
}
