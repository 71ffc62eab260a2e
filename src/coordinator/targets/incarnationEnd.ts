/** Decides what becomes of the runs of a target incarnation that has ended, and withdraws their starts from the next one. */
import type { Logger } from '../../observability/logger.ts'
import type { Clock } from '../../ports/clock.ts'
import type { FinishedRun, JobTargetClient, TargetReport } from '../../ports/jobTarget.ts'
import type { AssignedRuns } from './assignedRuns.ts'
import { runKey } from './assignment.ts'
import type { Assignment } from './assignment.ts'
import type { StartsInTransit } from './startsInTransit.ts'
import type { TargetFence } from './targetFence.ts'
import type { TargetLease } from './targetLease.ts'
import type { IncarnationEndReason } from './targetListener.ts'
import { withdrawStart } from './withdrawStart.ts'

export interface IncarnationEndOptions {
  /** Identity of the target, for the log. */
  readonly target: string
  /** Start time of the incarnation. */
  readonly bornMs: number
  readonly client: JobTargetClient
  readonly clock: Clock
  readonly logger: Logger
  readonly fence: TargetFence
  readonly lease: TargetLease
  readonly starts: StartsInTransit
  /** The runs of the incarnation that have not been released. */
  readonly runs: AssignedRuns
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
  /** Runs that the incarnation which is up now may have, or may still begin. */
  readonly #possibleRuns = new Set<Assignment>()

  constructor (options: IncarnationEndOptions) {
    this.#options = options
  }

  /** Resolves when no request sent to the ended incarnation can be executed any more. */
  get allWithdrawn (): Promise<void> {
    return this.#allWithdrawn
  }

  /** Whether the target's current incarnation may run tasks that were requested from the ended one. */
  get mayHaveRunsOnNextIncarnation (): boolean {
    return this.#possibleRuns.size > 0
  }

  /** The target has refused a request as meant for an earlier incarnation, and would refuse any that is in transit. */
  afterRestart (): void {
    this.#releaseAll('restarted', this.#options.reportCrash())
  }

  /** The target may have restarted while it was silent. */
  afterLapse (): void {
    this.#releaseAll('lease-lapsed', Promise.resolve())
  }

  /** The report is the first one of the next incarnation. Runs that this has already finished are accepted. */
  afterRestartSeenIn (report: TargetReport): void {
    this.#releaseAll('restarted', this.#options.reportCrash(), report)
  }

  /**
   * Runs that the ended incarnation executed have ended with it. A later one may have executed the start of any other run, or
   * may still execute it, and ends the run only with a lease of its own clock. So that start is withdrawn before its task is
   * placed again.
   */
  #releaseAll (reason: IncarnationEndReason, crashReported: Promise<void>, report?: TargetReport): void {
    const { runs, isClosed, handleEnd, reportLost, reportEnded } = this.#options
    const ends = new Map(report?.finished.map(run => [runKey(run.task, run.attempt), run]))
    const releases = [...runs.byKey.values(), ...runs.held].map(async assignment => {
      const known = ends.get(assignment.key)
      if (known !== undefined) return await handleEnd(known)
      const [end] = await Promise.all([this.#withdrawUnlessRunHere(assignment, reason), crashReported])
      if (isClosed()) return
      if (end !== undefined) await handleEnd(end)
      // A start that could not be repeated has released its run meanwhile.
      else if (runs.find(assignment.key) !== undefined) reportLost(assignment, reason)
    })
    this.#allWithdrawn = Promise.all(releases).then(() => {
      if (!isClosed()) reportEnded(reason)
    }, () => {
      // The term has ended; the successor receives these ends again, since they are not acknowledged.
    })
  }

  async #withdrawUnlessRunHere (assignment: Assignment, reason: IncarnationEndReason): Promise<FinishedRun | undefined> {
    if (assignment.isRunHere || assignment.state === 'reserved') return undefined
    this.#possibleRuns.add(assignment)
    const end = await this.#withdrawStart(assignment, reason)
    this.#possibleRuns.delete(assignment)
    return end
  }

  async #withdrawStart (assignment: Assignment, reason: IncarnationEndReason): Promise<FinishedRun | undefined> {
    const { target, bornMs, client, clock, logger, fence, lease, starts, runs, isClosed } = this.#options
    return await withdrawStart({
      client,
      clock,
      logger,
      fence,
      target,
      lapsedBornMs: reason === 'lease-lapsed' ? bornMs : undefined,
      isClosed,
      isRuledOut: () => starts.isRuledOut(assignment),
      latestExecutionMs: () => starts.latestExecutionMs(assignment),
      latestRunMs: () => starts.latestExtensionMs(assignment) + lease.longestOnNextIncarnationMs,
      longestLeaseMs: lease.longestOnNextIncarnationMs,
      onExecuted: () => starts.recordExecuted(assignment),
      onRefused: () => {
        this.#possibleRuns.delete(assignment)
        runs.hold(assignment)
      }
    }, { task: assignment.task.name, attempt: assignment.attempt })
  }
}
