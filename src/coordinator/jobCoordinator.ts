/** Runs the jobs of the cluster during one term: recovers them, places their tasks and records their ends. */
import type { DesiredState, QueueSettings } from '../jobs/desiredState.ts'
import { parseTaskName } from '../jobs/job.ts'
import type { JobProgress } from '../jobs/jobProgress.ts'
import type { LogRecord, PlacedRun, RunEndRecord, TargetDescription } from '../jobs/jobRecords.ts'
import { targetKey } from '../jobs/jobTable.ts'
import type { JobTable } from '../jobs/jobTable.ts'
import type { StepProgress, TaskProgress } from '../jobs/stepProgress.ts'
import { PeriodicTask } from '../lifecycle/periodicTask.ts'
import { runInBackground } from '../lifecycle/runInBackground.ts'
import type { Logger } from '../observability/logger.ts'
import type { Clock } from '../ports/clock.ts'
import type { FinishedRun, JobTargetConnector, StartRefusal } from '../ports/jobTarget.ts'
import type { ListedTarget, TargetDirectory } from '../ports/targetDirectory.ts'
import type { TransactionalStore } from '../ports/transactionalStore.ts'
import type { AdviceLanes } from './adviceLanes.ts'
import { Assignment } from './assignment.ts'
import { AUTHORITY_GRACE_MS, COORDINATOR_KEY } from './election.ts'
import type { CoordinatorInfo } from './election.ts'
import { compareRanks, rankStep } from './jobRanking.ts'
import { compactLog } from './logCompactor.ts'
import { readLog } from './logReader.ts'
import { PlacementPass } from './placementPass.ts'
import { placeStep, roomOf } from './placeStep.ts'
import type { TargetRoom } from './placeStep.ts'
import { RecordLog } from './recordLog.ts'
import { StepAdvice } from './stepAdvice.ts'
import { TargetSession } from './targetSession.ts'
import type { LifeEnd, TargetListener } from './targetSession.ts'
import { TeamUsage } from './teamUsage.ts'

/** Collects changes before the next placement. */
const PLACEMENT_DELAY_MS = 5
/** The next placement waits at least this many times as long as the last one took, so that orders and reports get their turn. */
const PLACEMENT_REST_FACTOR = 3
const LONGEST_PLACEMENT_DELAY_MS = 100
/** Between two readings of the target list; a draining target is known well within its 2.5 s. */
const DIRECTORY_INTERVAL_MS = 500
/**
 * How long a new coordinator waits for the targets before it places work on those that answered: the way
 * to another region and back, three times. Runs on the others count from the log.
 */
const JOIN_WAIT_MS = 150
const JOIN_POLL_MS = 20
/** Targets that failed two tasks in a row get no new ones for that long. */
const AVOID_FAILING_MS = 4_000
const RETRY_DELAY_MS = 100
/** Part of the processors kept free of work that is not urgent, so that urgent work finds room. */
const URGENT_RESERVE = 0.05
/** Targets that one question names at most. */
const TARGETS_PER_QUESTION = 100
/** While the store has refused records for longer, nothing is accepted. */
const STORE_FAILING_MS = 400
const HOUSEKEEPING_MS = 1_000
/** Read in about a third of a second by a successor, as measured on the bench (1,277 segments in 232 ms). */
const SEGMENTS_BETWEEN_SNAPSHOTS = 1_500
const LONGEST_RECOVERED_AGE_MS = 3_600_000

export interface CoordinatorOptions {
  readonly store: TransactionalStore
  readonly clock: Clock
  readonly logger: Logger
  readonly info: CoordinatorInfo
  readonly connect: JobTargetConnector
  readonly directory: TargetDirectory
  readonly desiredState: () => DesiredState
  readonly lanes: AdviceLanes
  readonly mayAct: () => boolean
  /** Whether the store does not renew the election. */
  readonly storeFails: () => boolean
  readonly resign: (reason: string) => void
  readonly targetLeaseMs: number
  readonly finishedJobMs: number
}

export class JobCoordinator implements TargetListener {
  readonly #options: CoordinatorOptions
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #beganAtMs: number
  readonly #directory: PeriodicTask
  readonly #sessions = new Map<string, TargetSession>()
  readonly #usage = new TeamUsage()
  readonly #advice = new Map<StepProgress, StepAdvice>()
  readonly #failedTargets = new Map<StepProgress, Set<string>>()
  /** Steps that may have waiting tasks. */
  readonly #ready = new Set<StepProgress>()
  readonly #recordedTargets = new Set<string>()
  readonly #durableQueues = new Map<string, QueueSettings>()
  #table: JobTable | undefined
  #log: RecordLog | undefined
  #placing = false
  #placementDue = false
  /** Duration of the last placement. */
  #passMs = 0
  /** Number of the segment at the last compaction. */
  #compactedAt = 0
  #closed = false

  constructor (options: CoordinatorOptions) {
    this.#options = options
    this.#clock = options.clock
    this.#logger = options.logger
    this.#beganAtMs = options.clock.monotonicMs()
    this.#directory = new PeriodicTask('target directory', options.clock, DIRECTORY_INTERVAL_MS,
      async () => this.#applyListing(await options.directory.list()),
      error => options.logger.debug({ error: String(error) }, 'the target list could not be read'))
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

  /** Whether the store is known not to take records now. */
  get storeFails (): boolean {
    const since = this.#log?.failingSinceMs
    return this.#options.storeFails() || (since !== undefined && this.#clock.monotonicMs() - since > STORE_FAILING_MS)
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
      onTermLost: reason => this.#options.resign(reason)
    })
    this.#table = read.table
    this.#compactedAt = read.nextSequence - read.segments
    this.#recoverJobs(read.table)
    this.#logger.info({ fence: this.info.fence, segments: read.segments, bytes: read.bytes, jobs: read.table.jobs.size, targets: read.table.targets.size, tookMs: Math.round(this.#clock.monotonicMs() - this.#beganAtMs) }, 'the coordinator has read its log')
    for (const description of read.table.targets.values()) this.#openSession(description, true)
    this.#recoverRuns(read.table)
    for (const session of this.#sessions.values()) this.#runSession(session)
    await this.#directory.start()
    await this.#awaitJoins()
    if (this.#closed) return
    this.#placing = true
    this.changed()
    runInBackground(this.#keepHouse(), this.#logger, 'housekeeping')
  }

  /** Ends the term; nothing is decided any more. */
  close (): void {
    this.#closed = true
    this.#log?.close()
    this.#options.lanes.close()
    runInBackground(this.#directory.stop(), this.#logger, 'end of the target directory')
    for (const session of this.#sessions.values()) session.close()
  }

  /** Stores records and applies them; resolves when they are durable. */
  record (records: readonly LogRecord[]): Promise<void> {
    for (const record of records) this.table.apply(record)
    return this.#append(records)
  }

  /** Makes the steps of a new job known to the placement. */
  admit (job: JobProgress): void {
    this.#openDueOccurrences(job)
    for (const step of job.steps) this.#offerStep(step)
    this.changed()
  }

  /** Records for a queue whose settings are not in the log yet. */
  recordsOfQueue (queue: QueueSettings): readonly LogRecord[] {
    if (JSON.stringify(this.#durableQueues.get(queue.name)) === JSON.stringify(queue)) return []
    this.#durableQueues.set(queue.name, queue)
    return [{ type: 'queue', queue }]
  }

  /** Stops everything of a job that is over, and keeps its outcome. */
  settle (job: JobProgress, durable: Promise<void>): void {
    if (job.outcome === undefined) return
    for (const step of job.steps) {
      this.#ready.delete(step)
      this.#advice.delete(step)
      this.#failedTargets.delete(step)
    }
    this.#stopRuns(assignment => assignment.task.step.job === job)
    durable.then(() => {
      const { id, queue, team } = job.record
      this.table.finishJob(job, this.#clock.wallMs())
      this.#logger.info({ job: id, team, queue, outcome: job.outcome, waitedMs: job.startedAtMs === undefined ? undefined : Math.round(job.startedAtMs - job.acceptedAtMs), ageMs: Math.round(this.#clock.monotonicMs() - job.acceptedAtMs) }, 'job ended')
    }, () => {})
  }

  // What targets report.

  async runEnded (session: TargetSession, run: FinishedRun, assignment: Assignment | undefined): Promise<void> {
    if (assignment !== undefined) this.#usage.remove(assignment.team, assignment.task.step.definition.size)
    if (run.end === 'failed' || run.end === 'done') session.noteRunResult(run.end === 'failed', AVOID_FAILING_MS)
    const name = parseTaskName(run.task)
    const job = name === undefined ? undefined : this.table.jobs.get(name.job)
    if (name === undefined || job === undefined) return await this.#flushed()
    const record: RunEndRecord = { type: 'run-end', ...name, attempt: run.attempt, end: run.end, checkpoint: run.checkpoint }
    const step = job.findStep(name.occurrence, name.step)
    const over = job.outcome !== undefined
    if (step === undefined || !job.endRun(record)) return await this.#flushed()
    if (run.end !== 'done') this.#logger.info({ job: job.id, task: run.task, attempt: run.attempt, end: run.end, target: session.id }, 'a run ended without success')
    if (run.end === 'failed') this.#noteFailedTarget(step, session)
    const stored = this.#append([record])
    if (!over) this.#continueJob(job, step, run, stored)
    await stored
  }

  runLost (session: TargetSession, assignment: Assignment, reason: string): void {
    const { task } = assignment
    this.#usage.remove(assignment.team, task.step.definition.size)
    this.#logger.info({ job: task.step.job.id, task: task.name, attempt: assignment.attempt, target: session.id, state: assignment.state, reason }, 'a run was lost')
    this.#returnTask(task, assignment.attempt)
  }

  startRefused (session: TargetSession, assignment: Assignment, refusal: StartRefusal): void {
    const { task } = assignment
    this.#usage.remove(assignment.team, task.step.definition.size)
    this.#logger.info({ job: task.step.job.id, task: task.name, attempt: assignment.attempt, target: session.id, refusal }, 'a target refused a task')
    if (refusal === 'ticket') this.#advice.get(task.step)?.dropTicket(session.key)
    if (refusal === 'unhealthy' || refusal === 'no-room') session.noteRunResult(true, RETRY_DELAY_MS)
    this.#returnTask(task, assignment.attempt)
  }

  startConfirmed (_session: TargetSession, assignment: Assignment): void {
    const { job } = assignment.task.step
    if (job.hasStarted) return
    job.markStarted(this.#clock.monotonicMs())
  }

  joined (session: TargetSession): void {
    if (this.#recordedTargets.has(session.key)) return
    this.record([{ type: 'target', target: session.description }]).then(() => {
      this.#recordedTargets.add(session.key)
      this.changed()
    }, () => {})
  }

  lifeEnded (session: TargetSession, reason: LifeEnd): void {
    this.#sessions.delete(session.key)
    if (this.#recordedTargets.delete(session.key)) {
      const { id, bornMs } = session.description
      this.record([{ type: 'target-gone', id, bornMs }]).catch(() => {})
    }
    this.#logger.info({ target: session.id, reason }, 'a target is not used any more')
    this.changed()
  }

  fenced (session: TargetSession): void {
    this.#options.resign(`target ${session.id} has seen a newer fencing token`)
  }

  /** Places waiting tasks soon. */
  changed (): void {
    if (!this.#placing || this.#placementDue || this.#closed) return
    this.#placementDue = true
    setTimeout(() => {
      this.#placementDue = false
      if (!this.#closed) this.#place()
    }, Math.min(Math.max(PLACEMENT_DELAY_MS, this.#passMs * PLACEMENT_REST_FACTOR), LONGEST_PLACEMENT_DELAY_MS))
  }

  async #readLog (): Promise<Awaited<ReturnType<typeof readLog>>> {
    for (;;) {
      try {
        return await readLog(this.#options.store, record => this.#clock.monotonicMs() -
          Math.min(Math.max(this.#clock.wallMs() - record.acceptedWallMs, 0), LONGEST_RECOVERED_AGE_MS))
      } catch (error) {
        if (this.#closed) throw error
        this.#logger.warn({ error: String(error) }, 'the log could not be read')
        await this.#clock.sleep(RETRY_DELAY_MS)
      }
    }
  }

  /** What made an end known before may still be on its way to the store. */
  async #flushed (): Promise<void> {
    await this.#log?.flushed()
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
      this.#durableQueues.set(job.queue.name, job.queue)
      this.#openDueOccurrences(job)
      for (const step of job.steps) this.#offerStep(step)
    }
  }

  /** Runs that earlier coordinators placed count until their targets have reported or are over. */
  #recoverRuns (table: JobTable): void {
    for (const job of table.jobs.values()) {
      for (const step of job.steps) {
        for (const task of step.tasks) {
          if (task.state === 'assigned') this.#recoverRun(task)
        }
      }
    }
  }

  #recoverRun (task: TaskProgress): void {
    const { step, attempt } = task
    const session = this.#sessions.get(task.placedOn)
    if (session === undefined) return step.loseRun(task, attempt)
    const assignment = new Assignment(task, attempt, roomOf(step.definition), 'recovering')
    assignment.confirmedAtMs = -Infinity
    this.#usage.add(step.job.team, step.definition.size)
    session.reserve(assignment)
  }

  #offerStep (step: StepProgress): void {
    if (step.job.outcome === undefined && !step.done && step.job.isReady(step)) this.#ready.add(step)
  }

  #openDueOccurrences (job: JobProgress): void {
    for (;;) {
      const dueMs = job.nextDueWallMs
      if (dueMs === undefined || dueMs > this.#clock.wallMs()) return
      for (const step of job.openOccurrence(job.openOccurrences)) this.#offerStep(step)
    }
  }

  async #awaitJoins (): Promise<void> {
    const untilMs = this.#clock.monotonicMs() + JOIN_WAIT_MS
    while (!this.#closed && this.#clock.monotonicMs() < untilMs) {
      const sessions = [...this.#sessions.values()]
      if (sessions.length > 0 && sessions.every(session => session.joined)) return
      await this.#clock.sleep(JOIN_POLL_MS)
    }
  }

  #applyListing (listed: readonly ListedTarget[]): void {
    if (this.#closed) return
    const byKey = new Map(listed.map(target => [targetKey(target), target]))
    for (const target of listed) {
      if (!this.#sessions.has(targetKey(target))) this.#runSession(this.#openSession(target, false))
    }
    for (const session of this.#sessions.values()) {
      const entry = byKey.get(session.key)
      session.noteListing(entry !== undefined, entry?.draining ?? false)
    }
    this.changed()
  }

  #openSession (description: TargetDescription, recorded: boolean): TargetSession {
    const { id, bornMs, address, service, dataCentre, capacity, labels } = description
    const key = targetKey(description)
    if (recorded) this.#recordedTargets.add(key)
    const session = new TargetSession({
      description: { id, bornMs, address, service, dataCentre, capacity, labels },
      client: this.#options.connect(address, { id, bornMs }),
      clock: this.#clock,
      logger: this.#logger,
      listener: this,
      fencingToken: this.info.fence,
      leaseMs: this.#options.targetLeaseMs,
      mayAct: this.#options.mayAct,
      foreignOrdersUntilMs: recorded ? this.#beganAtMs + AUTHORITY_GRACE_MS : -Infinity
    })
    this.#sessions.set(key, session)
    return session
  }

  #runSession (session: TargetSession): void {
    runInBackground(session.run(), this.#logger, 'target session')
  }

  async #keepHouse (): Promise<void> {
    while (!this.#closed) {
      await this.#clock.sleep(HOUSEKEEPING_MS)
      this.table.forgetFinished(this.#clock.wallMs() - this.#options.finishedJobMs * 2)
      for (const job of this.table.jobs.values()) {
        if (job.definition.repetition !== undefined) this.#openDueOccurrences(job)
      }
      await this.#compactWhenDue()
      this.changed()
    }
  }

  /** Keeps the log short; a failure is tried again after as many segments. */
  async #compactWhenDue (): Promise<void> {
    const log = this.#log
    if (log === undefined || log.nextSequence - this.#compactedAt < SEGMENTS_BETWEEN_SNAPSHOTS) return
    this.#compactedAt = log.nextSequence
    try {
      await compactLog({ store: this.#options.store, logger: this.#logger, election: this.#election, table: this.table, lastSequence: log.nextSequence - 1 })
    } catch (error) {
      this.#logger.warn({ error: String(error), sequence: log.nextSequence }, 'the log was not compacted')
    }
  }

  get #election (): { readonly key: string, readonly revision: number } {
    return { key: COORDINATOR_KEY, revision: this.info.fence }
  }

  #stopRuns (matches: (assignment: Assignment) => boolean): void {
    for (const session of this.#sessions.values()) {
      for (const assignment of session.assignments.values()) {
        if (matches(assignment)) runInBackground(session.stop(assignment), this.#logger, 'stop of a run')
      }
    }
  }

  #noteFailedTarget (step: StepProgress, session: TargetSession): void {
    const failed = this.#failedTargets.get(step) ?? new Set()
    failed.add(session.key)
    this.#failedTargets.set(step, failed)
  }

  /** What the end of a run means for the rest of its job. */
  #continueJob (job: JobProgress, step: StepProgress, run: FinishedRun, stored: Promise<void>): void {
    if (job.outcome !== undefined) return this.settle(job, stored)
    if (run.end === 'done') {
      this.#stopRuns(assignment => assignment.task.step === step && assignment.task.state === 'done' && !step.definition.gang)
      if (step.done) for (const next of job.steps) this.#offerStep(next)
    } else {
      this.#retryStep(step)
    }
    this.changed()
  }

  /** Offers a step again that lost a run; a gang begins anew as a whole. */
  #retryStep (step: StepProgress): void {
    if (step.definition.gang && step.job.outcome === undefined) this.#stopRuns(assignment => assignment.task.step === step)
    this.#offerStep(step)
  }

  #returnTask (task: TaskProgress, attempt: number): void {
    task.step.loseRun(task, attempt)
    this.#retryStep(task.step)
    this.changed()
  }

  // Placement.

  #place (): void {
    if (!this.#options.mayAct()) return
    const nowMs = this.#clock.monotonicMs()
    const ranked: WaitingStep[] = []
    for (const step of this.#ready) {
      const { waiting } = step
      if (waiting.length === 0) {
        if (step.done || step.job.outcome !== undefined) this.#ready.delete(step)
        continue
      }
      ranked.push({ step, waiting, rank: rankStep(step, nowMs) })
    }
    ranked.sort((left, right) => compareRanks(left.rank, right.rank))
    const pass = new PlacementPass(this.#options.desiredState(), [...this.#sessions.values()].filter(session =>
      session.usable && this.#recordedTargets.has(session.key)))
    for (const waitingStep of ranked) this.#placeOne(waitingStep, pass, nowMs)
    this.#passMs = this.#clock.monotonicMs() - nowMs
  }

  #placeOne ({ step, waiting }: WaitingStep, pass: PlacementPass, nowMs: number): void {
    const { job, definition } = step
    if (this.#advice.get(step)?.asking === true) return
    const queue = pass.queue(job.queue)
    const sessions = pass.sessions(queue.service)
    const count = this.#allowedCount(step, waiting.length, pass, queue)
    if (count === 0 || (definition.gang && count < waiting.length)) return
    if (queue.advice === undefined) {
      const placed = placeStep(definition, count, sessions.map(session => this.#describeRoom(step, session)))
      this.#startWhenStored(step, this.#reserve(waiting, placed), () => '')
      return
    }
    this.#placeWithAdvice(step, queue, waiting, count, sessions, nowMs)
  }

  #placeWithAdvice (
    step: StepProgress, queue: QueueSettings, waiting: readonly TaskProgress[], count: number, sessions: readonly TargetSession[], nowMs: number
  ): void {
    const advice = this.#advice.get(step) ?? new StepAdvice()
    this.#advice.set(step, advice)
    if (nowMs < advice.restsUntilMs) return
    const unasked = sessions.filter(session => !advice.wasAsked(session.key))
    const allowed = sessions.filter(session => advice.allows(session.key))
    if (!advice.answered || (allowed.length === 0 && unasked.length > 0)) {
      runInBackground(this.#ask(step, queue, advice, unasked), this.#logger, 'placement advice')
      return
    }
    const withTicket = allowed.filter(session => advice.ticket(session.key, nowMs) !== undefined)
    const placed = placeStep(step.definition, count, withTicket.map(session => this.#describeRoom(step, session)))
    this.#startWhenStored(step, this.#reserve(waiting, placed), session => advice.ticket(session.key, this.#clock.monotonicMs()))
    if (placed.length > 0 || withTicket.length === allowed.length) return
    const planned = placeStep(step.definition, count, allowed.map(session => this.#describeRoom(step, session)))
    if (planned.length === 0) return
    runInBackground(this.#startAfterRenewedAdvice(step, queue, advice, this.#reserve(waiting, planned)), this.#logger, 'start after renewed advice')
  }

  async #ask (step: StepProgress, queue: QueueSettings, advice: StepAdvice, sessions: readonly TargetSession[]): Promise<void> {
    const settings = queue.advice
    if (settings === undefined || sessions.length === 0) return
    const named = [...sessions].sort((left, right) => right.free.processors - left.free.processors).slice(0, TARGETS_PER_QUESTION)
    const asked = new Map(named.map(session => [session.id, session.key]))
    advice.asking = true
    try {
      const allowed = await this.#options.lanes.ask({
        step: step.name,
        targets: [...asked.keys()],
        expectedMs: settings.decisionMs + settings.perTargetMs * asked.size
      }, queue.priority)
      advice.noteAnswer(asked, allowed, this.#clock.monotonicMs() + settings.ticketValidityMs)
    } catch (error) {
      this.#logger.info({ job: step.job.id, step: step.name, error: String(error) }, 'the placement advisor did not answer')
      advice.restsUntilMs = this.#clock.monotonicMs() + RETRY_DELAY_MS
    } finally {
      advice.asking = false
      this.changed()
    }
  }

  /** Room is kept while expired tickets are renewed, since the answer takes up to a second. */
  async #startAfterRenewedAdvice (step: StepProgress, queue: QueueSettings, advice: StepAdvice, reserved: readonly Reservation[]): Promise<void> {
    const stored = this.#recordPlacement(step, reserved)
    await this.#ask(step, queue, advice, [...new Set(reserved.map(({ session }) => session))])
    await stored
    this.#startReserved(step, reserved, session => advice.ticket(session.key, this.#clock.monotonicMs()))
  }

  /** Sends the orders when the log says where the tasks are placed, so that a successor finds them. */
  #startWhenStored (step: StepProgress, reserved: readonly Reservation[], ticketFor: TicketSource): void {
    if (reserved.length === 0) return
    runInBackground(this.#recordPlacement(step, reserved).then(() => this.#startReserved(step, reserved, ticketFor)), this.#logger, 'start of tasks')
  }

  /** Resolves when the placement is stored or the term has ended. */
  async #recordPlacement (step: StepProgress, reserved: readonly Reservation[]): Promise<void> {
    const runs = reserved.map(({ session, assignment }): PlacedRun => [assignment.task.index, assignment.attempt, session.key])
    const record: LogRecord = { type: 'placed', job: step.job.id, occurrence: step.occurrence, step: step.number, runs }
    await this.#append([record]).catch(() => {
      // No order was sent, and none will be.
    })
  }

  /** Starts what may still be started; a gang as a whole or not at all. */
  #startReserved (step: StepProgress, reserved: readonly Reservation[], ticketFor: TicketSource): void {
    if (this.#closed) return
    const startable = ({ session, assignment }: Reservation): boolean =>
      session.assignments.has(assignment.key) && !session.over && !session.draining && ticketFor(session) !== undefined
    const permitted = step.job.outcome === undefined && (!step.definition.gang || reserved.every(startable))
    for (const reservation of reserved) {
      const { session, assignment } = reservation
      if (!session.assignments.has(assignment.key)) continue
      if (permitted && startable(reservation)) this.#start(session, assignment, ticketFor(session))
      else this.#giveBack(reservation)
    }
  }

  #giveBack ({ session, assignment }: Reservation): void {
    session.release(assignment)
    this.#usage.remove(assignment.team, assignment.task.step.definition.size)
    this.#returnTask(assignment.task, assignment.attempt)
  }

  #reserve (waiting: readonly TaskProgress[], placed: readonly string[]): readonly Reservation[] {
    const first = waiting[0]
    if (first === undefined || placed.length === 0) return []
    const { step } = first
    const gangAttempt = step.nextAttempt(first)
    const reserved: Reservation[] = []
    for (const [position, key] of placed.entries()) {
      const task = waiting[position]
      const session = this.#sessions.get(key)
      if (task === undefined || session === undefined) continue
      const attempt = step.definition.gang ? gangAttempt : step.nextAttempt(task)
      const assignment = new Assignment(task, attempt, roomOf(step.definition), 'reserved')
      step.place(task.index, attempt, key)
      this.#usage.add(step.job.team, step.definition.size)
      session.reserve(assignment)
      reserved.push({ session, assignment })
    }
    this.#logger.info({ job: step.job.id, step: step.name, tasks: reserved.map(({ session, assignment }) => [assignment.task.index, assignment.attempt, session.id]) }, 'tasks placed')
    return reserved
  }

  #start (session: TargetSession, assignment: Assignment, ticket: string | undefined): void {
    runInBackground(session.start(assignment, ticket === '' ? undefined : ticket), this.#logger, 'start of a run')
  }

  /** How many of the waiting tasks the room, the team's cap and the reserve for urgent work allow at most. */
  #allowedCount (step: StepProgress, waiting: number, pass: PlacementPass, queue: QueueSettings): number {
    const { size } = step.definition
    let count = Math.min(waiting, pass.tasksThatFit(queue.service, roomOf(step.definition), waiting))
    if (queue.priority > 0 && size.processors > 0) {
      const spare = pass.freeProcessors(queue.service) - pass.totalProcessors(queue.service) * URGENT_RESERVE
      count = Math.min(count, Math.max(0, Math.floor(spare / size.processors)))
    }
    const team = pass.team(step.job.team)
    return team === undefined ? count : this.#usage.allowed(team, size, count, queue.priority === 0)
  }

  #describeRoom (step: StepProgress, session: TargetSession): TargetRoom {
    const { definition } = step
    const shares = definition.fillsSpareProcessors || definition.responseTargetMs > 0
    const assignments = shares || definition.tasksPerTarget > 0 ? [...session.assignments.values()] : []
    return {
      key: session.key,
      free: session.free,
      rack: session.rack,
      labels: session.description.labels,
      sameStepTasks: definition.tasksPerTarget > 0 ? assignments.filter(({ task }) => task.step === step).length : 0,
      hasResponseTargets: shares && assignments.some(({ task }) => task.step.definition.responseTargetMs > 0),
      hasFills: shares && assignments.some(({ task }) => task.step.definition.fillsSpareProcessors),
      failedHere: this.#failedTargets.get(step)?.has(session.key) ?? false
    }
  }
}

/** Returns the permit to start on a target; empty if none is needed, undefined if none is valid. */
type TicketSource = (session: TargetSession) => string | undefined

/** A step with tasks to place, in its rank. */
interface WaitingStep {
  readonly step: StepProgress
  readonly waiting: readonly TaskProgress[]
  readonly rank: readonly number[]
}

interface Reservation {
  readonly session: TargetSession
  readonly assignment: Assignment
}
