/** Runs the cluster's jobs during one term of leadership: recovers them, places their tasks and records their outcomes. */
import type { QueueSettings } from '../jobs/desiredState.ts'
import { parseTaskName } from '../jobs/job.ts'
import type { JobProgress } from '../jobs/jobProgress.ts'
import type { CrashRecord, LogRecord, RunEndRecord } from '../jobs/jobRecords.ts'
import type { JobTable } from '../jobs/jobTable.ts'
import type { StepProgress } from '../jobs/stepProgress.ts'
import { runInBackground } from '../lifecycle/runInBackground.ts'
import { JobMetrics } from '../observability/jobMetrics.ts'
import type { Logger } from '../observability/logger.ts'
import type { TimerClock } from '../ports/clock.ts'
import type { FinishedRun, PlacedTargetConnector, StartRefusal } from '../ports/jobTarget.ts'
import type { TargetDirectory } from '../ports/targetDirectory.ts'
import type { TransactionalStore } from '../ports/transactionalStore.ts'
import type { AdviceLanes } from './advice/adviceLanes.ts'
import type { Assignment } from './targets/assignment.ts'
import { COORDINATOR_KEY } from './log/election.ts'
import type { CoordinatorInfo } from './log/election.ts'
import type { RoomForecast } from './forecast/roomForecast.ts'
import { AdmissionControl } from './admission/admissionControl.ts'
import type { AdmissionObserver } from './admission/admissionObserver.ts'
import { FeasibilityAdmission } from './admission/feasibilityAdmission.ts'
import { classifyCrash, createCrashRecords, hasCommonCause, OutageHistory } from './targets/crashEvidence.ts'
import type { Outage } from './targets/crashEvidence.ts'
import type { DesiredStateWatcher } from './desiredStateWatcher.ts'
import type { RunTimesStatus } from './forecast/learnedRunTimes.ts'
import { SlowTargets } from './forecast/slowTargets.ts'
import { findExtremes, LearnedRunTimes } from './forecast/learnedRunTimes.ts'
import { OutcomeRetention } from './log/outcomeRetention.ts'
import { compactLog } from './log/logCompactor.ts'
import { readLog } from './log/logReader.ts'
import { createStartExpiryRecords } from './log/startExpiries.ts'
import { requiredResources } from './placement/placeStep.ts'
import type { ComputeResources } from './placement/placeStep.ts'
import { RecordLog } from './log/recordLog.ts'
import { StartedRuns } from './log/startedRuns.ts'
import { EvacuationReport } from './targets/evacuationReport.ts'
import { TargetFleet } from './targets/targetFleet.ts'
import type { IncarnationEndReason, TargetListener } from './targets/targetListener.ts'
import type { TargetSession } from './targets/targetSession.ts'
import { TaskPlacer } from './placement/taskPlacer.ts'

/** How long a target gets no new tasks after two consecutive failed tasks. */
const AVOID_AFTER_FAILURES_MS = 4_000
/** The same after two consecutive refused starts. */
const AVOID_AFTER_REFUSALS_MS = 100
const RETRY_DELAY_MS = 100
/** How long the crash of a target waits for those of others, before it counts against the runs that were lost. */
const COINCIDENCE_WAIT_MS = 300
/** New jobs are refused once the store has rejected records for longer than this. */
const STORE_FAILURE_THRESHOLD_MS = 400
const HOUSEKEEPING_INTERVAL_MS = 1_000
/** Interval between event loop utilization samples; short compared with the time that a caller waits. */
const UTILIZATION_INTERVAL_MS = 400
/** Bounds what a successor reads before it accepts jobs: one page of the store. */
const SEGMENTS_BETWEEN_SNAPSHOTS = 400
/** The same for wide jobs, whose segments are large. */
const LOG_BYTES_BETWEEN_SNAPSHOTS = 1_000_000
/** Bounds the writes of learned run times. */
const RUN_TIMES_RECORD_INTERVAL_MS = 5_000
const MAX_LOGGED_TARGETS = 10
const MAX_RECOVERED_AGE_MS = 3_600_000

export interface CoordinatorOptions {
  readonly store: TransactionalStore
  readonly clock: TimerClock
  readonly logger: Logger
  /** Shows what this coordinator decides; of its own if omitted. */
  readonly metrics?: JobMetrics
  readonly info: CoordinatorInfo
  readonly connect: PlacedTargetConnector
  /** Resolves when the targets connected so far can be called at a low cost; called before their sessions begin. */
  readonly prepareConnections: () => Promise<void>
  readonly directory: TargetDirectory
  /** Follows the desired state during the term. */
  readonly desired: DesiredStateWatcher
  readonly lanes: AdviceLanes
  readonly hasAuthority: () => boolean
  /** Whether the last renewal of the election lease failed. */
  readonly storeFails: () => boolean
  /** Whether the store still names this instance as coordinator; false if that cannot be determined. */
  readonly confirmLeadership: () => Promise<boolean>
  readonly resign: (reason: string) => void
  /** Renews the election at once. */
  readonly renewElection: () => void
  readonly targetLeaseMs: number
  readonly finishedJobMs: number
  /** Factor by which a run takes longer away from its data until it has been learned; 1 if missing. */
  readonly remoteFactor?: number
  /** Whether submissions are judged by when they could end; otherwise by how many jobs of their team wait. */
  readonly admitsByExpectedEnd?: boolean
}

/** Figures of the run times and the forecast. */
export type ForecastStatus = RunTimesStatus & {
  /** Targets that get tasks last, since runs take longer there. */
  readonly slowTargets: number
}

export class JobCoordinator implements TargetListener {
  readonly #options: CoordinatorOptions
  readonly #clock: TimerClock
  readonly #logger: Logger
  readonly #termStartedAtMs: number
  readonly #fleet: TargetFleet
  readonly #placer: TaskPlacer
  readonly #admission: AdmissionControl
  readonly #metrics: JobMetrics
  readonly #evacuationReport: EvacuationReport
  #stopFollowingEvacuations: () => void = () => {}
  readonly #runTimes: LearnedRunTimes
  readonly #slowTargets: SlowTargets
  readonly #feasibility: FeasibilityAdmission | undefined
  readonly #outages = new OutageHistory()
  readonly #startedRuns: StartedRuns
  /** Latest queue settings appended to the log, by queue name. */
  readonly #recordedQueues = new Map<string, QueueSettings>()
  #table: JobTable | undefined
  #log: RecordLog | undefined
  #retention: OutcomeRetention | undefined
  /** Sequence number of the log at the last compaction. */
  #lastCompactedSequence = 0
  /** Bytes of the segments since the last compaction that were stored before this term. */
  #recoveredLogBytes = 0
  #compacting = false
  #runTimesRecordedAtMs = -Infinity
  #closed = false

  constructor (options: CoordinatorOptions) {
    const { clock, logger, connect, directory, info, targetLeaseMs, hasAuthority, lanes, desired } = options
    this.#options = options
    this.#clock = clock
    this.#logger = logger
    this.#termStartedAtMs = clock.monotonicMs()
    this.#metrics = options.metrics ?? new JobMetrics()
    this.#evacuationReport = new EvacuationReport(logger, this.#metrics)
    this.#fleet = new TargetFleet({
      clock, logger, connect, directory, listener: this, fencingToken: info.fence, latestRevision: () => this.#log?.lastRevision ?? info.fence, targetLeaseMs, hasAuthority, evacuations: () => desired.evacuations, termStartedAtMs: this.#termStartedAtMs
    })
    this.#startedRuns = new StartedRuns(clock)
    this.#admission = new AdmissionControl(clock)
    this.#runTimes = new LearnedRunTimes({ defaultRemoteFactor: options.remoteFactor ?? 1 })
    this.#slowTargets = new SlowTargets(this.#runTimes)
    this.#feasibility = options.admitsByExpectedEnd === true ? new FeasibilityAdmission(clock) : undefined
    this.#placer = new TaskPlacer({
      clock, logger, metrics: this.#metrics, admission: this.#admission, feasibility: this.#feasibility, runTimes: this.#runTimes, isSlow: ({ key }) => this.#slowTargets.isSlow(key), fleet: this.#fleet, lanes, termStartedAtMs: this.#termStartedAtMs, desiredState: () => desired.index, hasAuthority, append: async records => await this.#append(records)
    })
  }

  /** Whether jobs can be accepted and read. */
  get ready (): boolean {
    return this.#table !== undefined && !this.#closed
  }

  get table (): JobTable {
    if (this.#table === undefined) throw new Error('the job log has not been recovered yet')
    return this.#table
  }

  get info (): CoordinatorInfo {
    return this.#options.info
  }

  /** Tracks the load of this process. */
  get admission (): AdmissionControl {
    return this.#admission
  }

  /** Expected run times of tasks. */
  get runTimes (): LearnedRunTimes {
    return this.#runTimes
  }

  /** The time of day for records of outcomes, which does not jump during the term. */
  get outcomeWallMs (): number {
    return this.#retention?.nowMs ?? this.#clock.wallMs()
  }

  /** Figures of the run times and the forecast, for metrics. */
  get forecastStatus (): ForecastStatus {
    return { ...this.#runTimes.status, slowTargets: this.#slowTargets.slow.size }
  }

  /** When capacity becomes free. */
  get forecast (): RoomForecast {
    return this.#placer.forecast
  }

  /** Decides which jobs can still end in time; undefined if submissions are not judged by that. */
  get feasibility (): FeasibilityAdmission | undefined {
    return this.#feasibility
  }

  get admissionObserver (): AdmissionObserver {
    return this.#metrics
  }

  /** Whether the store is known to be rejecting records. */
  get storeFails (): boolean {
    const since = this.#log?.failingSinceMs
    return this.#options.storeFails() || this.#log?.stalled === true || (since !== undefined && this.#clock.monotonicMs() - since > STORE_FAILURE_THRESHOLD_MS)
  }

  /** Checks with the store that no other coordinator can have accepted jobs unknown to this one. */
  async confirmLeadership (): Promise<boolean> {
    return await this.#options.confirmLeadership()
  }

  /**
   * Recovers the state of earlier coordinators, then places tasks until the term ends. No call is handled on a desired
   * state older than the term, since an earlier coordinator may have applied a newer one.
   */
  async open (): Promise<void> {
    const [read] = await Promise.all([this.#readLog(), this.#options.desired.confirmed])
    if (this.#closed) return
    this.#log = new RecordLog({
      store: this.#options.store,
      clock: this.#clock,
      logger: this.#logger,
      election: this.#election,
      nextSequence: read.nextSequence,
      onTermLost: reason => this.#options.resign(reason),
      onFailing: () => this.#options.renewElection(),
      onStalled: () => this.#withdrawUnsentJobs()
    })
    this.#table = read.table
    this.#lastCompactedSequence = read.nextSequence - read.segments
    this.#recoveredLogBytes = read.segmentBytes
    this.#runTimes.restore(read.table.runTimeModels, this.#clock.monotonicMs())
    const jobs = [...read.table.jobs.values()]
    const retention = this.#retention = new OutcomeRetention(this.#clock, read.table, this.#options.finishedJobMs)
    this.#recoverJobs(read.table, retention)
    this.#logger.info({ fence: this.info.fence, segments: read.segments, bytes: read.bytes, jobs: read.table.jobs.size, targets: read.table.targets.size, tookMs: Math.round(this.#clock.monotonicMs() - this.#termStartedAtMs) }, 'job log recovered')
    for (const description of read.table.targets.values()) this.#fleet.openRecorded(description)
    this.#recoverRuns(jobs)
    await this.#options.prepareConnections()
    if (this.#closed) return
    await this.#fleet.start()
    await this.#fleet.awaitJoins()
    if (this.#closed) return
    this.#placer.start()
    this.#stopFollowingEvacuations = this.#options.desired.onEvacuationsChanged(() => this.#handleEvacuations())
    this.#handleEvacuations()
    runInBackground(this.#runHousekeeping(), this.#logger, 'housekeeping')
    runInBackground(this.#monitorUtilization(), this.#logger, 'event loop utilization monitor')
  }

  /** Ends the term; no further decisions are made. */
  close (): void {
    this.#closed = true
    this.#stopFollowingEvacuations()
    this.#evacuationReport.close()
    this.#log?.close()
    this.#placer.close()
    this.#fleet.close()
  }

  /** Applies records to the job table and appends them to the log; resolves when they are durable. */
  applyAndAppend (records: readonly LogRecord[]): Promise<void> {
    for (const record of records) this.table.apply(record)
    return this.#append(records)
  }

  /** Enqueues the steps of a new job for placement. */
  enqueueJob (job: JobProgress): void {
    this.#openDueOccurrences(job)
    for (const step of job.steps) this.#placer.enqueueStep(step)
    this.stateChanged()
  }

  /** Returns the records needed for a queue whose current settings are not yet in the log. */
  missingQueueRecords (queue: QueueSettings): readonly LogRecord[] {
    if (JSON.stringify(this.#recordedQueues.get(queue.name)) === JSON.stringify(queue)) return []
    this.#recordedQueues.set(queue.name, queue)
    return [{ type: 'queue', queue }]
  }

  /** Stops all runs of a finished job, and retains its outcome once that is durable. */
  finalizeJob (job: JobProgress, durable: Promise<void>): void {
    if (job.outcome === undefined) return
    for (const step of job.steps) this.#placer.removeStep(step)
    this.#fleet.stopRuns(assignment => assignment.task.step.job === job)
    durable.then(() => {
      const { id, queue, team } = job.record
      this.#retention?.finish(job)
      this.#logger.info({ job: id, team, queue, outcome: job.outcome, cause: job.failureCause, waitedMs: job.startedAtMs === undefined ? undefined : Math.round(job.startedAtMs - job.acceptedAtMs), ageMs: Math.round(this.#clock.monotonicMs() - job.acceptedAtMs) }, 'job ended')
    }, () => {})
  }

  /** Resolves when all records appended so far are stored. */
  async flushed (): Promise<void> {
    await this.#log?.flushed()
  }

  // TargetListener: events reported by target sessions.

  async runEnded (session: TargetSession, run: FinishedRun, assignment: Assignment | undefined): Promise<void> {
    if (assignment !== undefined) this.#placer.releaseUsage(assignment)
    if (run.end === 'done' && assignment !== undefined) this.#slowTargets.recordEnd(session.key, assignment, this.#clock.monotonicMs())
    if (run.end === 'failed' || run.end === 'done') session.recordRunResult(run.end === 'failed', AVOID_AFTER_FAILURES_MS)
    const name = parseTaskName(run.task)
    const job = name === undefined ? undefined : this.table.jobs.get(name.job)
    if (name === undefined || job === undefined) return await this.flushed()
    const record: RunEndRecord = { type: 'run-end', ...name, attempt: run.attempt, end: run.end, checkpoint: run.checkpoint }
    const step = job.findStep(name.occurrence, name.step)
    const jobHadEnded = job.outcome !== undefined
    if (step === undefined || !job.applyRunEnd(record)) return await this.flushed()
    if (run.end !== 'done') this.#logger.info({ job: job.id, task: run.task, attempt: run.attempt, end: run.end, target: session.id }, 'run ended without success')
    if (run.end === 'done' && assignment !== undefined) this.#learnRunTime(step, assignment)
    if (run.end === 'failed') this.#placer.recordFailedTarget(step, session)
    const stored = this.#append([record])
    if (!jobHadEnded) this.#continueJob(job, step, run, stored)
    await stored
  }

  runHeld (session: TargetSession, assignment: Assignment): void {
    const { task, attempt } = assignment
    this.#placer.releaseUsage(assignment)
    this.#logger.info({ job: task.step.job.id, task: task.name, attempt, target: session.id, ...session.logFields }, 'a task waits until its unanswered start can not be executed any more')
  }

  runLost (session: TargetSession, assignment: Assignment, reason: string): void {
    const { task } = assignment
    if (assignment.state !== 'held') this.#placer.releaseUsage(assignment)
    const { job } = task.step
    if (job.outcome === undefined) this.#logger.info({ job: job.id, task: task.name, attempt: assignment.attempt, target: session.id, ...session.logFields, state: assignment.state, confirmedAgoMs: Math.round(this.#clock.monotonicMs() - assignment.confirmedAtMs), startAnswered: assignment.startAnswered, reported: assignment.reported, evidence: assignment.evidence, reason }, 'run lost')
    this.#placer.requeueTask(task, assignment.attempt)
  }

  startRefused (session: TargetSession, assignment: Assignment, refusal: StartRefusal): void {
    const { task } = assignment
    this.#placer.releaseUsage(assignment)
    this.#logger.info({ job: task.step.job.id, task: task.name, attempt: assignment.attempt, target: session.id, refusal }, 'target refused a task')
    if (refusal === 'ticket') this.#placer.invalidateTicket(task.step, session)
    // A relayed start that was held back says nothing about the target, which gets work as soon as the evacuation ends.
    if (session.evacuated && refusal === 'unhealthy') this.#metrics.countStartsGivenBack(1)
    else if (refusal === 'unhealthy' || refusal === 'no-room') session.recordRunResult(true, AVOID_AFTER_REFUSALS_MS)
    this.#placer.requeueTask(task, assignment.attempt)
  }

  startConfirmed (session: TargetSession, assignment: Assignment): void {
    const { job } = assignment.task.step
    if (job.outcome !== undefined) return runInBackground(session.stop(assignment), this.#logger, 'stop of a run')
    if (job.hasStarted) return
    job.markStarted(this.#clock.monotonicMs())
    const expectedMs = this.#feasibility?.recordStart(job)
    if (expectedMs !== undefined) this.#metrics.observeStart(job.queue.priority, expectedMs, this.#clock.monotonicMs() - job.acceptedAtMs)
  }

  runBegun ({ task, attempt }: Assignment): void {
    this.#startedRuns.add(task, attempt)
  }

  /** Stops the other members of a gang, which would only wait until the missing one has certainly ended. */
  startUnanswered (session: TargetSession, assignment: Assignment): void {
    const { step } = assignment.task
    if (!step.definition.gang) return
    this.#logger.info({ job: step.job.id, step: step.name, attempt: assignment.attempt, target: session.id }, 'stopping a gang: the start of a member was not answered')
    this.#fleet.stopRuns(other => other !== assignment && other.task.step === step && other.attempt === assignment.attempt)
  }

  reported (session: TargetSession): void {
    this.#fleet.endEarlierIncarnations(session)
  }

  joined (session: TargetSession): void {
    if (this.#fleet.isRecorded(session)) return
    this.applyAndAppend([{ type: 'target', target: session.description }]).then(() => {
      this.#fleet.markRecorded(session)
      this.stateChanged()
    }, () => {})
  }

  /** Records what the crash shows about each run, before their tasks are placed again, and gives up jobs that caused it. */
  async targetCrashed (session: TargetSession, outage: Outage, runs: readonly Assignment[]): Promise<void> {
    this.#outages.record(outage)
    // Failures of other targets with the same cause may be noticed a little later.
    if (runs.length > 0) await this.#clock.sleep(COINCIDENCE_WAIT_MS)
    if (this.#closed) return
    const coincident = this.#outages.findCoincident(outage, this.#fleet.outages)
    const hasOtherCause = hasCommonCause(outage, coincident) || session.capacity.hasUnexpectedRuns
    const evidence = [...classifyCrash({ runs, lastAnswerMs: outage.afterMs, hasOtherCause })]
    this.#logger.info({ target: session.id, hasOtherCause, coincident: coincident.map(({ target }) => target), windowMs: Math.round(outage.byMs - outage.afterMs), runs: evidence.map(([{ key }, each]) => [key, each]) }, 'target crashed')
    this.#applyCrash(session, createCrashRecords(session.id, evidence.filter(([{ task }]) => task.step.job.outcome === undefined)))
  }

  #applyCrash (session: TargetSession, records: readonly CrashRecord[]): void {
    if (records.length === 0) return
    const stored = this.applyAndAppend(records)
    stored.catch(() => {
      // The term has ended; the successor learns of the crash from the target.
    })
    for (const job of new Set(records.map(record => this.table.jobs.get(record.job)))) {
      if (job?.outcome === undefined) continue
      this.#logger.warn({ job: job.id, team: job.team, target: session.id, cause: job.failureCause }, 'job given up: the targets that start one of its tasks crash')
      this.finalizeJob(job, stored)
    }
  }

  incarnationEnded (session: TargetSession, reason: IncarnationEndReason): void {
    if (this.#fleet.remove(session)) {
      const { id, bornMs } = session.description
      this.applyAndAppend([{ type: 'target-gone', id, bornMs }]).catch(() => {})
    }
    this.#logger.info({ target: session.id, reason }, 'target removed')
    this.stateChanged()
  }

  fenced (session: TargetSession): void {
    this.#options.resign(`target ${session.id} reported a newer fencing token`)
  }

  stateChanged (): void {
    this.#placer.schedulePass()
  }

  sizeOfRun (task: string): ComputeResources | undefined {
    const name = parseTaskName(task)
    const step = name === undefined ? undefined : this.table.jobs.get(name.job)?.definition.steps[name.step]
    return step === undefined ? undefined : requiredResources(step)
  }

  async #readLog (): Promise<Awaited<ReturnType<typeof readLog>>> {
    const { store } = this.#options
    return await readLog({
      get: async key => await this.#readUntilAnswered(async () => await store.get(key)),
      listPage: async (prefix, after) => await this.#readUntilAnswered(async () => await store.listPage(prefix, after))
    }, record => this.#clock.monotonicMs() - Math.min(Math.max(this.#clock.wallMs() - record.acceptedWallMs, 0), MAX_RECOVERED_AGE_MS))
  }

  /** Repeats a read of the log; pages that have been read are not read again, since the log does not change meanwhile. */
  async #readUntilAnswered<Answer> (read: () => Promise<Answer>): Promise<Answer> {
    for (;;) {
      try {
        return await read()
      } catch (error) {
        if (this.#closed) throw error
        this.#logger.warn({ error: String(error) }, 'failed to read the job log; retrying')
        await this.#clock.sleep(RETRY_DELAY_MS)
      }
    }
  }

  #append (records: readonly LogRecord[]): Promise<void> {
    const appended = this.#log?.append(records) ?? Promise.reject(new Error('the job log is not open'))
    this.#recordStartedRuns()
    return appended
  }

  /** Appended apart, since other records may be withdrawn; both are in one segment. */
  #recordStartedRuns (): void {
    const records = this.#startedRuns.takeDue()
    if (records.length === 0) return
    this.#log?.append(records).catch(() => {
      // The term has ended; the successor takes these starts for ones in transit.
    })
  }

  #recordStartExpiries (): void {
    if (this.storeFails) return
    const records = createStartExpiryRecords(this.#fleet.expiringStarts, this.#clock.monotonicMs())
    if (records.length === 0) return
    this.applyAndAppend(records).catch(() => {
      // The term has ended; the successor waits for these starts as long as the earlier records say.
    })
  }

  #recoverJobs (table: JobTable, retention: OutcomeRetention): void {
    for (const job of [...table.jobs.values()]) {
      if (job.outcome !== undefined) {
        if (job.outcome === 'failed') this.#logger.info({ job: job.id, team: job.team, queue: job.record.queue, cause: job.failureCause }, 'job recovered as failed')
        retention.finish(job)
        continue
      }
      this.#recordedQueues.set(job.queue.name, table.queue(job.queue.name) ?? job.queue)
      this.#openDueOccurrences(job)
      for (const step of job.steps) this.#placer.enqueueStep(step)
    }
  }

  /**
   * Runs placed by earlier coordinators hold their resources until their targets report or their leases expire. Those of
   * jobs that have ended may still be being stopped.
   */
  #recoverRuns (jobs: readonly JobProgress[]): void {
    for (const job of jobs) {
      for (const step of job.steps) {
        for (const task of step.tasks) {
          if (task.state === 'assigned') this.#placer.recoverRun(task)
        }
      }
    }
  }

  #openDueOccurrences (job: JobProgress): void {
    for (;;) {
      const dueMs = job.nextDueWallMs
      if (dueMs === undefined || dueMs > this.#clock.wallMs()) return
      for (const step of job.openOccurrence(job.openOccurrences)) this.#placer.enqueueStep(step)
    }
  }

  async #runHousekeeping (): Promise<void> {
    while (!this.#closed) {
      await this.#clock.sleep(HOUSEKEEPING_INTERVAL_MS)
      try {
        this.#runHousekeepingOnce()
      } catch (error) {
        this.#logger.error({ error: error instanceof Error ? error.stack : String(error) }, 'housekeeping failed')
      }
    }
  }

  #runHousekeepingOnce (): void {
    this.#retention?.evict()
    for (const job of this.table.jobs.values()) {
      if (job.definition.repetition !== undefined) this.#openDueOccurrences(job)
    }
    this.#placer.reportWaits()
    this.#recordRunTimes()
    this.#recordStartedRuns()
    this.#recordStartExpiries()
    this.#updateSlowTargets()
    // Not awaited: occurrences become due while the store is slow, and one compaction takes many calls.
    runInBackground(this.#compactIfDue(), this.#logger, 'log compaction')
    this.stateChanged()
  }

  /** Called for one member of a gang, since its members end together. */
  #learnRunTime (step: StepProgress, { startedAtMs, isStartSeen, isResumed, isRemote }: Assignment): void {
    if (startedAtMs === undefined || !isStartSeen || isResumed) return
    const nowMs = this.#clock.monotonicMs()
    this.#runTimes.learn({ step, durationMs: nowMs - startedAtMs, isRemote, nowMs })
  }

  /** Stores the learned run times that have changed, so that a successor starts with them. */
  #recordRunTimes (): void {
    const nowMs = this.#clock.monotonicMs()
    if (this.storeFails || nowMs - this.#runTimesRecordedAtMs < RUN_TIMES_RECORD_INTERVAL_MS) return
    const record = this.#runTimes.takeChanges()
    if (record === undefined) return
    this.#runTimesRecordedAtMs = nowMs
    this.#logger.info({ models: record.models.length, ...this.#runTimes.status, ...findExtremes(record) }, 'learned run times recorded')
    this.applyAndAppend([record]).catch(() => {
      // The term has ended; the successor continues with the models of the last record.
    })
  }

  #updateSlowTargets (): void {
    const changed = this.#slowTargets.update(this.#fleet.usable, this.#clock.monotonicMs())
    const { slow } = this.#slowTargets
    if (changed) this.#logger.info({ count: slow.size, targets: [...slow].slice(0, MAX_LOGGED_TARGETS) }, 'slow targets changed')
  }

  async #monitorUtilization (): Promise<void> {
    let previous = performance.eventLoopUtilization()
    while (!this.#closed) {
      await this.#clock.sleep(UTILIZATION_INTERVAL_MS)
      const now = performance.eventLoopUtilization()
      this.#admission.recordUtilization(performance.eventLoopUtilization(now, previous).utilization)
      previous = now
    }
  }

  /** A failed compaction is retried when the log has grown as much again. */
  async #compactIfDue (): Promise<void> {
    const log = this.#log
    if (log === undefined || this.#compacting) return
    const isLong = log.nextSequence - this.#lastCompactedSequence >= SEGMENTS_BETWEEN_SNAPSHOTS
    if (!isLong && this.#recoveredLogBytes + log.bytesSinceCompaction < LOG_BYTES_BETWEEN_SNAPSHOTS) return
    this.#lastCompactedSequence = log.nextSequence
    this.#recoveredLogBytes = 0
    log.resetBytesSinceCompaction()
    // The snapshot contains jobs whose records have not been committed yet.
    log.preventWithdrawal()
    const lastSequence = log.nextSequence - 1
    this.#compacting = true
    try {
      await compactLog({ store: this.#options.store, logger: this.#logger, election: this.#election, table: this.table, lastSequence })
    } catch (error) {
      this.#logger.warn({ error: String(error), sequence: lastSequence }, 'log compaction failed')
    } finally {
      this.#compacting = false
    }
  }

  /**
   * Withdraws jobs that were not sent to the store while it does not respond, so that their callers can retry at once.
   * None of their tasks was started: start requests are sent only after the job's record is in the log.
   */
  #withdrawUnsentJobs (): void {
    const log = this.#log
    for (const id of log?.unsentJobs ?? []) {
      const job = this.table.jobs.get(id)
      if (job === undefined || log?.withdrawJob(id) !== true) continue
      job.cancel()
      for (const step of job.steps) this.#placer.removeStep(step)
      this.table.discard(id)
      this.#logger.info({ job: id, team: job.team, queue: job.record.queue, ageMs: Math.round(this.#clock.monotonicMs() - job.acceptedAtMs) }, 'job withdrawn before it was durable')
    }
  }

  /** Whether a later run of the finished task was placed. */
  #hasLaterRun ({ definition, tasks }: StepProgress, { task, attempt }: FinishedRun): boolean {
    return !definition.gang && tasks.some(({ name, attempt: last }) => name === task && last > attempt)
  }

  get #election (): { readonly key: string, readonly revision: number } {
    return { key: COORDINATOR_KEY, revision: this.info.fence }
  }

  /** Places waiting tasks at once, elsewhere or again in data centres that are no longer evacuated. */
  #handleEvacuations (): void {
    this.#evacuationReport.update(this.#options.desired.evacuations, this.#fleet.sessions)
    this.stateChanged()
  }

  /** Advances a job after one of its runs has ended. */
  #continueJob (job: JobProgress, step: StepProgress, run: FinishedRun, stored: Promise<void>): void {
    if (job.outcome !== undefined) return this.finalizeJob(job, stored)
    if (run.end === 'done') {
      if (this.#hasLaterRun(step, run)) this.#fleet.stopRuns(assignment => assignment.task.step === step && assignment.task.state === 'done')
      if (step.done) for (const next of job.steps) this.#placer.enqueueStep(next)
    } else {
      this.#placer.retryStep(step)
    }
    this.stateChanged()
  }
}
