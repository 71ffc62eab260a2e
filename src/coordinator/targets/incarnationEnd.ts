/** Decides what becomes of the runs of a target incarnation that has ended, and withdraws their starts from the next one. */
import type { Logger } from '../../observability/logger.ts'
import type { Clock } from '../../ports/clock.ts'
import type { FinishedRun, JobTargetClient, TargetReport } from '../../ports/jobTarget.ts'
import { runKey } from './assignment.ts'
import type { Assignment } from './assignment.ts'
import { startMayStillArrive } from './startsInTransit.ts'
import type { StartsInTransit } from './startsInTransit.ts'
import type { TargetFence } from './targetFence.ts'
import type { TargetLease } from './targetLease.ts'
import type { IncarnationEndReason } from './targetListener.ts'
import { MAX_REQUEST_DELAY_MS, withdrawStart } from './withdrawStart.ts'

export interface IncarnationEndOptions {
  /** Identity of the target, for the log. */
  readonly target: string
  readonly client: JobTargetClient
  readonly clock: Clock
  readonly logger: Logger
  readonly fence: TargetFence
  readonly lease: TargetLease
  readonly starts: StartsInTransit
  /** The runs of the incarnation that have not been released. */
  readonly assignments: ReadonlyMap<string, Assignment>
  /** Whether the target list shows the target, in whichever incarnation. */
  readonly isListed: () => boolean
  /** Whether the term has ended, so that nothing more is decided. */
  readonly isClosed: () => boolean
  /** Resolves when the crash of the target is counted against its runs. */
  readonly reportCrash: () => Promise<void>
  /** Releases a run whose end is known; resolves when the end is stored. */
  readonly handleEnd: (run: FinishedRun) => Promise<void>
  /** Releases a run whose outcome is unknown. */
  readonly reportLost: (assignment: Assignment, reason: IncarnationEndReason) => void
  /** Called when all runs are released. */
  readonly reportEnded: (reason: IncarnationEndReason) => void
}

/**
 * @example
 * const end = new IncarnationEnd(options)
 * end.afterRestartSeenIn(report)
 * await end.allWithdrawn
 */
export class IncarnationEnd {
  readonly #options: IncarnationEndOptions
  #allWithdrawn: Promise<void> = Promise.resolve()

  constructor (options: IncarnationEndOptions) {
    this.#options = options
  }

  /** Resolves when no request sent to the ended incarnation can be executed any more. */
  get allWithdrawn (): Promise<void> {
    return this.#allWithdrawn
  }

  /** The target has refused a request as meant for an earlier incarnation, and would refuse any that is in transit. */
  afterRestart (): void {
    this.#allWithdrawn = this.#options.reportCrash().then(() => {
      if (!this.#options.isClosed()) this.#releaseAll('restarted')
    })
  }

  /**
   * The target may have restarted while it was silent. The next incarnation then has the run of a start that it has answered,
   * or that is in transit, and ends it only with a lease of its own clock.
   */
  afterLapse (): void {
    const { assignments, reportLost } = this.#options
    const withdrawn = [...assignments.values()].filter(startMayStillArrive)
    if (withdrawn.length === 0) return this.#releaseAll('lease-lapsed')
    for (const assignment of [...assignments.values()]) {
      if (!withdrawn.includes(assignment)) reportLost(assignment, 'lease-lapsed')
    }
    this.#endOnceReleased(withdrawn.map(async assignment => await this.#releaseAfterLapse(assignment)), 'lease-lapsed')
  }

  /**
   * The report is the first one of the next incarnation, which has restarted under the same identity and would execute a
   * request that is still in transit. So the request is withdrawn there before its task is placed again. Runs that the next
   * incarnation has already finished are accepted.
   */
  afterRestartSeenIn (report: TargetReport): void {
    const { assignments, starts, reportCrash, handleEnd } = this.#options
    const running = new Set(report.running.map(({ task, attempt }) => runKey(task, attempt)))
    const finishedRuns = new Map(report.finished.map(run => [runKey(run.task, run.attempt), run]))
    const withdrawals: Promise<void>[] = []
    const crashReported = reportCrash()
    for (const assignment of [...assignments.values()]) {
      const { key } = assignment
      const end = finishedRuns.get(key)
      const mayRun = startMayStillArrive(assignment) || running.has(key) || report.mayOmitFinished
      if (end !== undefined) withdrawals.push(handleEnd(end))
      else withdrawals.push(this.#releaseAfterRestart(assignment, mayRun, crashReported))
    }
    for (const assignment of starts.stopped) withdrawals.push(this.#withdrawStoppedStart(assignment))
    this.#endOnceReleased(withdrawals, 'restarted')
  }

  #endOnceReleased (releases: readonly Promise<void>[], reason: IncarnationEndReason): void {
    this.#allWithdrawn = Promise.all(releases).then(() => {
      if (!this.#options.isClosed()) this.#options.reportEnded(reason)
    }, () => {
      // The term has ended; the successor receives these ends again, since they are not acknowledged.
    })
  }

  #releaseAll (reason: IncarnationEndReason): void {
    const { assignments, reportLost, reportEnded } = this.#options
    for (const assignment of [...assignments.values()]) reportLost(assignment, reason)
    reportEnded(reason)
  }

  async #releaseAfterLapse (assignment: Assignment): Promise<void> {
    const { clock, lease, isClosed, handleEnd, reportLost } = this.#options
    const nowMs = clock.monotonicMs()
    const { startAnswered, startedAtMs = nowMs } = assignment
    const earliestEndMs = startAnswered ? startedAtMs + lease.longestOnNextIncarnationMs : nowMs
    const latestEndMs = startAnswered ? earliestEndMs : lease.lastExtensionMs + MAX_REQUEST_DELAY_MS + lease.longestOnNextIncarnationMs
    const end = await this.#withdrawStart(assignment, earliestEndMs, latestEndMs)
    if (isClosed()) return
    if (end !== undefined) return await handleEnd(end)
    reportLost(assignment, 'lease-lapsed')
  }

  async #releaseAfterRestart (assignment: Assignment, mayRun: boolean, crashReported: Promise<void>): Promise<void> {
    const { isClosed, handleEnd, reportLost } = this.#options
    const [end] = await Promise.all([mayRun ? this.#withdrawStartInTransit(assignment) : undefined, crashReported])
    if (isClosed()) return
    if (end !== undefined) return await handleEnd(end)
    reportLost(assignment, 'restarted')
  }

  /** The task of such a start has been released already, so that only the run has to be prevented. */
  async #withdrawStoppedStart (assignment: Assignment): Promise<void> {
    await this.#withdrawStartInTransit(assignment)
    this.#options.starts.recordWithdrawn(assignment)
  }

  /** After a restart, a start is withdrawn until it can not be in transit any more, and until its run has ended. */
  async #withdrawStartInTransit (assignment: Assignment): Promise<FinishedRun | undefined> {
    const { clock, lease } = this.#options
    const earliestEndMs = clock.monotonicMs() + MAX_REQUEST_DELAY_MS
    return await this.#withdrawStart(assignment, earliestEndMs, earliestEndMs + lease.longestOnNextIncarnationMs)
  }

  async #withdrawStart ({ task, attempt }: Assignment, earliestEndMs: number, latestEndMs: number): Promise<FinishedRun | undefined> {
    const { target, client, clock, logger, fence, lease, isListed, isClosed } = this.#options
    return await withdrawStart({
      client, clock, logger, fence, target, isClosed, isListed, longestLeaseMs: lease.longestOnNextIncarnationMs, earliestEndMs, latestEndMs
    }, { task: task.name, attempt })
  }
}
