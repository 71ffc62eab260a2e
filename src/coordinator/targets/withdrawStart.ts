/** Withdraws a start request that a later incarnation of its target may have executed, or may still execute. */
import type { Logger } from '../../observability/logger.ts'
import type { Clock } from '../../ports/clock.ts'
import type { FinishedRun, JobTargetClient } from '../../ports/jobTarget.ts'
import { runKey } from './assignment.ts'
import { MAX_REQUEST_DELAY_MS } from './startsInTransit.ts'
import type { TargetFence } from './targetFence.ts'

const RETRY_DELAY_MS = 150
/** Interval at which the target is asked while it does not show the run, but the start may still be executed. */
const RECHECK_INTERVAL_MS = 1_000

export interface WithdrawalOptions {
  readonly client: JobTargetClient
  readonly clock: Clock
  readonly logger: Logger
  readonly fence: TargetFence
  /** Identity of the target, for the log. */
  readonly target: string
  /** Start time of the incarnation on which all leases have expired, if it may still be up; its runs have all ended. */
  readonly lapsedBornMs: number | undefined
  /** Whether the term has ended, so that nothing more is sent. */
  readonly isClosed: () => boolean
  /** Whether a report to another session of the target has shown that the start has no run, and will have none. */
  readonly isRuledOut: () => boolean
  /** Latest time at which the start may be executed. */
  readonly latestExecutionMs: () => number
  /** Time by which no incarnation keeps a run of the start alive, unless it is asked again. */
  readonly latestRunMs: () => number
  /** Longest time for which the target keeps a run alive that it has begun, in milliseconds. */
  readonly longestLeaseMs: number
  /** Called when a report shows that the start was executed. */
  readonly onExecuted: () => void
  /** Called when the incarnation that is up does not run the task, and will not execute the start. */
  readonly onRefused: () => void
}

/**
 * `run-ended`: a report lists the end of the run. `not-shown`: a report that was requested after the latest execution time does
 * not show the run. `lapsed`: no incarnation keeps the run alive. `other-target`: the address belongs to another target now.
 */
type WithdrawalOutcome = 'run-ended' | 'not-shown' | 'lapsed' | 'other-target' | 'term-ended'

/**
 * Stops the run on the target's current incarnation until that reports the run's end, or until a complete report that was
 * requested when the start could not be executed any more does not show the run. Resolves with the end if the run was
 * executed. A confirmed stop is not enough, since an incarnation that starts later does not know of it.
 *
 * Ends that an incarnation whose leases have expired leaves out of its reports are not awaited: those that it lists are not
 * acknowledged before the start is withdrawn.
 *
 * @example
 * const end = await withdrawStart(options, { task: '5c0e.0.0.1', attempt: 2 })
 */
export async function withdrawStart ({ client, clock, logger, fence, target, longestLeaseMs, ...options }: WithdrawalOptions, { task, attempt }: { readonly task: string, readonly attempt: number }): Promise<FinishedRun | undefined> {
  const key = runKey(task, attempt)
  let wasShown = false
  /** How long the start may still be executed, and its run be kept alive. */
  const describeTimes = (): object => ({ executableForMs: Math.round(options.latestExecutionMs() - clock.monotonicMs()), aliveForMs: Math.round(options.latestRunMs() - clock.monotonicMs()) })
  const conclude = (outcome: WithdrawalOutcome, bornMs?: number): undefined => {
    logger.info({ task, attempt, target, outcome, bornMs, wasShown, ...describeTimes() }, 'withdrawal of a start ended')
  }
  logger.info({ task, attempt, target, ...describeTimes() }, 'withdrawing an unconfirmed start from the next target incarnation')
  /** The end of the run may have been listed beyond the ends that a report returned at this time. */
  let hiddenUntilMs = -Infinity
  while (!options.isClosed() && !options.isRuledOut() && clock.monotonicMs() <= Math.max(options.latestRunMs(), hiddenUntilMs)) {
    const outcome = await client.stop({ task, attempt, fencingToken: fence.nextToken() })
    if (outcome === 'other-life') return conclude('other-target')
    const requestedMs = clock.monotonicMs()
    const result = outcome === 'stopping' ? await client.renew({ fencingToken: fence.nextToken(), acknowledged: 0, waitMs: 0 }) : undefined
    if (result?.outcome === 'other-life') return conclude('other-target')
    let delayMs = RETRY_DELAY_MS
    if (result?.outcome === 'report') {
      const { bornMs, finished, running, mayOmitFinished } = result.report
      const end = finished.find(run => runKey(run.task, run.attempt) === key)
      if (end !== undefined) {
        conclude('run-ended', bornMs)
        return end
      }
      if (running.some(run => runKey(run.task, run.attempt) === key)) {
        wasShown = true
        options.onExecuted()
      } else if (mayOmitFinished && bornMs !== options.lapsedBornMs) {
        hiddenUntilMs = clock.monotonicMs() + MAX_REQUEST_DELAY_MS + longestLeaseMs
      } else {
        const remainingMs = options.latestExecutionMs() - requestedMs
        if (remainingMs < 0) return conclude('not-shown', bornMs)
        options.onRefused()
        delayMs = Math.min(Math.max(remainingMs + 1, RETRY_DELAY_MS), RECHECK_INTERVAL_MS)
      }
    }
    await clock.sleep(delayMs)
  }
  return conclude(options.isClosed() ? 'term-ended' : options.isRuledOut() ? 'not-shown' : 'lapsed')
}
