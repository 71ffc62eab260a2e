/** Starts placed tasks: reserves their capacity, records where they run, and sends the start requests. */
import type { LogRecord, PlacedRun } from '../../jobs/jobRecords.ts'
import type { StepProgress, TaskProgress } from '../../jobs/stepProgress.ts'
import { runInBackground } from '../../lifecycle/runInBackground.ts'
import type { JobMetrics } from '../../observability/jobMetrics.ts'
import type { Logger } from '../../observability/logger.ts'
import type { Clock } from '../../ports/clock.ts'
import { isUsableTicket } from '../advice/startTicket.ts'
import type { StartTicket } from '../advice/startTicket.ts'
import { isRemoteFrom } from '../forecast/locality.ts'
import { Assignment } from '../targets/assignment.ts'
import type { TargetFleet } from '../targets/targetFleet.ts'
import type { TargetSession } from '../targets/targetSession.ts'
import { requiredResources } from './placeStep.ts'
import type { TeamUsage } from './teamUsage.ts'

/** Returns the ticket for starting on a target; undefined if none is valid. */
export type TicketLookup = (session: TargetSession) => StartTicket | undefined

/** A task for which capacity is reserved. */
export interface ReservedStart {
  readonly session: TargetSession
  readonly assignment: Assignment
}

export interface TaskStartsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: JobMetrics
  readonly fleet: TargetFleet
  readonly usage: TeamUsage
  /** Stores records; rejects when the term has ended. */
  readonly append: (records: readonly LogRecord[]) => Promise<void>
  /** Called for a task whose reservation was given back without a start request. */
  readonly onGivenBack: (task: TaskProgress, attempt: number) => void
}

/**
 * @example
 * const reserved = starts.reserve(step.waiting, ['target-3', 'target-1'])
 * starts.startWhenStored(step, reserved, session => advice.ticket(session.key, clock.monotonicMs()))
 */
export class TaskStarts {
  readonly #options: TaskStartsOptions
  #closed = false

  constructor (options: TaskStartsOptions) {
    this.#options = options
  }

  /** Ends the term; no further start request is sent. */
  close (): void {
    this.#closed = true
  }

  /**
   * Sends the start requests after the placement is in the log, so that a successor finds the runs. They carry the tickets
   * of this moment: a successor knows from the time of its election until when those may be accepted.
   */
  startWhenStored (step: StepProgress, reserved: readonly ReservedStart[], ticketFor: TicketLookup): void {
    if (reserved.length === 0) return
    const tickets = new Map(reserved.map(({ session }) => [session, ticketFor(session)]))
    runInBackground(this.#record(step, reserved).then(() => this.#start(step, reserved, tickets)), this.#options.logger, 'start of tasks')
  }

  /** Resolves when the placement is stored or the term has ended. */
  async #record (step: StepProgress, reserved: readonly ReservedStart[]): Promise<void> {
    const runs = reserved.map(({ session, assignment }): PlacedRun => [assignment.task.index, assignment.attempt, session.key])
    const record: LogRecord = { type: 'placed', job: step.job.id, occurrence: step.occurrence, step: step.number, runs }
    await this.#options.append([record]).catch(() => {
      // No start request was sent, and none will be.
    })
  }

  /** Starts the reserved tasks that may still be started; a gang starts as a whole or not at all. */
  #start (step: StepProgress, reserved: readonly ReservedStart[], tickets: ReadonlyMap<TargetSession, StartTicket | undefined>): void {
    if (this.#closed) return
    const nowMs = this.#options.clock.monotonicMs()
    const ticketFor = (session: TargetSession): StartTicket | undefined => {
      const ticket = tickets.get(session)
      return ticket !== undefined && isUsableTicket(ticket, nowMs) ? ticket : undefined
    }
    const startable = ({ session, assignment }: ReservedStart): boolean =>
      session.assignments.has(assignment.key) && !session.ended && !session.draining && !session.evacuated && session.capacity.covers(assignment.size) && ticketFor(session) !== undefined
    const permitted = step.job.outcome === undefined && (!step.definition.gang || reserved.every(startable))
    this.#reportEvacuated(step, reserved)
    for (const reservation of reserved) {
      const { session, assignment } = reservation
      if (!session.assignments.has(assignment.key)) continue
      const ticket = permitted && startable(reservation) ? ticketFor(session) : undefined
      if (ticket !== undefined) this.#send(session, assignment, ticket)
      else this.#cancelReservation(reservation)
    }
  }

  /** Counts reserved tasks that are given back since the data centre of their target has been evacuated since. */
  #reportEvacuated (step: StepProgress, reserved: readonly ReservedStart[]): void {
    const evacuated = reserved.filter(({ session, assignment }) => session.evacuated && session.assignments.has(assignment.key))
    if (evacuated.length === 0) return
    this.#options.metrics.countStartsGivenBack(evacuated.length)
    this.#options.logger.info({ job: step.job.id, step: step.name, tasks: evacuated.map(({ session, assignment }) => [assignment.task.index, assignment.attempt, session.id]) }, 'starts given back: the data centre is evacuated')
  }

  #cancelReservation ({ session, assignment }: ReservedStart): void {
    session.cancelReservation(assignment)
    this.#options.usage.remove(assignment.team, assignment.task.step.definition)
    this.#options.onGivenBack(assignment.task, assignment.attempt)
  }

  /** Reserves capacity for the first waiting tasks on the targets with the given keys, one for each task. */
  reserve (waiting: readonly TaskProgress[], placed: readonly string[]): readonly ReservedStart[] {
    const first = waiting[0]
    if (first === undefined || placed.length === 0) return []
    const { step } = first
    const gangAttempt = step.nextAttempt(first)
    const reserved: ReservedStart[] = []
    const racks = this.#racksOfGroup(step, placed)
    for (const [position, key] of placed.entries()) {
      const task = waiting[position]
      const session = this.#options.fleet.get(key)
      if (task === undefined || session === undefined) continue
      const attempt = step.definition.gang ? gangAttempt : step.nextAttempt(task)
      const assignment = new Assignment(task, attempt, requiredResources(step.definition), 'reserved')
      assignment.isRemote = isRemoteFrom(step, session, racks)
      step.recordPlacement(task.index, attempt, key)
      this.#options.usage.add(step.job.team, step.definition)
      session.reserve(assignment)
      reserved.push({ session, assignment })
    }
    this.#options.logger.info({ job: step.job.id, step: step.name, tasks: reserved.map(({ session, assignment }) => [assignment.task.index, assignment.attempt, session.id]) }, 'tasks placed')
    return reserved
  }

  /** Racks of the step's tasks with those about to be placed; undefined for a step that is no group. */
  #racksOfGroup (step: StepProgress, placed: readonly string[]): ReadonlySet<string> | undefined {
    if (!step.definition.sameRack) return undefined
    const keys = new Set([...placed, ...step.tasks.map(({ placedOn }) => placedOn)])
    return new Set([...keys].flatMap(key => this.#options.fleet.get(key)?.rack ?? []))
  }

  #send (session: TargetSession, assignment: Assignment, ticket: StartTicket): void {
    runInBackground(session.start(assignment, ticket), this.#options.logger, 'start of a run')
  }
}
