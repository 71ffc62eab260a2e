/** Runs the jobs of the cluster during one term: recovers them, places their tasks and records their ends. */
import type { DesiredState, QueueSettings } from '../jobs/desiredState.ts'
import { parseTaskName } from '../jobs/job.ts'
import type { JobProgress } from '../jobs/jobProgress.ts'
import type { LogRecord, RunEndRecord } from '../jobs/jobRecords.ts'
import type { JobTable } from '../jobs/jobTable.ts'
import type { StepProgress } from '../jobs/stepProgress.ts'
import { runInBackground } from '../lifecycle/runInBackground.ts'
import type { Logger } from '../observability/logger.ts'
import type { TimerClock } from '../ports/clock.ts'
import type { FinishedRun, JobTargetConnector, StartRefusal } from '../ports/jobTarget.ts'
import type { TargetDirectory } from '../ports/targetDirectory.ts'
import type { TransactionalStore } from '../ports/transactionalStore.ts'
import type { AdviceLanes } from './adviceLanes.ts'
import type { Assignment } from './assignment.ts'
import { COORDINATOR_KEY } from './election.ts'
import type { CoordinatorInfo } from './election.ts'
import { AdmissionControl } from './admissionControl.ts'
import { compactLog } from './logCompactor.ts'
import { readLog } from './logReader.ts'
import { RecordLog } from './recordLog.ts'
import { TargetFleet } from './targetFleet.ts'
import type { IncarnationEnd, TargetListener, TargetSession } from './targetSession.ts'
import { TaskPlacer } from './taskPlacer.ts'

/** Targets that failed two tasks in a row get no new ones for that long. */
const AVOID_AFTER_FAILURES_MS = 4_000
/** The same for targets that refused two starts in a row. */
const AVOID_AFTER_REFUSALS_MS = 100
const RETRY_DELAY_MS = 100
/** While the store has refused records for longer, nothing is accepted. */
const STORE_FAILURE_THRESHOLD_MS = 400
const HOUSEKEEPING_INTERVAL_MS = 1_000
/** Between two measurements of the busy part of the time; short against the time for which a caller waits. */
const UTILIZATION_INTERVAL_MS = 400
/** Read in about a third of a second by a successor, as measured on the bench (1,277 segments in 232 ms). */
const SEGMENTS_BETWEEN_SNAPSHOTS = 1_500
const MAX_RECOVERED_AGE_MS = 3_600_000

export interface CoordinatorOptions {
  readonly store: TransactionalStore
  readonly clock: TimerClock
  readonly logger: Logger
  readonly info: CoordinatorInfo
  readonly connect: JobTargetConnector
  readonly directory: TargetDirectory
  readonly desiredState: () => DesiredState
  readonly lanes: AdviceLanes
  readonly hasAuthority: () => boolean
  /** Whether the store does not renew the election. */
  readonly storeFails: () => boolean
  /** Whether the store still names this coordinator; false if that can not be told. */
  readonly confirmLeadership: () => Promise<boolean>
  readonly resign: (reason: string) => void
  readonly targetLeaseMs: number
  readonly finishedJobMs: number
}

export class JobCoordinator implements TargetListener {
  readonly #options: CoordinatorOptions
  readonly #clock: TimerClock
  readonly #logger: Logger
  readonly #termStartedAtMs: number
  readonly #fleet: TargetFleet
  readonly #placer: TaskPlacer
  readonly #admission: AdmissionControl
  /** Settings of queues as the log has them. */
  readonly #recordedQueues = new Map<string, QueueSettings>()
  #table: JobTable | undefined
  #log: RecordLog | undefined
  /** Number of the segment at the last compaction. */
  #lastCompactedSequence = 0
  #closed = false

  constructor (options: CoordinatorOptions) {
    const { clock, logger, connect, directory, info, targetLeaseMs, hasAuthority, lanes, desiredState } = options
    this.#options = options
    this.#clock = clock
    this.#logger = logger
    this.#termStartedAtMs = clock.monotonicMs()
    this.#fleet = new TargetFleet({
      clock, logger, connect, directory, listener: this, fencingToken: info.fence, targetLeaseMs, hasAuthority, termStartedAtMs: this.#termStartedAtMs
    })
    this.#admission = new AdmissionControl(clock)
    this.#placer = new TaskPlacer({
      clock, logger, admission: this.#admission, fleet: this.#fleet, lanes, desiredState, hasAuthority, append: async records => await this.#append(records)
    })
  }

  /** Whether jobs can be accepted and read. */
  get ready (): boolean {
    return this.#table !== undefined && !this.#closed
  }

  get table (): JobTable {
    if (this.#table === undefined) throw new Error('the coordinator has not read its log yet')
    return this.#table
  }

  get info (): CoordinatorInfo {
    return this.#options.info
  }

  /** What waits, and how busy this process is. */
  get admission (): AdmissionControl {
    return this.#admission
  }

  /** Whether the store is known not to take records now. */
  get storeFails (): boolean {
    const since = this.#log?.failingSinceMs
    return this.#options.storeFails() || this.#log?.stalled === true || (since !== undefined && this.#clock.monotonicMs() - since > STORE_FAILURE_THRESHOLD_MS)
  }

  /** Whether no other coordinator may have accepted jobs that this one does not know. */
  async confirmLeadership (): Promise<boolean> {
    return await this.#options.confirmLeadership()
  }

  /** Recovers what earlier coordinators left, then places work until the term ends. */
  async open (): Promise<void> {
    const read = await this.#readLog()
    if (this.#closed) return
    this.#log = new RecordLog({
      store: this.#options.store,
      clock: this.#clock,
      logger: this.#logger,
      election: this.#election,
      nextSequence: read.nextSequence,
      onTermLost: reason => this.#options.resign(reason),
      onStalled: () => this.#withdrawUnsentJobs()
    })
    this.#table = read.table
    this.#lastCompactedSequence = read.nextSequence - read.segments
    this.#recoverJobs(read.table)
    this.#logger.info({ fence: this.info.fence, segments: read.segments, bytes: read.bytes, jobs: read.table.jobs.size, targets: read.table.targets.size, tookMs: Math.round(this.#clock.monotonicMs() - this.#termStartedAtMs) }, 'the coordinator has read its log')
    for (const description of read.table.targets.values()) this.#fleet.openRecorded(description)
    this.#recoverRuns(read.table)
    await this.#fleet.start()
    await this.#fleet.awaitJoins()
    if (this.#closed) return
    this.#placer.start()
    runInBackground(this.#runHousekeeping(), this.#logger, 'housekeeping')
    runInBackground(this.#monitorUtilization(), this.#logger, 'measurement of the busy time')
  }

  /** Ends the term; nothing is decided any more. */
  close (): void {
    this.#closed = true
    this.#log?.close()
    this.#placer.close()
    this.#fleet.close()
  }

  /** Stores records and applies them; resolves when they are durable. */
  record (records: readonly LogRecord[]): Promise<void> {
    for (const record of records) this.table.apply(record)
    return this.#append(records)
  }

  /** Makes the steps of a new job known to the placement. */
  admit (job: JobProgress): void {
    this.#openDueOccurrences(job)
    for (const step of job.steps) this.#placer.enqueueStep(step)
    this.changed()
  }

  /** Records for a queue whose settings are not in the log yet. */
  missingQueueRecords (queue: QueueSettings): readonly LogRecord[] {
    if (JSON.stringify(this.#recordedQueues.get(queue.name)) === JSON.stringify(queue)) return []
    this.#recordedQueues.set(queue.name, queue)
    return [{ type: 'queue', queue }]
  }

  /** Stops everything of a job that is over, and keeps its outcome. */
  finalizeJob (job: JobProgress, durable: Promise<void>): void {
    if (job.outcome === undefined) return
    for (const step of job.steps) this.#placer.removeStep(step)
    this.#fleet.stopRuns(assignment => assignment.task.step.job === job)
    durable.then(() => {
      const { id, queue, team } = job.record
      this.table.finishJob(job, this.#clock.wallMs())
      this.#logger.info({ job: id, team, queue, outcome: job.outcome, waitedMs: job.startedAtMs === undefined ? undefined : Math.round(job.startedAtMs - job.acceptedAtMs), ageMs: Math.round(this.#clock.monotonicMs() - job.acceptedAtMs) }, 'job ended')
    }, () => {})
  }

  /** Resolves when everything that was recorded so far is stored. */
  async flushed (): Promise<void> {
    await this.#log?.flushed()
  }

  // What targets report.

  async runEnded (session: TargetSession, run: FinishedRun, assignment: Assignment | undefined): Promise<void> {
    if (assignment !== undefined) this.#placer.release(assignment)
    if (run.end === 'failed' || run.end === 'done') session.recordRunResult(run.end === 'failed', AVOID_AFTER_FAILURES_MS)
    const name = parseTaskName(run.task)
    const job = name === undefined ? undefined : this.table.jobs.get(name.job)
    if (name === undefined || job === undefined) return await this.flushed()
    const record: RunEndRecord = { type: 'run-end', ...name, attempt: run.attempt, end: run.end, checkpoint: run.checkpoint }
    const step = job.findStep(name.occurrence, name.step)
    const over = job.outcome !== undefined
    if (step === undefined || !job.endRun(record)) return await this.flushed()
    if (run.end !== 'done') this.#logger.info({ job: job.id, task: run.task, attempt: run.attempt, end: run.end, target: session.id }, 'a run ended without success')
    if (run.end === 'failed') this.#placer.recordFailedTarget(step, session)
    const stored = this.#append([record])
    if (!over) this.#continueJob(job, step, run, stored)
    await stored
  }

  runLost (session: TargetSession, assignment: Assignment, reason: string): void {
    const { task } = assignment
    this.#placer.release(assignment)
    this.#logger.info({ job: task.step.job.id, task: task.name, attempt: assignment.attempt, target: session.id, state: assignment.state, reason }, 'a run was lost')
    this.#placer.requeueTask(task, assignment.attempt)
  }

  startRefused (session: TargetSession, assignment: Assignment, refusal: StartRefusal): void {
    const { task } = assignment
    this.#placer.release(assignment)
    this.#logger.info({ job: task.step.job.id, task: task.name, attempt: assignment.attempt, target: session.id, refusal }, 'a target refused a task')
    if (refusal === 'ticket') this.#placer.invalidateTicket(task.step, session)
    if (refusal === 'unhealthy' || refusal === 'no-room') session.recordRunResult(true, AVOID_AFTER_REFUSALS_MS)
    this.#placer.requeueTask(task, assignment.attempt)
  }

  startConfirmed (_session: TargetSession, assignment: Assignment): void {
    const { job } = assignment.task.step
    if (job.hasStarted) return
    job.markStarted(this.#clock.monotonicMs())
  }

  joined (session: TargetSession): void {
    if (this.#fleet.isRecorded(session)) return
    this.record([{ type: 'target', target: session.description }]).then(() => {
      this.#fleet.markRecorded(session)
      this.changed()
    }, () => {})
  }

  incarnationEnded (session: TargetSession, reason: IncarnationEnd): void {
    if (this.#fleet.remove(session)) {
      const { id, bornMs } = session.description
      this.record([{ type: 'target-gone', id, bornMs }]).catch(() => {})
    }
    this.#logger.info({ target: session.id, reason }, 'a target is not used any more')
    this.changed()
  }

  fenced (session: TargetSession): void {
    this.#options.resign(`target ${session.id} has seen a newer fencing token`)
  }

  changed (): void {
    this.#placer.changed()
  }

  async #readLog (): Promise<Awaited<ReturnType<typeof readLog>>> {
    for (;;) {
      try {
        return await readLog(this.#options.store, record => this.#clock.monotonicMs() -
          Math.min(Math.max(this.#clock.wallMs() - record.acceptedWallMs, 0), MAX_RECOVERED_AGE_MS))
      } catch (error) {
        if (this.#closed) throw error
        this.#logger.warn({ error: String(error) }, 'the log could not be read')
        await this.#clock.sleep(RETRY_DELAY_MS)
      }
    }
  }

  #append (records: readonly LogRecord[]): Promise<void> {
    return this.#log?.append(records) ?? Promise.reject(new Error('the log is closed'))
  }

  #recoverJobs (table: JobTable): void {
    for (const job of [...table.jobs.values()]) {
      if (job.outcome !== undefined) {
        table.finishJob(job, this.#clock.wallMs())
        continue
      }
      this.#recordedQueues.set(job.queue.name, job.queue)
      this.#openDueOccurrences(job)
      for (const step of job.steps) this.#placer.enqueueStep(step)
    }
  }

  /** Runs that earlier coordinators placed count until their targets have reported or are over. */
  #recoverRuns (table: JobTable): void {
    for (const job of table.jobs.values()) {
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
      this.table.forgetFinished(this.#clock.wallMs() - this.#options.finishedJobMs * 2)
      for (const job of this.table.jobs.values()) {
        if (job.definition.repetition !== undefined) this.#openDueOccurrences(job)
      }
      await this.#compactIfDue()
      this.changed()
    }
  }

  async #monitorUtilization (): Promise<void> {
    let before = performance.eventLoopUtilization()
    while (!this.#closed) {
      await this.#clock.sleep(UTILIZATION_INTERVAL_MS)
      const now = performance.eventLoopUtilization()
      this.#admission.recordUtilization(performance.eventLoopUtilization(now, before).utilization)
      before = now
    }
  }

  /** Keeps the log short; a failure is tried again after as many segments. */
  async #compactIfDue (): Promise<void> {
    const log = this.#log
    if (log === undefined || log.nextSequence - this.#lastCompactedSequence < SEGMENTS_BETWEEN_SNAPSHOTS) return
    this.#lastCompactedSequence = log.nextSequence
    // The snapshot holds jobs whose records are still to be written.
    log.preventWithdrawal()
    try {
      await compactLog({ store: this.#options.store, logger: this.#logger, election: this.#election, table: this.table, lastSequence: log.nextSequence - 1 })
    } catch (error) {
      this.#logger.warn({ error: String(error), sequence: log.nextSequence }, 'the log was not compacted')
    }
  }

  /**
   * Gives up the jobs that were not sent to the store while it does not answer, so that their callers learn at once that
   * they have to come back. No order was sent for them: those follow the record of the job in the log.
   */
  #withdrawUnsentJobs (): void {
    const log = this.#log
    for (const id of log?.unsentJobs ?? []) {
      const job = this.table.jobs.get(id)
      if (job === undefined || log?.withdrawJob(id) !== true) continue
      job.cancel()
      for (const step of job.steps) this.#placer.removeStep(step)
      this.table.forget(id)
      this.#logger.info({ job: id, team: job.team, queue: job.record.queue, ageMs: Math.round(this.#clock.monotonicMs() - job.acceptedAtMs) }, 'job withdrawn before it was stored')
    }
  }

  /** Whether another run of the task was placed after the one that is done. */
  #hasLaterRun ({ definition, tasks }: StepProgress, { task, attempt }: FinishedRun): boolean {
    return !definition.gang && tasks.some(({ name, attempt: last }) => name === task && last > attempt)
  }

  get #election (): { readonly key: string, readonly revision: number } {
    return { key: COORDINATOR_KEY, revision: this.info.fence }
  }

  /** What the end of a run means for the rest of its job. */
  #continueJob (job: JobProgress, step: StepProgress, run: FinishedRun, stored: Promise<void>): void {
    if (job.outcome !== undefined) return this.finalizeJob(job, stored)
    if (run.end === 'done') {
      if (this.#hasLaterRun(step, run)) this.#fleet.stopRuns(assignment => assignment.task.step === step && assignment.task.state === 'done')
      if (step.done) for (const next of job.steps) this.#placer.enqueueStep(next)
    } else {
      this.#placer.retryStep(step)
    }
    this.changed()
  }
}
