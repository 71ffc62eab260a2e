/** Withdraws a start request that a target may still execute after it has restarted under the same identity. */
import type { Logger } from '../../observability/logger.ts'
import type { Clock } from '../../ports/clock.ts'
import type { FinishedRun, JobTargetClient } from '../../ports/jobTarget.ts'
import { runKey } from './assignment.ts'
import type { TargetFence } from './targetFence.ts'

/** An unanswered request may be executed up to 12 s later, according to the platform's list of faults. */
export const MAX_REQUEST_DELAY_MS = 12_500
const RETRY_DELAY_MS = 150

export interface WithdrawalOptions {
  readonly client: JobTargetClient
  readonly clock: Clock
  readonly logger: Logger
  readonly fence: TargetFence
  /** Identity of the target, for the log. */
  readonly target: string
  /** Whether the term has ended, so that nothing more is sent. */
  readonly isClosed: () => boolean
  /** Whether the target list shows the target, in whichever incarnation. */
  readonly isListed: () => boolean
  /** Longest time for which the target keeps a run alive that it has begun, in milliseconds. */
  readonly longestLeaseMs: number
  /** Times until which the withdrawal of a target that does not answer goes on, at least, and while it is listed. */
  readonly earliestEndMs: number
  readonly latestEndMs: number
}

/**
 * Stops the run on the target's next incarnation until that reports the run's end, or no longer shows the run in a
 * complete report after a stop. Resolves with the end if the run was executed there.
 *
 * @example
 * const end = await withdrawStart(options, { task: '5c0e.0.0.1', attempt: 2 })
 */
export async function withdrawStart ({ client, clock, logger, fence, target, isClosed, isListed, longestLeaseMs, ...options }: WithdrawalOptions, { task, attempt }: { readonly task: string, readonly attempt: number }): Promise<FinishedRun | undefined> {
  const key = runKey(task, attempt)
  logger.info({ task, attempt, target }, 'withdrawing an unconfirmed start from the next target incarnation')
  let { earliestEndMs, latestEndMs } = options
  while (!isClosed() && clock.monotonicMs() < (isListed() ? latestEndMs : earliestEndMs)) {
    const outcome = await client.stop({ task, attempt, fencingToken: fence.nextToken() })
    if (outcome === 'other-life') return undefined
    const result = outcome === 'stopping' ? await client.renew({ fencingToken: fence.nextToken(), acknowledged: 0, waitMs: 0 }) : undefined
    if (result?.outcome === 'other-life') return undefined
    if (result?.outcome === 'report') {
      const end = result.report.finished.find(run => runKey(run.task, run.attempt) === key)
      if (end !== undefined) return end
      // The end may still be listed, unless the target then stays silent until all its leases have expired.
      if (result.report.mayOmitFinished) {
        earliestEndMs = clock.monotonicMs() + MAX_REQUEST_DELAY_MS
        latestEndMs = earliestEndMs + longestLeaseMs
      } else if (!result.report.running.some(run => runKey(run.task, run.attempt) === key)) return undefined
    }
    await clock.sleep(RETRY_DELAY_MS)
  }
  return undefined
}
