/** Places the waiting tasks of jobs on targets: in which order, where, and with which permit. */
import type { DesiredState, QueueSettings } from '../jobs/desiredState.ts'
import type { LogRecord, PlacedRun } from '../jobs/jobRecords.ts'
import type { StepProgress, TaskProgress } from '../jobs/stepProgress.ts'
import { runInBackground } from '../lifecycle/runInBackground.ts'
import type { Logger } from '../observability/logger.ts'
import type { TimerClock } from '../ports/clock.ts'
import type { AdviceLanes } from './adviceLanes.ts'
import { Assignment } from './assignment.ts'
import { decideAdvisedPlacement, MAX_TARGETS_PER_QUESTION } from './advisedPlacement.ts'
import { GangPrecedence } from './gangPrecedence.ts'
import { isWithinShareAndUseful, compareRanks, isUrgent, rankStep } from './jobRanking.ts'
import { AdaptiveThrottle } from './adaptiveThrottle.ts'
import type { ThrottleLimits } from './adaptiveThrottle.ts'
import { PlacementPass } from './placementPass.ts'
import type { AdmissionControl } from './admissionControl.ts'
import { placeStep, requiredResources } from './placeStep.ts'
import type { TargetAvailability } from './placeStep.ts'
import { StepAdvice } from './stepAdvice.ts'
import type { TargetFleet } from './targetFleet.ts'
import type { TargetSession } from './targetSession.ts'
import { TeamUsage } from './teamUsage.ts'

/** Changes are collected for a short time; orders and reports get three quarters of the processor. */
const PASS_THROTTLE_LIMITS: ThrottleLimits = { minDelayMs: 5, maxDelayMs: 250, idleFactor: 3 }
const RETRY_DELAY_MS = 100
/** Part of the processors kept free of work that is not urgent, so that urgent work finds room. */
const URGENT_RESERVE_RATIO = 0.05

export interface TaskPlacerOptions {
  readonly clock: TimerClock
  readonly logger: Logger
  readonly fleet: TargetFleet
  /** Learns after each pass what still waits. */
  readonly admission: AdmissionControl
  readonly lanes: AdviceLanes
  readonly desiredState: () => DesiredState
  readonly hasAuthority: () => boolean
  /** Stores records; rejects when the term has ended. */
  readonly append: (records: readonly LogRecord[]) => Promise<void>
}

/**
 * Knows the steps with waiting tasks and what each team uses.
 *
 * @example
 * placer.offerStep(step)
 * placer.begin()
 */
export class TaskPlacer {
  readonly #options: TaskPlacerOptions
  readonly #clock: TimerClock
  readonly #logger: Logger
  readonly #fleet: TargetFleet
  readonly #usage = new TeamUsage()
  readonly #advice = new Map<StepProgress, StepAdvice>()
  readonly #failedTargets = new Map<StepProgress, Set<string>>()
  /** Steps that may have waiting tasks. */
  readonly #ready = new Set<StepProgress>()
  readonly #passes: AdaptiveThrottle
  /** Few steps are urgent, so that these passes are short and need not wait for the rest after a long one. */
  readonly #urgentPasses: AdaptiveThrottle
  #placing = false
  #closed = false

  constructor (options: TaskPlacerOptions) {
    this.#options = options
    this.#clock = options.clock
    this.#logger = options.logger
    this.#fleet = options.fleet
    this.#passes = new AdaptiveThrottle(this.#clock, PASS_THROTTLE_LIMITS, () => this.#runPass(false))
    this.#urgentPasses = new AdaptiveThrottle(this.#clock, PASS_THROTTLE_LIMITS, () => this.#runPass(true))
  }

  /** Places tasks from now on. */
  start (): void {
    this.#placing = true
    this.changed()
  }

  close (): void {
    this.#closed = true
    this.#passes.close()
    this.#urgentPasses.close()
    this.#options.lanes.close()
  }

  /** Places waiting tasks soon. */
  changed (): void {
    if (!this.#placing || this.#closed) return
    this.#urgentPasses.request()
    this.#passes.request()
  }

  /** Makes a step known whose earlier steps are done. */
  enqueueStep (step: StepProgress): void {
    if (step.job.outcome === undefined && !step.done && step.job.isReady(step)) this.#ready.add(step)
  }

  /** Forgets a step of a job that is over. */
  removeStep (step: StepProgress): void {
    this.#ready.delete(step)
    this.#advice.delete(step)
    this.#failedTargets.delete(step)
  }

  /** Offers a step again that lost a run; a gang begins anew as a whole. */
  retryStep (step: StepProgress): void {
    if (step.definition.gang && step.job.outcome === undefined) this.#fleet.stopRuns(assignment => assignment.task.step === step)
    this.enqueueStep(step)
    this.changed()
  }

  /** A run has certainly ended, or has not begun, without an end that is known. */
  requeueTask (task: TaskProgress, attempt: number): void {
    task.step.loseRun(task, attempt)
    this.retryStep(task.step)
  }

  /** Keeps the room of a run that an earlier coordinator placed. */
  recoverRun (task: TaskProgress): void {
    const { step, attempt } = task
    const session = this.#fleet.get(task.placedOn)
    if (session === undefined) return step.loseRun(task, attempt)
    const assignment = new Assignment(task, attempt, requiredResources(step.definition), 'recovering')
    assignment.confirmedAtMs = -Infinity
    this.#usage.add(step.job.team, step.definition.size)
    session.reserve(assignment)
  }

  /** A run does not count any more. */
  release (assignment: Assignment): void {
    this.#usage.remove(assignment.team, assignment.task.step.definition.size)
  }

  /** Other targets come first for the step from now on. */
  recordFailedTarget (step: StepProgress, session: TargetSession): void {
    const failed = this.#failedTargets.get(step) ?? new Set()
    failed.add(session.key)
    this.#failedTargets.set(step, failed)
  }

  /** A target did not accept the ticket of a step. */
  invalidateTicket (step: StepProgress, session: TargetSession): void {
    this.#advice.get(step)?.invalidateTicket(session.key)
  }

  /** Places tasks of the waiting steps in their rank, or only of those that are urgent and come first in any case. */
  #runPass (urgentOnly: boolean): void {
    if (!this.#options.hasAuthority()) return
    const nowMs = this.#clock.monotonicMs()
    const ranked = this.#rankWaiting(nowMs, urgentOnly)
    if (ranked.length > 0) {
      const pass = new PlacementPass(this.#options.desiredState(), this.#fleet.usable)
      const precedence = new GangPrecedence(pass, nowMs)
      for (const { step, waiting } of ranked) {
        const queue = pass.queue(step.job.queue)
        if (precedence.yields(step, queue.service)) continue
        if (!this.#placeWaitingTasks(step, waiting, queue, pass, nowMs)) precedence.recordWaitingGang(step, queue.service)
      }
    }
    if (urgentOnly) return
    this.#options.admission.updateWaiting(ranked.filter(({ step }) => !step.job.hasStarted && step.waiting.length > 0)
      .map(({ step: { job } }) => ({ team: job.team, waitedMs: nowMs - job.acceptedAtMs })))
  }

  #rankWaiting (nowMs: number, urgentOnly: boolean): readonly WaitingStep[] {
    const ranked: WaitingStep[] = []
    for (const step of this.#ready) {
      if (urgentOnly && (!isUrgent(step) || this.#advice.get(step)?.asking === true)) continue
      const { waiting } = step
      if (waiting.length === 0) {
        if (step.done || step.job.outcome !== undefined) this.#ready.delete(step)
        continue
      }
      const rank = rankStep(step, nowMs)
      if (!urgentOnly || isWithinShareAndUseful(rank)) ranked.push({ step, waiting, rank })
    }
    return ranked.sort((left, right) => compareRanks(left.rank, right.rank))
  }

  /** False if there is no room for the step on the targets that may run it, as far as they are known. */
  #placeWaitingTasks (step: StepProgress, waiting: readonly TaskProgress[], queue: QueueSettings, pass: PlacementPass, nowMs: number): boolean {
    const { definition } = step
    const advice = this.#advice.get(step)
    if (advice?.asking === true) return !advice.answered
    const sessions = pass.sessions(queue.service)
    const count = this.#allowedCount(step, waiting.length, pass, queue)
    if (count === 0 || (definition.gang && count < waiting.length)) return this.#isCapped(step, waiting.length, pass, queue)
    if (queue.advice === undefined) {
      const placed = placeStep(definition, count, sessions.map(session => this.#describeTarget(step, session)))
      pass.recordReservation(queue.service, requiredResources(definition), placed.length)
      this.#startWhenStored(step, this.#reserve(waiting, placed), () => '')
      return placed.length > 0
    }
    const reserved = this.#placeWithAdvice(step, queue, waiting, count, sessions, nowMs)
    pass.recordReservation(queue.service, requiredResources(definition), reserved)
    return reserved > 0 || this.#advice.get(step)?.answered !== true
  }

  /** Whether the team's cap keeps tasks of the step from running, whatever room there is. */
  #isCapped ({ job, definition }: StepProgress, waiting: number, pass: PlacementPass, queue: QueueSettings): boolean {
    const team = pass.team(job.team)
    return team !== undefined && this.#usage.allowedCount(team, definition.size, waiting, queue.priority === 0) < waiting
  }

  /** Returns for how many tasks room was reserved. */
  #placeWithAdvice (
    step: StepProgress, queue: QueueSettings, waiting: readonly TaskProgress[], count: number, sessions: readonly TargetSession[], nowMs: number
  ): number {
    const advice = this.#advice.get(step) ?? new StepAdvice()
    this.#advice.set(step, advice)
    if (nowMs < advice.backoffUntilMs) return 0
    const decision = decideAdvisedPlacement({
      definition: step.definition, count, advice, targets: sessions, describe: session => this.#describeTarget(step, session), nowMs
    })
    switch (decision.action) {
      case 'ask':
        runInBackground(this.#ask(step, queue, advice, decision.targets), this.#logger, 'placement advice')
        return 0
      case 'start':
        this.#startWhenStored(step, this.#reserve(waiting, decision.placed), session => advice.ticket(session.key, this.#clock.monotonicMs()))
        return decision.placed.length
      case 'renew':
        runInBackground(this.#startAfterRenewedAdvice(step, queue, advice, this.#reserve(waiting, decision.placed)), this.#logger, 'start after renewed advice')
        return decision.placed.length
      case 'wait':
        return 0
    }
  }

  async #ask (step: StepProgress, queue: QueueSettings, advice: StepAdvice, named: readonly TargetSession[]): Promise<void> {
    const settings = queue.advice
    if (settings === undefined || named.length === 0) return
    const asked = new Map(named.map(session => [session.id, session.key]))
    const askedMs = this.#clock.monotonicMs()
    advice.asking = true
    try {
      const allowed = await this.#options.lanes.ask({
        step: step.name,
        targets: [...asked.keys()],
        expectedMs: settings.decisionMs + settings.perTargetMs * asked.size
      }, queue.priority)
      const answeredMs = this.#clock.monotonicMs()
      advice.recordAnswer(asked, allowed, answeredMs + settings.ticketValidityMs)
      this.#logger.info({ job: step.job.id, step: step.name, named: asked.size, allowed: allowed.length, tookMs: Math.round(answeredMs - askedMs) }, 'placement advice')
    } catch (error) {
      this.#logger.info({ job: step.job.id, step: step.name, error: String(error) }, 'the placement advisor did not answer')
      advice.backoffUntilMs = this.#clock.monotonicMs() + RETRY_DELAY_MS
    } finally {
      advice.asking = false
      this.changed()
    }
  }

  /** Room is kept while expired tickets are renewed, since the answer takes up to a second. */
  async #startAfterRenewedAdvice (step: StepProgress, queue: QueueSettings, advice: StepAdvice, reserved: readonly Reservation[]): Promise<void> {
    const stored = this.#recordPlacement(step, reserved)
    const sessions = [...new Set(reserved.map(({ session }) => session))]
    for (let begin = 0; begin < sessions.length; begin += MAX_TARGETS_PER_QUESTION) {
      await this.#ask(step, queue, advice, sessions.slice(begin, begin + MAX_TARGETS_PER_QUESTION))
    }
    await stored
    this.#startReserved(step, reserved, session => advice.ticket(session.key, this.#clock.monotonicMs()))
  }

  /** Sends the orders when the log says where the tasks are placed, so that a successor finds them. */
  #startWhenStored (step: StepProgress, reserved: readonly Reservation[], ticketFor: TicketLookup): void {
    if (reserved.length === 0) return
    runInBackground(this.#recordPlacement(step, reserved).then(() => this.#startReserved(step, reserved, ticketFor)), this.#logger, 'start of tasks')
  }

  /** Resolves when the placement is stored or the term has ended. */
  async #recordPlacement (step: StepProgress, reserved: readonly Reservation[]): Promise<void> {
    const runs = reserved.map(({ session, assignment }): PlacedRun => [assignment.task.index, assignment.attempt, session.key])
    const record: LogRecord = { type: 'placed', job: step.job.id, occurrence: step.occurrence, step: step.number, runs }
    await this.#options.append([record]).catch(() => {
      // No order was sent, and none will be.
    })
  }

  /** Starts what may still be started; a gang as a whole or not at all. */
  #startReserved (step: StepProgress, reserved: readonly Reservation[], ticketFor: TicketLookup): void {
    if (this.#closed) return
    const startable = ({ session, assignment }: Reservation): boolean =>
      session.assignments.has(assignment.key) && !session.ended && !session.draining && ticketFor(session) !== undefined
    const permitted = step.job.outcome === undefined && (!step.definition.gang || reserved.every(startable))
    for (const reservation of reserved) {
      const { session, assignment } = reservation
      if (!session.assignments.has(assignment.key)) continue
      if (permitted && startable(reservation)) this.#start(session, assignment, ticketFor(session))
      else this.#cancelReservation(reservation)
    }
  }

  #cancelReservation ({ session, assignment }: Reservation): void {
    session.release(assignment)
    this.release(assignment)
    this.requeueTask(assignment.task, assignment.attempt)
  }

  #reserve (waiting: readonly TaskProgress[], placed: readonly string[]): readonly Reservation[] {
    const first = waiting[0]
    if (first === undefined || placed.length === 0) return []
    const { step } = first
    const gangAttempt = step.nextAttempt(first)
    const reserved: Reservation[] = []
    for (const [position, key] of placed.entries()) {
      const task = waiting[position]
      const session = this.#fleet.get(key)
      if (task === undefined || session === undefined) continue
      const attempt = step.definition.gang ? gangAttempt : step.nextAttempt(task)
      const assignment = new Assignment(task, attempt, requiredResources(step.definition), 'reserved')
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
    let count = waiting
    if (queue.priority > 0 && size.processors > 0) {
      const spare = pass.freeProcessors(queue.service) - pass.totalProcessors(queue.service) * URGENT_RESERVE_RATIO
      count = Math.min(count, Math.max(0, Math.floor(spare / size.processors)))
    }
    const team = pass.team(step.job.team)
    if (team !== undefined) count = this.#usage.allowedCount(team, size, count, queue.priority === 0)
    // Looks at every target, so that it comes last.
    return count === 0 ? 0 : pass.tasksThatFit(queue.service, requiredResources(step.definition), count)
  }

  #describeTarget (step: StepProgress, session: TargetSession): TargetAvailability {
    const { definition } = step
    const shares = definition.fillsSpareProcessors || definition.responseTargetMs > 0
    const assignments = shares || definition.tasksPerTarget > 0 ? [...session.assignments.values()] : []
    return {
      key: session.key,
      free: session.free,
      rack: session.rack,
      labels: session.description.labels,
      sameStepTasks: definition.tasksPerTarget > 0 ? assignments.filter(({ task }) => task.step === step).length : 0,
      hasResponseTargetTasks: shares && assignments.some(({ task }) => task.step.definition.responseTargetMs > 0),
      hasSpareFillingTasks: shares && assignments.some(({ task }) => task.step.definition.fillsSpareProcessors),
      hasFailedTasks: this.#failedTargets.get(step)?.has(session.key) ?? false
    }
  }
}

/** Returns the permit to start on a target; empty if none is needed, undefined if none is valid. */
type TicketLookup = (session: TargetSession) => string | undefined

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
