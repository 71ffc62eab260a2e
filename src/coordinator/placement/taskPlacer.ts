/** Places waiting tasks on targets: decides their order, their targets and the tickets they start with. */
import type { QueueSettings } from '../../jobs/desiredState.ts'
import type { DesiredStateIndex } from '../../jobs/desiredStateIndex.ts'
import type { LogRecord } from '../../jobs/jobRecords.ts'
import type { StepDefinition } from '../../jobs/job.ts'
import type { StepProgress, TaskProgress } from '../../jobs/stepProgress.ts'
import { runInBackground } from '../../lifecycle/runInBackground.ts'
import type { JobMetrics } from '../../observability/jobMetrics.ts'
import type { Logger } from '../../observability/logger.ts'
import type { TimerClock } from '../../ports/clock.ts'
import type { AdviceLanes } from '../advice/adviceLanes.ts'
import { Assignment } from '../targets/assignment.ts'
import { PlacedRoomForecast } from '../forecast/placedRoomForecast.ts'
import type { RoomForecast } from '../forecast/roomForecast.ts'
import { isRemoteFrom } from '../forecast/locality.ts'
import { countTargetsToName, MAX_TARGETS_PER_QUESTION } from '../advice/adviceQuestion.ts'
import { decideAdvisedPlacement } from '../advice/advisedPlacement.ts'
import { hasAtMostOneCrash, Isolation } from '../targets/isolation.ts'
import type { IsolationRequest } from '../targets/isolation.ts'
import { isWithinShareAndUseful, compareRanks, isUrgent, slackMs, StepRanking } from './jobRanking.ts'
import type { RankingRunTimes } from './jobRanking.ts'
import { BlockedSteps } from './blockedSteps.ts'
import { AdaptiveThrottle } from './adaptiveThrottle.ts'
import type { ThrottleLimits } from './adaptiveThrottle.ts'
import type { KeptCapacity } from './keptCapacity.ts'
import { LocalityReport } from './localityReport.ts'
import { LocalityWait } from './localityWait.ts'
import { PlacementPass } from './placementPass.ts'
import { createOutlook } from '../admission/admissionOutlook.ts'
import type { AdmissionControl } from '../admission/admissionControl.ts'
import type { FeasibilityAdmission } from '../admission/feasibilityAdmission.ts'
import { countFitting, fitsWithin, isSuitable, placeStep, requiredResources } from './placeStep.ts'
import { PlacementReservations } from './placementReservations.ts'
import { ALL_ROOM } from './roomView.ts'
import type { RoomView } from './roomView.ts'
import type { ComputeResources, TargetAvailability } from './placeStep.ts'
import { latestTicketUseMs, NO_TICKET_NEEDED } from '../advice/startTicket.ts'
import type { StepAdvice } from '../advice/stepAdvice.ts'
import { StepAdvisor } from '../advice/stepAdvisor.ts'
import { AUTHORITY_GRACE_MS } from '../log/election.ts'
import { latestExecutionIfSentAt } from '../targets/startsInTransit.ts'
import type { TargetFleet } from '../targets/targetFleet.ts'
import type { TargetSession } from '../targets/targetSession.ts'
import { TaskStarts } from './taskStarts.ts'
import type { ReservedStart } from './taskStarts.ts'
import { TeamUsage } from './teamUsage.ts'
import { WaitReport } from './waitReport.ts'
import type { WaitExplanation } from './waitReport.ts'

/** Batches changes for a short time and leaves three quarters of the processor to requests and reports. */
const PASS_THROTTLE_LIMITS: ThrottleLimits = { minDelayMs: 5, maxDelayMs: 250, idleFactor: 3 }
/** Fraction of the processors reserved for urgent tasks. */
const URGENT_RESERVE_RATIO = 0.05

/** Longest time between passes while there are reservations or targets are kept. */
const RENEWAL_INTERVAL_MS = 250
/** Bounds the length of log lines that list kept capacity. */
const MAX_LOGGED_KEPT = 5

export interface TaskPlacerOptions {
  readonly clock: TimerClock
  readonly logger: Logger
  readonly metrics: JobMetrics
  readonly fleet: TargetFleet
  readonly runTimes: RankingRunTimes
  /** Whether runs on the target take longer than elsewhere; such targets come last. */
  readonly isSlow: (session: TargetSession) => boolean
  /** Gets the outlook after each full pass; undefined if submissions are not judged by it. */
  readonly feasibility: FeasibilityAdmission | undefined
  /** Gets the waiting jobs after each full pass otherwise. */
  readonly admission: AdmissionControl
  readonly lanes: AdviceLanes
  /** Start of the term, on this process's clock. */
  readonly termStartedAtMs: number
  readonly desiredState: () => DesiredStateIndex
  readonly hasAuthority: () => boolean
  /** Stores records; rejects when the term has ended. */
  readonly append: (records: readonly LogRecord[]) => Promise<void>
}

/**
 * Tracks the steps with waiting tasks and the resources each team uses.
 *
 * @example
 * placer.enqueueStep(step)
 * placer.start()
 */
export class TaskPlacer {
  readonly #options: TaskPlacerOptions
  readonly #clock: TimerClock
  readonly #logger: Logger
  readonly #fleet: TargetFleet
  readonly #usage = new TeamUsage()
  readonly #advisor: StepAdvisor
  /** In which steps found no place in the last pass over all steps. */
  #servicesWithoutRoom: ReadonlySet<string> = new Set()
  readonly #isolation: Isolation
  readonly #forecast: PlacedRoomForecast
  readonly #locality: LocalityWait
  readonly #failedTargets = new Map<StepProgress, Set<string>>()
  /** Steps whose dependencies are done and that may have waiting tasks. */
  readonly #queuedSteps = new Set<StepProgress>()
  readonly #ranking: StepRanking
  readonly #blocked = new BlockedSteps()
  readonly #reservations: PlacementReservations
  readonly #starts: TaskStarts
  #cancelRenewal: (() => void) | undefined
  readonly #waitReport: WaitReport
  readonly #passThrottle: AdaptiveThrottle
  /** Throttled separately: few steps are urgent, so these passes are short and need not wait out the idle time of a long one. */
  readonly #urgentPassThrottle: AdaptiveThrottle
  #enabled = false
  #closed = false

  constructor (options: TaskPlacerOptions) {
    this.#options = options
    this.#clock = options.clock
    this.#logger = options.logger
    this.#fleet = options.fleet
    this.#ranking = new StepRanking(options)
    this.#forecast = new PlacedRoomForecast(options.clock, options.runTimes)
    this.#isolation = new Isolation((step, session) => this.#describeTarget(step, session), this.#logger)
    this.#advisor = new StepAdvisor({ clock: this.#clock, logger: this.#logger, lanes: options.lanes, onAnswered: () => this.schedulePass() })
    this.#reservations = this.#createReservations()
    this.#starts = new TaskStarts({
      clock: options.clock,
      logger: this.#logger,
      metrics: options.metrics,
      fleet: this.#fleet,
      usage: this.#usage,
      append: options.append,
      onGivenBack: (task, attempt) => this.requeueTask(task, attempt)
    })
    this.#locality = this.#createLocalityWait()
    this.#waitReport = new WaitReport({ clock: this.#clock, logger: this.#logger, explain: step => this.#explainWait(step) })
    this.#passThrottle = new AdaptiveThrottle(this.#clock, PASS_THROTTLE_LIMITS, () => this.#runPass(false))
    this.#urgentPassThrottle = new AdaptiveThrottle(this.#clock, PASS_THROTTLE_LIMITS, () => this.#runPass(true))
  }

  /** All capacity that is kept for steps which do not use it yet, whoever keeps it. */
  get keptCapacity (): readonly KeptCapacity[] {
    const nowMs = this.#clock.monotonicMs()
    return [...this.#isolation.listKept(nowMs), ...this.#reservations.listKept(nowMs)]
  }

  /** When capacity becomes free on the targets that were usable in the last full pass. */
  get forecast (): RoomForecast {
    return this.#forecast
  }

  #createReservations (): PlacementReservations {
    return new PlacementReservations({
      logger: this.#logger,
      runTimes: this.#options.runTimes,
      forecast: this.#forecast,
      usage: this.#usage,
      blocked: this.#blocked,
      describe: (step, session) => this.#describeTarget(step, session),
      permits: (step, session) => this.#permits(step, this.#options.desiredState().queue(step.job.queue.name) ?? step.job.queue, session),
      placed: () => this.#fleet.placed,
      onEnded: (end, heldMs) => this.#options.metrics.observeReservation(end, heldMs)
    })
  }

  #createLocalityWait (): LocalityWait {
    const { clock, logger, metrics, runTimes } = this.#options
    const report = new LocalityReport({ clock, logger, metrics })
    return new LocalityWait({ runTimes, forecast: this.#forecast, onBegin: () => report.recordBegin(), onEnd: wait => report.recordEnd(wait) })
  }

  /** Enables placement. */
  start (): void {
    this.#enabled = true
    this.schedulePass()
  }

  close (): void {
    this.#closed = true
    this.#starts.close()
    this.#cancelRenewal?.()
    this.#passThrottle.close()
    this.#urgentPassThrottle.close()
    this.#options.lanes.close()
  }

  /** Schedules a placement pass. */
  schedulePass (): void {
    if (!this.#enabled || this.#closed) return
    this.#urgentPassThrottle.request()
    this.#passThrottle.request()
  }

  /** Logs the steps that have had nothing running for longest; called regularly. */
  reportWaits (): void {
    if (this.#enabled && !this.#closed) this.#waitReport.update(this.#queuedSteps, this.#fleet.placed)
  }

  /** Adds a step for placement if all steps that it depends on are done. */
  enqueueStep (step: StepProgress): void {
    if (step.job.outcome === undefined && !step.done && step.job.isReady(step)) this.#queuedSteps.add(step)
  }

  /** Removes a step of a finished job. */
  removeStep (step: StepProgress): void {
    this.#queuedSteps.delete(step)
    this.#advisor.remove(step)
    this.#failedTargets.delete(step)
  }

  /** Re-enqueues a step that lost a run; a gang restarts as a whole. */
  retryStep (step: StepProgress): void {
    if (step.definition.gang && step.job.outcome === undefined) this.#fleet.stopRuns(assignment => assignment.task.step === step)
    this.enqueueStep(step)
    this.schedulePass()
  }

  /** Marks a task as waiting again after its run has certainly stopped, or never started, without a known outcome. */
  requeueTask (task: TaskProgress, attempt: number): void {
    task.step.releaseLostRun(task, attempt)
    this.retryStep(task.step)
  }

  /** Reserves the resources of a run that an earlier coordinator placed. */
  recoverRun (task: TaskProgress): void {
    const { step, attempt } = task
    const session = this.#fleet.get(task.placedOn)
    if (session === undefined) return step.releaseLostRun(task, attempt)
    const assignment = new Assignment(task, attempt, requiredResources(step.definition), 'recovering')
    assignment.confirmedAtMs = -Infinity
    assignment.isStartSeen = false
    assignment.isRemote = isRemoteFrom(step, session)
    this.#usage.add(step.job.team, step.definition)
    if (task.isStarted) session.reserveStarted(assignment)
    else this.#recoverStart(session, assignment)
  }

  /** The time that an earlier coordinator recorded for the start counts from its record, which is older than this read of it. */
  #recoverStart (session: TargetSession, assignment: Assignment): void {
    const { step, startExpiresInMs } = assignment.task
    const latestMs = this.#latestExecutionOfRecoveredMs(step)
    session.recover(assignment, Math.min(latestMs, this.#clock.monotonicMs() + startExpiresInMs), latestMs)
  }

  /**
   * Latest time at which a start that an earlier coordinator sent may be executed. Its ticket was issued before the term; it
   * has none if the queue had no advisor when the job was accepted, or has none now.
   */
  #latestExecutionOfRecoveredMs ({ job }: StepProgress): number {
    const { termStartedAtMs, desiredState } = this.#options
    const validities = [job.queue, desiredState().queue(job.queue.name) ?? job.queue].map(({ advice }) => advice?.ticketValidityMs ?? Infinity)
    return Math.min(latestTicketUseMs(termStartedAtMs, Math.max(...validities)), latestExecutionIfSentAt(termStartedAtMs + AUTHORITY_GRACE_MS))
  }

  /** Subtracts a run from its team's usage. */
  releaseUsage (assignment: Assignment): void {
    this.#usage.remove(assignment.team, assignment.task.step.definition)
  }

  /** Makes placement of the step prefer other targets from now on. */
  recordFailedTarget (step: StepProgress, session: TargetSession): void {
    const failed = this.#failedTargets.get(step) ?? new Set()
    failed.add(session.key)
    this.#failedTargets.set(step, failed)
  }

  /** Invalidates a ticket that a target did not accept. */
  invalidateTicket (step: StepProgress, session: TargetSession): void {
    this.#advisor.findAdvice(step)?.invalidateTicket(session.key)
  }

  /** Places tasks of the waiting steps by rank; with `urgentOnly`, only urgent steps within their team's share that are still of use. */
  #runPass (urgentOnly: boolean): void {
    if (!this.#options.hasAuthority()) return
    const nowMs = this.#clock.monotonicMs()
    const ranked = this.#rankWaiting(nowMs, urgentOnly)
    this.#locality.beginPass()
    this.#placeSuspectedTasks(ranked, nowMs)
    const unsuspected = ranked.filter(({ waiting }) => waiting.length > 0)
    const overdue = this.#placeOverdueTasks(unsuspected, nowMs)
    const usable = this.#fleet.usable
    const open = usable.filter(session => !this.#isolation.holds(session))
    if (!urgentOnly) this.#forecast.update(open)
    const servicesWithoutRoom = new Set<string>()
    if (unsuspected.length > 0) {
      const pass = new PlacementPass(this.#options.desiredState(), open)
      const passWithKept = open.length === usable.length ? undefined : new PlacementPass(this.#options.desiredState(), usable)
      if (!urgentOnly) this.#reservations.renew(pass, nowMs)
      for (const { step, waiting } of unsuspected) {
        const outcome = overdue.get(step) ?? this.#placeWaitingTasks(step, waiting, pass, nowMs)
        if (outcome !== 'placed' && outcome !== 'capped') servicesWithoutRoom.add(pass.queue(step.job.queue).service)
        if (outcome === 'placed') this.#recordPlaced(step, nowMs)
        else if (outcome !== 'awaits-advice' && outcome !== 'awaits-locality' && !urgentOnly) this.#updateReservations(step, waiting.length, outcome, pass, nowMs)
        if (outcome === 'no-room' && passWithKept !== undefined) this.#recordIfBlocked(step, waiting.length, passWithKept, nowMs)
      }
    }
    if (urgentOnly) return
    this.#servicesWithoutRoom = servicesWithoutRoom
    this.#scheduleRenewal()
    this.#updateAdmission(ranked, open, nowMs)
  }

  /** Places tasks of the steps that have waited for long enough behind kept targets, also on these; returns what became of them. */
  #placeOverdueTasks (waiting: readonly WaitingStep[], nowMs: number): ReadonlyMap<StepProgress, PlacementOutcome> {
    this.#blocked.expire(nowMs)
    if (!this.#isolation.active || !this.#blocked.any) return new Map()
    const overdue = waiting.filter(({ step }) => this.#blocked.isOverdue(step, nowMs))
    if (overdue.length === 0) return new Map()
    const pass = new PlacementPass(this.#options.desiredState(), this.#fleet.usable)
    const outcomes = overdue.map(({ step, waiting }) => [step, this.#placeWaitingTasks(step, waiting, pass, nowMs)] as const)
    const placed = outcomes.flatMap(([{ name }, outcome]) => outcome === 'placed' ? [name] : [])
    if (placed.length > 0) this.#logger.info({ steps: placed, kept: this.keptCapacity.slice(0, MAX_LOGGED_KEPT) }, 'steps use kept targets: they have waited behind them for too long')
    return new Map(outcomes)
  }

  #recordPlaced (step: StepProgress, nowMs: number): void {
    this.#blocked.recordStart(step)
    this.#reservations.recordStart(step, nowMs)
  }

  /** Records that the step waits if it could start on all targets of its service, kept or not, of which less than half is in use. */
  #recordIfBlocked (step: StepProgress, waiting: number, pass: PlacementPass, nowMs: number): void {
    const queue = pass.queue(step.job.queue)
    if (!this.#mustStartSoon(step, pass)) return
    const needed = step.definition.gang ? waiting : 1
    if (this.#allowedCount(step, needed, pass, queue) < needed) return
    const advice = queue.advice === undefined ? undefined : this.#advisor.findAdvice(step)
    const permitted = pass.sessions(queue.service).filter(({ key }) => advice === undefined || advice.allows(key) || !advice.wasAsked(key))
    if (placeStep(step.definition, needed, permitted.map(session => this.#describeTarget(step, session))).length >= needed) this.#blocked.record(step, nowMs, true)
  }

  /** Whether the step must not wait for long while there is room: less than half of its service is in use, and of the cap of its team. */
  #mustStartSoon ({ job }: StepProgress, pass: PlacementPass): boolean {
    const { service } = pass.queue(job.queue)
    const team = pass.team(job.team)
    return pass.freeProcessors(service) * 2 > pass.totalProcessors(service) && (team === undefined || this.#usage.isBelowHalf(team))
  }

  #updateAdmission (ranked: readonly WaitingStep[], open: readonly TargetSession[], nowMs: number): void {
    const { admission, feasibility, runTimes, desiredState } = this.#options
    if (feasibility === undefined) {
      // A step that waits for a place near its data has room elsewhere.
      return admission.updateWaiting(ranked.filter(({ step }) => !step.job.hasStarted && step.waiting.length > 0 && !this.#locality.isWaiting(step))
        .map(({ step: { job } }) => ({ team: job.team, priority: job.queue.priority, waitedMs: nowMs - job.acceptedAtMs })))
    }
    // Read after placement, since sums that were computed during the pass lack what it has placed.
    this.#forecast.update(open)
    feasibility.update(createOutlook({ nowMs, sessions: open, placed: this.#fleet.placed, waiting: ranked, settings: desiredState(), usage: this.#usage, forecast: this.#forecast, runTimes, urgentReserveRatio: URGENT_RESERVE_RATIO }))
  }

  /** Reservations, kept targets and the waits behind them end in a pass, which nothing else may request for a second. */
  #scheduleRenewal (): void {
    this.#cancelRenewal?.()
    this.#cancelRenewal = this.#reservations.active || this.#isolation.active || this.#blocked.any ? this.#clock.schedule(RENEWAL_INTERVAL_MS, () => this.schedulePass()) : undefined
  }

  #rankWaiting (nowMs: number, urgentOnly: boolean): readonly WaitingStep[] {
    const ranked: WaitingStep[] = []
    this.#ranking.beginPass(nowMs)
    for (const step of this.#queuedSteps) {
      if (urgentOnly && (!isUrgent(step) || (this.#advisor.findAdvice(step)?.openQuestions ?? 0) > 0)) continue
      const { waiting } = step
      if (waiting.length === 0) {
        if (step.done || step.job.outcome !== undefined) this.#queuedSteps.delete(step)
        continue
      }
      const rank = this.#ranking.rank(step)
      if (rank === undefined) continue
      if (urgentOnly && !isWithinShareAndUseful(rank)) continue
      const suspected = step.suspectedTasks.filter(task => task.state === 'waiting')
      ranked.push({ step, waiting: suspected.length === 0 ? waiting : waiting.filter(task => !suspected.includes(task)), suspected: waiting.filter(task => suspected.includes(task)), rank })
    }
    return ranked.sort((left, right) => compareRanks(left.rank, right.rank))
  }

  #placeWaitingTasks (step: StepProgress, waiting: readonly TaskProgress[], pass: PlacementPass, nowMs: number): PlacementOutcome {
    const { definition } = step
    const queue = pass.queue(step.job.queue)
    this.#locality.reconsider(step)
    const advice = this.#advisor.findAdvice(step)
    if (advice !== undefined && advice.openQuestions > 0 && !advice.answered) return 'awaits-advice'
    const room = this.#reservations.roomOf(step, queue.service, nowMs)
    const count = this.#allowedCount(step, waiting.length, pass, queue, room, this.#reservations.heldShare(step, nowMs))
    const needed = definition.gang ? waiting.length : 1
    if (count < needed) return this.#isCapped(step, needed, pass, queue) ? 'capped' : 'no-room'
    const sessions = pass.sessions(queue.service)
    const size = requiredResources(definition)
    if (queue.advice === undefined) {
      const local = this.#withRunningRack(step)
      const placed = this.#withoutWaiting(step, local, queue, placeStep(local, count, sessions.map(session => this.#describeTarget(step, session, room))), sessions, nowMs)
      pass.recordReservation(queue.service, size, placed.length)
      this.#starts.startWhenStored(step, this.#starts.reserve(waiting, placed), () => NO_TICKET_NEEDED)
      return placed.length > 0 ? 'placed' : this.#locality.isWaiting(step) ? 'awaits-locality' : 'no-room'
    }
    const reserved = this.#placeWithAdvice(step, queue, waiting, count, sessions, nowMs, room)
    pass.recordReservation(queue.service, size, reserved)
    if (reserved > 0) return 'placed'
    if (this.#locality.isWaiting(step)) return 'awaits-locality'
    return this.#advisor.findAdvice(step)?.answered === true ? 'no-room' : 'awaits-advice'
  }

  /** Reserves places for a step that could not start, unless it only waits for places that are reserved for others. */
  #updateReservations (step: StepProgress, waiting: number, outcome: 'capped' | 'no-room', pass: PlacementPass, nowMs: number): void {
    const queue = pass.queue(step.job.queue)
    const needed = step.definition.gang ? waiting : 1
    const lacksPlaces = this.#reservations.roomOf(step, queue.service, nowMs) !== ALL_ROOM
    const lacksShare = this.#reservations.heldShare(step, nowMs) !== undefined
    if ((lacksPlaces || lacksShare) && this.#allowedCount(step, needed, pass, queue) >= needed) {
      const team = pass.team(step.job.team)
      return this.#blocked.record(step, nowMs, lacksPlaces || team === undefined || this.#usage.isBelowHalf(team))
    }
    const isPlaceable = this.#reservations.request(step, outcome === 'capped' ? 'cap' : 'targets', pass, nowMs)
    if (!isPlaceable && outcome === 'no-room') this.#askForReservation(step, waiting, queue, pass, nowMs)
  }

  /** Asks about targets without capacity, on which places can be reserved once they are known to be allowed. */
  #askForReservation (step: StepProgress, waiting: number, queue: QueueSettings, pass: PlacementPass, nowMs: number): void {
    if (queue.advice === undefined) return
    const advice = this.#advisor.adviceOf(step)
    if (advice.openQuestions > 0 || nowMs < advice.backoffUntilMs) return
    const { definition } = step
    const size = requiredResources(definition)
    const unasked = pass.sessions(queue.service).filter(session => !advice.wasAsked(session.key)).sort((left, right) => right.free.processors - left.free.processors)
    if (unasked.length === 0) return
    const capacities = unasked.map(({ capacity }) => Math.min(countFitting(size, capacity.total), definition.tasksPerTarget || Infinity))
    const named = countTargetsToName(definition.gang ? waiting : 1, capacities, this.#advisor.allowedShare(queue).value)
    runInBackground(this.#advisor.ask(step, queue, unasked.slice(0, named)).then(() => this.#reservations.retry(step)), this.#logger, 'placement advice')
  }

  /** Places tasks that may crash their targets before all others, so that these find the isolated targets closed. */
  #placeSuspectedTasks (ranked: readonly WaitingStep[], nowMs: number): void {
    const withSuspects = ranked.filter(({ suspected }) => suspected.length > 0)
    if (withSuspects.length === 0 && !this.#isolation.active) return
    const pass = new PlacementPass(this.#options.desiredState(), this.#fleet.usable)
    this.#isolation.releaseUnneeded(step => this.#isolationRequest(step, pass, nowMs), nowMs)
    for (const { step, suspected } of withSuspects) this.#placeIsolated(step, suspected, pass, nowMs)
  }

  /** Undefined if the cap of the team does not allow suspected tasks of the step to start, or members of a gang have not ended. */
  #isolationRequest (step: StepProgress, pass: PlacementPass, nowMs: number): IsolationRequest | undefined {
    const suspected = step.waiting.length === 0 ? 0 : step.suspectedTasks.filter(({ state }) => state === 'waiting').length
    const queue = pass.queue(step.job.queue)
    if (suspected === 0 || this.#allowedIsolated(step, suspected, pass, queue) === 0) return undefined
    return { step, targets: pass.sessions(queue.service), permits: session => this.#permits(step, queue, session), othersWait: this.#servicesWithoutRoom.has(queue.service), nowMs }
  }

  /** Whether the policy of the queue is known to allow the target for the step. */
  #permits (step: StepProgress, queue: QueueSettings, { key }: TargetSession): boolean {
    return queue.advice === undefined || this.#advisor.findAdvice(step)?.allows(key) === true
  }

  /** Number of the suspected tasks that may start now as far as the cap of the team decides it. */
  #allowedIsolated ({ definition, job }: StepProgress, suspected: number, pass: PlacementPass, queue: QueueSettings): number {
    const team = pass.team(job.team)
    const count = team === undefined ? suspected : this.#usage.allowedCount(team, definition, suspected, queue.priority === 0)
    return definition.gang && count < suspected ? 0 : count
  }

  #placeIsolated (step: StepProgress, tasks: readonly TaskProgress[], pass: PlacementPass, nowMs: number): void {
    const queue = pass.queue(step.job.queue)
    const advice = queue.advice === undefined ? undefined : this.#advisor.adviceOf(step)
    if (advice !== undefined && (advice.openQuestions > 0 || nowMs < advice.backoffUntilMs)) return
    const request = this.#isolationRequest(step, pass, nowMs)
    if (request === undefined) return
    const count = this.#allowedIsolated(step, tasks.length, pass, queue)
    const { targets } = request
    // A further crash beside other runs would prove nothing about a task with two.
    const mayShare = hasAtMostOneCrash(step)
    if (mayShare && this.#blocked.isOverdue(step, nowMs) && this.#placeBesideOthers(step, tasks, request, pass, nowMs)) return
    const { ready, insufficient } = this.#isolation.prepare(request)
    if (ready.length === 0 && advice !== undefined) {
      // Runs on the permitted targets may take long, while a target without runs is permitted too but was not asked about.
      const unasked = targets.filter(session => !advice.wasAsked(session.key) && (insufficient || this.#isolation.isOpenAndVacant(session, step.job)))
      runInBackground(this.#advisor.ask(step, queue, unasked.slice(0, MAX_TARGETS_PER_QUESTION)), this.#logger, 'placement advice')
    }
    const placed = ready.length === 0 ? 0 : this.#placeSuspected(step, queue, tasks, count, ready, nowMs)
    if (placed > 0) this.#blocked.recordStart(step)
    else if (mayShare) this.#recordIfBlocked(step, tasks.length, pass, nowMs)
  }

  /** Starts suspected tasks that have waited for too long for targets of their own; returns whether any was placed. */
  #placeBesideOthers (step: StepProgress, tasks: readonly TaskProgress[], request: IsolationRequest, pass: PlacementPass, nowMs: number): boolean {
    const queue = pass.queue(step.job.queue)
    const targetsOfSuspects = this.#isolation.findTargetsOfSuspects(step.job, nowMs)
    const targets = this.#isolation.findLeastBusy(request)
    const placed = targets.length === 0 ? 0 : this.#placeSuspected(step, queue, tasks, this.#allowedIsolated(step, tasks.length, pass, queue), targets, nowMs)
    if (placed === 0) return false
    this.#logger.info({ step: step.name, targets: targets.map(({ id }) => id) }, 'suspected tasks start beside other runs: they have waited for too long for targets of their own')
    this.#blocked.recordStart(step)
    this.#isolation.openSharedTargets(step.job, targetsOfSuspects, nowMs)
    return true
  }

  /** Returns the number of tasks for which capacity was reserved. */
  #placeSuspected (step: StepProgress, queue: QueueSettings, tasks: readonly TaskProgress[], count: number, ready: readonly TargetSession[], nowMs: number): number {
    if (queue.advice !== undefined) return this.#placeWithAdvice(step, queue, tasks, count, ready, nowMs)
    const reserved = this.#starts.reserve(tasks, placeStep(step.definition, count, ready.map(session => this.#describeTarget(step, session))))
    this.#starts.startWhenStored(step, reserved, () => NO_TICKET_NEEDED)
    return reserved.length
  }

  /** Whether the team's cap prevents tasks of the step from running, regardless of free capacity. */
  #isCapped ({ job, definition }: StepProgress, waiting: number, pass: PlacementPass, queue: QueueSettings): boolean {
    const team = pass.team(job.team)
    return team !== undefined && this.#usage.allowedCount(team, definition, waiting, queue.priority === 0) < waiting
  }

  /** Returns the number of tasks for which capacity was reserved. */
  #placeWithAdvice (
    step: StepProgress, queue: QueueSettings, waiting: readonly TaskProgress[], count: number, sessions: readonly TargetSession[], nowMs: number, room: RoomView = ALL_ROOM
  ): number {
    const advice = this.#advisor.adviceOf(step)
    if (nowMs < advice.backoffUntilMs) return 0
    const local = this.#withRunningRack(step)
    const decision = decideAdvisedPlacement({
      definition: local,
      count,
      advice,
      allowedShare: this.#advisor.allowedShare(queue).value,
      targets: sessions.map(session => ({ id: session.id, key: session.key, free: room.free(session), session })),
      describe: ({ session }) => this.#describeTarget(step, session, room),
      nowMs,
      decisionMs: queue.advice?.decisionMs ?? 0,
      idleLanes: this.#options.lanes.idleForLongQuestions,
      expectQuestion: targets => this.#advisor.expectQuestion(queue, targets),
      timeUntilAllowedMs: () => this.#forecast.timeUntilRoomMs({
        service: queue.service, size: requiredResources(step.definition), tasks: step.definition.gang ? count : 1, permits: session => advice.allows(session.key)
      })
    })
    switch (decision.action) {
      case 'ask':
        for (const targets of decision.questions) runInBackground(this.#advisor.ask(step, queue, targets), this.#logger, 'placement advice')
        return 0
      case 'start': {
        const placed = this.#withoutWaiting(step, local, queue, decision.placed, sessions, nowMs)
        this.#starts.startWhenStored(step, this.#starts.reserve(waiting, placed), session => advice.ticket(session.key, this.#clock.monotonicMs()))
        return placed.length
      }
      case 'renew': {
        const placed = this.#withoutWaiting(step, local, queue, decision.placed, sessions, nowMs)
        if (placed.length > 0) runInBackground(this.#startAfterRenewedAdvice(step, queue, advice, this.#starts.reserve(waiting, placed)), this.#logger, 'start after renewed advice')
        return placed.length
      }
      case 'wait':
        return 0
    }
  }

  /** The step's definition; for a group of which tasks run on one rack, with that rack as the one to be near to. */
  #withRunningRack ({ definition, tasks }: StepProgress): StepDefinition {
    if (!definition.sameRack || definition.dataRack !== '') return definition
    const racks = new Set(tasks.flatMap(({ placedOn }) => placedOn === '' ? [] : this.#fleet.get(placedOn)?.rack ?? []))
    const [rack = ''] = racks
    // Once the group is spread, no place makes its runs faster.
    return racks.size > 1 ? { ...definition, sameRack: false } : { ...definition, dataRack: rack }
  }

  /** Leaves out the tasks that wait for a place near their data, or for one rack. */
  #withoutWaiting (step: StepProgress, definition: StepDefinition, queue: QueueSettings, placed: readonly string[], sessions: readonly TargetSession[], nowMs: number): readonly string[] {
    if (placed.length === 0 || (definition.dataRack === '' && !definition.sameRack)) return placed
    const advice = queue.advice === undefined ? undefined : this.#advisor.findAdvice(step)
    const started = this.#locality.decide({
      step,
      definition,
      service: queue.service,
      racks: placed.map(key => this.#fleet.get(key)?.rack ?? ''),
      findTargets: () => sessions.filter(session => (advice?.allows(session.key) ?? true) && this.#isUsefulFor(definition, this.#describeTarget(step, session))),
      slackMs: slackMs(step.job, nowMs, this.#options.runTimes),
      nowMs
    })
    return started.map(position => placed[position] as string)
  }

  /** Whether tasks may wait for room on the target. */
  #isUsefulFor (definition: StepDefinition, target: TargetAvailability): boolean {
    const hasSlot = definition.tasksPerTarget === 0 || target.sameStepTasks < definition.tasksPerTarget
    return hasSlot && !target.isUnreliable && isSuitable(definition, target)
  }

  /** Keeps capacity reserved while expired tickets are renewed, which takes up to a second. */
  async #startAfterRenewedAdvice (step: StepProgress, queue: QueueSettings, advice: StepAdvice, reserved: readonly ReservedStart[]): Promise<void> {
    const sessions = [...new Set(reserved.map(({ session }) => session))]
    for (let offset = 0; offset < sessions.length; offset += MAX_TARGETS_PER_QUESTION) {
      await this.#advisor.renew(step, queue, sessions.slice(offset, offset + MAX_TARGETS_PER_QUESTION))
    }
    this.#starts.startWhenStored(step, reserved, session => advice.ticket(session.key, this.#clock.monotonicMs()))
  }

  /** Upper bound on the tasks to place, given free capacity, the team's cap and the reserve for urgent tasks. */
  #allowedCount (step: StepProgress, waiting: number, pass: PlacementPass, queue: QueueSettings, room = ALL_ROOM, heldShare?: ComputeResources): number {
    const { size, gang, longRunning } = step.definition
    let count = waiting
    // In a full service a lasting task would be kept out for ever; work that ends gives the reserve back.
    if (queue.priority > 0 && size.processors > 0 && !longRunning) {
      const spare = pass.freeProcessors(queue.service, room) - pass.totalProcessors(queue.service) * URGENT_RESERVE_RATIO
      const unreserved = Math.max(0, Math.floor(spare / size.processors))
      // The reserve could not be regained from lasting tasks, and would be kept for ever from a task or gang that needs it.
      const unit = gang ? waiting : 1
      if (unreserved < count) count = unreserved < unit && pass.hasOnlyLastingRuns(queue.service) ? unit : unreserved
    }
    const team = pass.team(step.job.team)
    if (team !== undefined) count = this.#usage.allowedCount(team, step.definition, count, queue.priority === 0, heldShare)
    // Checked last, since it scans all targets.
    return count === 0 ? 0 : pass.tasksThatFit(queue.service, requiredResources(step.definition), count, room)
  }

  #explainWait (step: StepProgress): WaitExplanation {
    const { reason, details } = this.#findWaitReason(step)
    const kept = this.keptCapacity
    if (kept.length === 0) return { reason, ...(details === undefined ? {} : { details }) }
    return { reason, details: { ...details, kept: kept.slice(0, MAX_LOGGED_KEPT), usesKeptInMs: this.#blocked.remainingMs(step, this.#clock.monotonicMs()) } }
  }

  #findWaitReason (step: StepProgress): WaitExplanation {
    const { definition, waiting, job } = step
    if (waiting.length === 0) return { reason: 'assigned' }
    const usable = this.#fleet.usable
    const open = usable.filter(session => !this.#isolation.holds(session))
    const pass = new PlacementPass(this.#options.desiredState(), open)
    const queue = pass.queue(job.queue)
    const needed = definition.gang ? waiting.length : 1
    const targets = { targets: pass.sessions(queue.service).length, keptTargets: usable.length - open.length, evacuatedTargets: this.#fleet.countEvacuated(queue.service) }
    if (this.#isCapped(step, needed, pass, queue)) return { reason: 'cap', details: { used: this.#usage.usageOf(job.team), cap: pass.team(job.team)?.cap } }
    if (step.suspectedTasks.some(task => task.state === 'waiting')) return { reason: 'isolation', details: targets }
    if (this.#allowedCount(step, needed, pass, queue) < needed) {
      return { reason: 'capacity', details: { ...targets, freeProcessors: pass.freeProcessors(queue.service), totalProcessors: pass.totalProcessors(queue.service) } }
    }
    const advice = this.#advisor.findAdvice(step)
    if (this.#locality.isWaiting(step)) return { reason: 'locality', details: targets }
    const blocked = this.#reservations.explainBlocked(step, this.#clock.monotonicMs())
    if (blocked !== undefined) return { reason: 'reservation', details: { ...targets, ...blocked } }
    if (queue.advice === undefined) return { reason: 'next-pass', details: targets }
    if (advice?.answered !== true || advice.openQuestions > 0) return { reason: 'advice-awaited', details: { ...targets, openQuestions: advice?.openQuestions ?? 0 } }
    const allowed = pass.sessions(queue.service).filter(session => advice.allows(session.key))
    return { reason: 'advice', details: { ...targets, allowed: allowed.length, allowedWithCapacity: allowed.filter(({ free }) => fitsWithin(requiredResources(definition), free)).length } }
  }

  #describeTarget (step: StepProgress, session: TargetSession, room = ALL_ROOM): TargetAvailability {
    const { definition } = step
    const restrictsSharing = definition.fillsSpareProcessors || definition.responseTargetMs > 0
    const assignments = restrictsSharing || definition.tasksPerTarget > 0 ? [...session.assignments.values()] : []
    return {
      key: session.key,
      free: room.free(session),
      rack: session.rack,
      labels: session.description.labels,
      sameStepTasks: definition.tasksPerTarget > 0 ? assignments.filter(({ task }) => task.step === step).length : 0,
      hasResponseTargetTasks: restrictsSharing && assignments.some(({ task }) => task.step.definition.responseTargetMs > 0),
      hasSpareFillingTasks: restrictsSharing && assignments.some(({ task }) => task.step.definition.fillsSpareProcessors),
      isUnreliable: session.leavesStartsUnanswered || this.#options.isSlow(session) || (this.#failedTargets.get(step)?.has(session.key) ?? false)
    }
  }
}

/**
 * `awaits-advice`: the first answer is outstanding. `awaits-locality`: a place near its data is expected soon. `capped`: the cap
 * of the team prevents it. `no-room`: no target that may be used has capacity.
 */
type PlacementOutcome = 'placed' | 'awaits-advice' | 'awaits-locality' | 'capped' | 'no-room'

/** A step with tasks to place, and its rank. */
interface WaitingStep {
  readonly step: StepProgress
  readonly waiting: readonly TaskProgress[]
  /** Waiting tasks that may crash their targets; not contained in `waiting`. */
  readonly suspected: readonly TaskProgress[]
  readonly rank: readonly number[]
}
