/** Manages one incarnation of a target under the coordinator's fencing token: its runs and the requests sent to it. */
import type { TargetDescription } from '../../jobs/jobRecords.ts'
import { targetKey } from '../../jobs/jobTable.ts'
import { runInBackground } from '../../lifecycle/runInBackground.ts'
import type { Logger } from '../../observability/logger.ts'
import type { FinishedRun, JobTargetClient, RenewOutcome, RunningTask, TargetReport } from '../../ports/jobTarget.ts'
import type { StartTicket } from '../advice/startTicket.ts'
import { AssignedRuns } from './assignedRuns.ts'
import { runKey } from './assignment.ts'
import type { Assignment } from './assignment.ts'
import { areIsolated } from './crashEvidence.ts'
import type { Outage } from './crashEvidence.ts'
import type { ComputeResources } from '../placement/placeStep.ts'
import { IncarnationEnd } from './incarnationEnd.ts'
import { OverdueAnswers } from './overdueAnswers.ts'
import { RenewalTiming, SHORT_RENEW_WAIT_MS } from './renewalTiming.ts'
import { RunEndNumbers } from './runEndNumbers.ts'
import { RunRequests } from './runRequests.ts'
import type { StartsInTransit } from './startsInTransit.ts'
import { TargetCapacity } from './targetCapacity.ts'
import { TargetContact } from './targetContact.ts'
import type { TargetFence } from './targetFence.ts'
import { TargetLease } from './targetLease.ts'
import type { TargetLeaseOptions } from './targetLease.ts'
import type { IncarnationEndReason, TargetListener } from './targetListener.ts'
import { TargetOffer } from './targetOffer.ts'
import type { TargetListing } from './targetOffer.ts'

const RETRY_DELAY_MS = 150
/** Minimum interval between reports with finished runs, so that a burst of short tasks costs few reports. */
const REPORT_INTERVAL_MS = 60
/** Delay after an answered start until a report is requested as evidence, unless one has shown the run; starts often follow each other closely. */
const EVIDENCE_DELAY_MS = 100
/** Maximum wait for the finished runs of a report to be stored; leases are then renewed without acknowledging them. */
const STORE_WAIT_MS = 500

/** By what the end of an incarnation became known: `report`, of another incarnation in this session; `other-session`, one in another session. */
type EndEvidence = 'report' | 'other-session' | 'refusal' | 'silence'

export interface TargetSessionOptions extends TargetLeaseOptions {
  readonly description: TargetDescription
  readonly client: JobTargetClient
  readonly logger: Logger
  readonly listener: TargetListener
  /** Shared by the sessions of all incarnations of the target. */
  readonly fence: TargetFence
  /** Shared by the sessions of all incarnations of the target. */
  readonly starts: StartsInTransit
  /** Whether the target's data centre is evacuated now, so that no task may be started here. */
  readonly isEvacuated: () => boolean
}

export class TargetSession {
  readonly description: TargetDescription
  readonly key: string
  readonly #options: TargetSessionOptions
  #joined = false
  #hasEnded = false
  #closed = false
  #isEvidenceScheduled = false
  #lastRenewalSentMs = -Infinity
  readonly #ends: RunEndNumbers
  readonly #contact: TargetContact
  readonly #offer: TargetOffer
  readonly #lease: TargetLease
  readonly capacity: TargetCapacity
  readonly #starts: StartsInTransit
  readonly #answers: OverdueAnswers
  readonly #runs: AssignedRuns
  readonly #timing: RenewalTiming
  readonly #requests: RunRequests
  readonly #end: IncarnationEnd

  constructor (options: TargetSessionOptions) {
    this.#options = options
    this.description = options.description
    this.key = targetKey(options.description)
    this.capacity = new TargetCapacity(options.description.capacity)
    this.#ends = new RunEndNumbers(options.description, options.logger)
    this.#contact = new TargetContact(options.clock)
    this.#offer = new TargetOffer(options.clock)
    this.#starts = options.starts
    this.#answers = new OverdueAnswers(options.clock)
    this.#lease = new TargetLease(options, this.#contact)
    this.#runs = new AssignedRuns(this.capacity, this.#starts, {
      runBegun: assignment => options.listener.runBegun(assignment),
      startConfirmed: assignment => options.listener.startConfirmed(this, assignment),
      runMissing: assignment => options.listener.runLost(this, assignment, 'not-reported'),
      runHeld: assignment => options.listener.runHeld(this, assignment),
      unexpectedRun: run => this.#stopUnexpectedRun(run)
    })
    this.#timing = new RenewalTiming({ clock: options.clock, ends: this.#ends, starts: this.#starts, capacity: this.capacity, runs: this.#runs })
    this.#requests = this.#createRequests()
    this.#end = this.#createEnd()
  }

  #createRequests (): RunRequests {
    const { listener, logger } = this.#options
    return new RunRequests({
      ...this.#options,
      contact: this.#contact,
      lease: this.#lease,
      answers: this.#answers,
      runs: this.#runs,
      hasEnded: () => this.#hasEnded,
      listener: {
        startConfirmed: assignment => listener.startConfirmed(this, assignment),
        startRefused: (assignment, refusal) => listener.startRefused(this, assignment, refusal),
        startUnanswered: assignment => listener.startUnanswered(this, assignment),
        fenced: () => listener.fenced(this),
        restarted: () => this.#endIncarnation('restarted', 'refusal'),
        executorUnknown: () => this.#scheduleEvidence(),
        restartSuspected: () => runInBackground(this.#renew(0), logger, 'check for a restart')
      }
    })
  }

  #createEnd (): IncarnationEnd {
    const { listener } = this.#options
    return new IncarnationEnd({
      ...this.#options,
      target: this.id,
      bornMs: this.description.bornMs,
      lease: this.#lease,
      runs: this.#runs,
      isClosed: () => this.#closed,
      reportCrash: () => this.#reportCrash(),
      handleEnd: run => this.#handleFinishedRun(run),
      reportLost: (assignment, reason) => this.#reportRunLost(assignment, reason),
      reportEnded: reason => listener.incarnationEnded(this, reason)
    })
  }

  get id (): string {
    return this.description.id
  }

  get rack (): string {
    return this.description.labels[1] ?? ''
  }

  /** Whether this incarnation has given a report. */
  get joined (): boolean {
    return this.#joined
  }

  /** When the last report of this incarnation was requested, and when it arrived; `-Infinity` before the first. */
  get lastReport (): { readonly requestedMs: number, readonly arrivedMs: number } {
    return { requestedMs: this.#contact.lastReportRequestedMs, arrivedMs: this.#contact.lastReportMs }
  }

  get ended (): boolean {
    return this.#hasEnded
  }

  get assignments (): ReadonlyMap<string, Assignment> {
    return this.#runs.byKey
  }

  /** Whether new tasks may be placed here. */
  get usable (): boolean {
    return this.isUsableAt(this.#options.clock.monotonicMs())
  }

  /** `usable` at a time that a caller with many sessions reads once. */
  isUsableAt (nowMs: number): boolean {
    const answers = this.#joined && !this.#hasEnded && this.#contact.isAnsweringAt(nowMs)
    return answers && this.#offer.isOfferedAt(nowMs) && !this.evacuated && !this.capacity.hasRunsOfUnknownSize && !this.#ends.isAcknowledgementOverdue
  }

  /** Whether a start request is overdue; tasks sent here now may be lost until their leases have expired. */
  get leavesStartsUnanswered (): boolean {
    return this.#answers.any
  }

  /** Whether the target's next incarnation may run tasks that were requested from this one. */
  get mayHaveRunsOnNextIncarnation (): boolean {
    if (this.#hasEnded) return this.#end.mayHaveRunsOnNextIncarnation
    return this.#runs.held.size > 0 || [...this.assignments.values()].some(({ isRunHere, state }) => !isRunHere && state !== 'reserved')
  }

  /** The time during which the target stopped answering; undefined while it answers, and when its incarnation has ended. */
  get outage (): Outage | undefined {
    const { unansweredSinceMs } = this.#contact
    return unansweredSinceMs === undefined || this.#hasEnded ? undefined : this.#describeOutage(unansweredSinceMs)
  }

  /** What a decision on a run of this incarnation rests on, for the log. */
  get logFields (): object {
    return { bornMs: this.description.bornMs, reportRequestedAgoMs: Math.round(this.#options.clock.monotonicMs() - this.#contact.lastReportRequestedMs), routes: this.#options.client.routes }
  }

  get draining (): boolean {
    return this.#offer.draining
  }

  /** Whether nothing more may be sent to the target's data centre; runs that are there continue. */
  get evacuated (): boolean {
    return this.#options.isEvacuated()
  }

  /** Live view of the unassigned capacity. */
  get free (): ComputeResources {
    return this.capacity.free
  }

  /** Applies the target's entry in the target list; undefined if it has none. */
  updateListing (entry: TargetListing | undefined): void {
    this.#offer.updateListing(entry)
    if (entry === undefined) return
    const previous = this.capacity.total
    if (!this.capacity.resize(entry.capacity)) return
    this.#options.logger.info({ target: this.id, previous, capacity: entry.capacity, free: this.free, runs: this.assignments.size }, 'target capacity changed')
  }

  /** Suspends new tasks for `avoidMs` from the second consecutive failure on. */
  recordRunResult (failed: boolean, avoidMs: number): void {
    this.#offer.recordRunResult(failed, avoidMs)
  }

  /** Reserves capacity for a task whose start has not been requested yet. */
  reserve (assignment: Assignment): void {
    assignment.reservedAtMs = this.#options.clock.monotonicMs()
    this.#runs.add(assignment)
  }

  /** Reserves the capacity of a run that an earlier coordinator has seen on this incarnation. */
  reserveStarted (assignment: Assignment): void {
    assignment.evidence = 'recorded'
    this.reserve(assignment)
  }

  /**
   * Reserves the capacity of a run whose start an earlier coordinator may have sent. The start can not be executed after the
   * one time, nor a request of such a coordinator that extends leases after the other.
   */
  recover (assignment: Assignment, latestExecutionMs: number, latestExtensionMs: number): void {
    this.#starts.recordRecovered(assignment, latestExecutionMs, latestExtensionMs)
    this.reserve(assignment)
  }

  /** Frees the capacity reserved for a task whose start was never requested. */
  cancelReservation (assignment: Assignment): void {
    this.#runs.remove(assignment)
  }

  /** Sends the start request for a task with reserved capacity. */
  start (assignment: Assignment, ticket: StartTicket): Promise<void> {
    return this.#requests.start(assignment, ticket)
  }

  /** Stops a run; it holds its capacity until the target reports its end. */
  stop (assignment: Assignment): Promise<void> {
    return this.#requests.stop(assignment)
  }

  /** Renews leases and handles reports until the incarnation or the term ends. */
  async run (): Promise<void> {
    const { clock, logger } = this.#options
    while (!this.#hasEnded) {
      if (!this.#options.hasAuthority()) {
        await clock.sleep(RETRY_DELAY_MS)
        continue
      }
      try {
        await this.#timing.untilDue()
        await this.#renew(this.#renewWaitMs())
      } catch (error) {
        // The leases of all runs on the target would lapse if the session ended here.
        logger.error({ target: this.id, error: error instanceof Error ? error.stack : String(error) }, 'failed to handle a report of the target')
        await clock.sleep(RETRY_DELAY_MS)
      }
    }
    await this.#end.allWithdrawn
    await this.#options.client.close()
  }

  /** Ends the incarnation, since a later one of the target has reported. */
  endReplaced (): void {
    this.#endIncarnation('restarted', 'other-session')
  }

  /** Ends the session at the end of the term, without deciding on its runs. */
  close (): void {
    this.#hasEnded = true
    this.#closed = true
  }

  #renewWaitMs (): number {
    return !this.#joined || this.#contact.unansweredSinceMs !== undefined ? 0 : this.#timing.waitMs()
  }

  async #renew (waitMs: number): Promise<void> {
    const { client, clock, listener, fence } = this.#options
    if (this.#hasEnded) return
    const sentMs = this.#lastRenewalSentMs = clock.monotonicMs()
    // A start that was executed after this incarnation was asked for its last report may have been executed by the next one,
    // which would be told to discard the end of its run unread.
    const acknowledged = this.#starts.mayBeExecutedSince(this.#contact.lastReportRequestedMs) ? 0 : this.#ends.dueAcknowledgement(this.#contact.hasRecentReport)
    this.#ends.recordSent(acknowledged)
    // The lease of a run on an unknown incarnation is not extended, so that its task does not wait for long if the target is gone.
    const leaseUntilTargetMs = this.#joined && !this.#runs.hasUnknownExecutorSince() ? this.#lease.extend() : undefined
    if (leaseUntilTargetMs !== undefined) this.#starts.recordLeaseExtension()
    const fencingToken = leaseUntilTargetMs === undefined && acknowledged === 0 ? fence.nextToken() : fence.tokenForRenewal()
    const result = await client.renew({
      fencingToken,
      acknowledged,
      leaseUntilTargetMs,
      waitMs: acknowledged === 0 && this.#ends.owesAcknowledgement ? 0 : waitMs
    })
    if (this.#hasEnded) return this.#logIgnored(result, sentMs)
    switch (result.outcome) {
      case 'report':
        await this.#handleReport(result.report, sentMs, acknowledged)
        break
      case 'other-life':
        this.#endIncarnation('restarted', 'refusal')
        break
      case 'fenced':
        if (fence.isLatest(fencingToken)) listener.fenced(this)
        break
      case 'failed':
        this.#contact.recordFailedRenewal()
        if (clock.monotonicMs() > this.#lease.allEndedMs) this.#endIncarnation('lease-lapsed', 'silence')
        else await clock.sleep(RETRY_DELAY_MS)
    }
  }

  /** A renewal may wait for 1 s. If the target crashed meanwhile, or the coordinator, the task of the start would have to wait. */
  #scheduleEvidence (): void {
    if (this.#isEvidenceScheduled) return
    this.#isEvidenceScheduled = true
    runInBackground(this.#requestEvidence(), this.#options.logger, 'request of a report')
  }

  async #requestEvidence (): Promise<void> {
    const { client, clock, fence, hasAuthority } = this.#options
    await clock.sleep(EVIDENCE_DELAY_MS)
    this.#isEvidenceScheduled = false
    if (this.#hasEnded || !hasAuthority() || !this.#runs.hasUnknownExecutorSince(this.#lastRenewalSentMs)) return
    const sentMs = this.#lastRenewalSentMs = clock.monotonicMs()
    const result = await client.renew({ fencingToken: fence.nextToken(), acknowledged: 0, waitMs: 0 })
    if (!this.#hasEnded && result.outcome === 'report') await this.#handleReport(result.report, sentMs, 0)
  }

  async #handleReport (report: TargetReport, sentMs: number, acknowledged: number): Promise<void> {
    if (report.bornMs !== this.description.bornMs) return this.#endAfterRestart(report, acknowledged)
    this.#ends.recordDiscarded(acknowledged)
    const nowMs = this.#options.clock.monotonicMs()
    // Reports that were requested beside each other may overtake each other. The clock of one incarnation never goes back.
    if (report.clockMs < this.#contact.lastReportClockMs) return this.#runs.recordReportRequestedAt(sentMs)
    this.#contact.recordReport(report.clockMs, sentMs, nowMs)
    this.#answers.recordReport(sentMs)
    const stored = this.#ends.receive(report.finished, async run => await this.#handleFinishedRun(run))
    this.#runs.compareRunning(report.running, nowMs)
    this.#runs.recordReportRequestedAt(sentMs)
    this.#starts.recordReport(report, sentMs)
    this.#runs.detectMissing(report, sentMs)
    this.#options.listener.reported(this)
    if (!this.#joined) {
      this.#joined = true
      // The session of the earlier incarnation may have sent a start since this one was opened, which extends leases like a renewal.
      this.#options.fence.raiseBeforeNextRequest()
      this.#options.listener.joined(this)
    }
    this.#options.listener.stateChanged()
    // An acknowledgement that is due must not wait until the report is too old for it.
    if (this.#ends.hasPendingStores && !this.#ends.owesAcknowledgement) {
      await Promise.race([this.#ends.allStored.catch(() => {}), this.#options.clock.sleep(stored === undefined ? SHORT_RENEW_WAIT_MS : STORE_WAIT_MS)])
    }
    if (stored === undefined) return
    const remainingMs = REPORT_INTERVAL_MS - (this.#options.clock.monotonicMs() - nowMs)
    if (remainingMs > 0) await this.#options.clock.sleep(remainingMs)
  }

  async #handleFinishedRun (run: FinishedRun): Promise<void> {
    const key = runKey(run.task, run.attempt)
    const assignment = this.assignments.get(key)
    const known = this.#runs.find(key)
    if (known !== undefined) this.#runs.remove(known)
    await this.#options.listener.runEnded(this, run, assignment)
  }

  /** Stops a run whose start request was withdrawn but executed late, or a run of a finished job; returns its resources if they are known. */
  #stopUnexpectedRun ({ task, attempt }: RunningTask): ComputeResources | undefined {
    this.#options.logger.info({ task, attempt, target: this.id, bornMs: this.description.bornMs, free: this.free }, 'stopping an unexpected run')
    runInBackground(this.#requests.sendStop(task, attempt), this.#options.logger, 'stop of a run')
    return this.#options.listener.sizeOfRun(task)
  }

  /** A report that arrives after a later incarnation has reported, or the first one of that incarnation on a second request. */
  #logIgnored (result: RenewOutcome, sentMs: number): void {
    if (this.#closed || result.outcome !== 'report') return
    const { bornMs, clockMs, running } = result.report
    this.#options.logger.info({ target: this.id, bornMs, targetClockMs: clockMs, running: running.length, endedBornMs: this.description.bornMs, requestedAgoMs: Math.round(this.#options.clock.monotonicMs() - sentMs), routes: this.#options.client.routes }, 'ignoring a report in the session of an ended target incarnation')
  }

  #endIncarnation (reason: IncarnationEndReason, shownBy: EndEvidence): void {
    if (!this.#markEnded(reason, shownBy)) return
    if (reason === 'lease-lapsed') this.#end.afterLapse()
    else this.#end.afterRestart()
  }

  #endAfterRestart (report: TargetReport, acknowledged: number): void {
    if (!this.#markEnded('restarted', 'report')) return
    this.#options.logger.info({ target: this.id, bornMs: report.bornMs, targetClockMs: report.clockMs, earlierBornMs: this.description.bornMs, earlierClockMs: this.#contact.expectedClockMs, running: report.running.length, listedEnds: report.finished.length, firstListedEnd: report.finished[0]?.number, acknowledged, routes: this.#options.client.routes }, 'first report of the next target incarnation')
    this.#end.afterRestartSeenIn(report)
  }

  #describeOutage (byMs: number): Outage {
    return { target: this.id, rack: this.rack, afterMs: this.#contact.lastAnswerMs, byMs, hasIsolatedRuns: areIsolated([...this.assignments.values()]) }
  }

  /** Returns false if the incarnation had already ended. */
  #markEnded (reason: IncarnationEndReason, shownBy: EndEvidence): boolean {
    if (this.#hasEnded) return false
    this.#hasEnded = true
    // Its starts may be executed by the next incarnation, and extend leases like renewals.
    this.#options.fence.raiseBeforeNextRequest()
    const assignments = [...this.assignments.values()]
    const unansweredStarts = assignments.filter(({ startAnswered, reported }) => !startAnswered && !reported).length
    const unprovenStarts = assignments.filter(({ isExecutorUnknown }) => isExecutorUnknown).length
    this.#options.logger.info({ target: this.id, bornMs: this.description.bornMs, reason, shownBy, runs: this.assignments.size, discarded: this.#ends.lastDiscarded, unansweredStarts, unprovenStarts, unansweredAcknowledgement: this.#ends.unanswered }, 'target incarnation ended')
    return true
  }

  async #reportCrash (): Promise<void> {
    // A session without runs that was never answered was opened from an entry of the target list that is out of date.
    if (this.draining || (!this.#joined && this.assignments.size === 0)) return
    const outage = this.#describeOutage(this.#contact.unansweredSinceMs ?? this.#options.clock.monotonicMs())
    await this.#options.listener.targetCrashed(this, outage, [...this.assignments.values()].filter(({ state }) => state !== 'reserved'))
  }

  #reportRunLost (assignment: Assignment, reason: IncarnationEndReason): void {
    this.#runs.remove(assignment)
    this.#options.listener.runLost(this, assignment, reason)
  }
}
