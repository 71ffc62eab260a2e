/** Sends the start and stop requests for the runs of one target incarnation, and acts on their answers. */
import type { TargetDescription } from '../../jobs/jobRecords.ts'
import type { Logger } from '../../observability/logger.ts'
import type { Clock } from '../../ports/clock.ts'
import type { JobTargetClient, StartOutcome, StartRefusal } from '../../ports/jobTarget.ts'
import type { StartTicket } from '../advice/startTicket.ts'
import type { AssignedRuns } from './assignedRuns.ts'
import type { Assignment } from './assignment.ts'
import type { OverdueAnswers } from './overdueAnswers.ts'
import type { StartsInTransit } from './startsInTransit.ts'
import type { TargetContact } from './targetContact.ts'
import type { TargetFence } from './targetFence.ts'
import type { TargetLease } from './targetLease.ts'

/** Delay after an unanswered start request, after which the run is stopped unless the target reports it. */
const CONFIRMATION_DELAY_MS = 250
/** Maximum wait of a start for a fencing token; the store answers a write sooner, and each placement is one. */
const MAX_TOKEN_WAIT_MS = 300
const TOKEN_RETRY_DELAY_MS = 20
/** Delay between repeated stop requests. */
const STOP_RETRY_DELAY_MS = 400

export interface RunRequestsListener {
  startConfirmed (assignment: Assignment): void
  startRefused (assignment: Assignment, refusal: StartRefusal): void
  /** A start request was not answered, and the run is being stopped because the target does not report it. */
  startUnanswered (assignment: Assignment): void
  /** The target knows a later coordinator. */
  fenced (): void
  /** The target has refused a request, since another incarnation has replaced the one that it was meant for. */
  restarted (): void
  /** A start was answered, and it is not known by which incarnation. */
  executorUnknown (): void
  /** The clock of an answer suggests that the target has restarted. */
  restartSuspected (): void
}

export interface RunRequestsOptions {
  readonly description: TargetDescription
  readonly client: JobTargetClient
  readonly clock: Clock
  readonly logger: Logger
  readonly fence: TargetFence
  readonly contact: TargetContact
  readonly lease: TargetLease
  readonly starts: StartsInTransit
  readonly answers: OverdueAnswers
  readonly runs: AssignedRuns
  /** Whether this coordinator may send requests now. */
  readonly hasAuthority: () => boolean
  /** Whether the target's data centre is evacuated now, so that no task may be started here. */
  readonly isEvacuated: () => boolean
  /** Whether the incarnation or the term has ended. */
  readonly hasEnded: () => boolean
  readonly listener: RunRequestsListener
}

/**
 * @example
 * const requests = new RunRequests(options)
 * await requests.start(assignment, NO_TICKET_NEEDED)
 * await requests.stop(assignment)
 */
export class RunRequests {
  readonly #options: RunRequestsOptions

  constructor (options: RunRequestsOptions) {
    this.#options = options
  }

  /** Sends the start request for a task with reserved capacity. */
  async start (assignment: Assignment, ticket: StartTicket): Promise<void> {
    const { description, client, logger, fence, lease, starts, answers, runs, isEvacuated, hasEnded } = this.#options
    const { task } = assignment
    const checkpoint = task.step.checkpointOf(task)
    assignment.state = 'starting'
    for (;;) {
      const fencingToken = fence.tokenForStart() ?? await this.#awaitToken()
      if (isStopping(assignment) || !runs.has(assignment)) return await this.#handleStartOutcome(assignment, { outcome: 'refused', refusal: 'superseded' })
      const leaseUntilTargetMs = lease.extend()
      if (hasEnded() || fencingToken === undefined || leaseUntilTargetMs === undefined || isEvacuated()) return this.#handleRefusal(assignment, 'unhealthy')
      assignment.startAnswered = false
      assignment.isResumed = checkpoint !== ''
      starts.recordSent(assignment, ticket.expiredByMs)
      answers.recordSent(assignment)
      const result = await client.start({
        task: task.name,
        attempt: assignment.attempt,
        spec: task.step.job.definition.spec,
        leaseUntilTargetMs,
        fencingToken,
        checkpoint,
        ...(ticket.text === '' ? {} : { ticket: ticket.text })
      })
      this.#recordOutcome(assignment, result)
      const wasOvertaken = result.outcome === 'refused' && result.refusal === 'fenced' && !fence.isLatest(fencingToken)
      if (!wasOvertaken) return await this.#handleStartOutcome(assignment, result)
      logger.info({ task: task.name, attempt: assignment.attempt, target: description.id }, 'a later request has overtaken a start, which the target refused')
    }
  }

  /** Resolves with the token for a start; undefined if the coordinator does not write to the store meanwhile. */
  async #awaitToken (): Promise<number | undefined> {
    const { clock, fence, hasEnded } = this.#options
    const untilMs = clock.monotonicMs() + MAX_TOKEN_WAIT_MS
    let token: number | undefined
    while (token === undefined && !hasEnded() && clock.monotonicMs() < untilMs) {
      await clock.sleep(TOKEN_RETRY_DELAY_MS)
      token = fence.tokenForStart()
    }
    return token
  }

  #recordOutcome (assignment: Assignment, result: StartOutcome): void {
    const { clock, contact, starts, answers, listener } = this.#options
    assignment.startAnswered = result.outcome !== 'unknown'
    answers.recordReturned(assignment, assignment.startAnswered)
    if (result.outcome === 'unknown') return starts.recordUnanswered(assignment)
    if (result.outcome === 'refused') return starts.recordSettled(assignment)
    assignment.answeredAtMs = clock.monotonicMs()
    if (assignment.isRunHere) starts.recordSettled(assignment)
    else starts.recordExecuted(assignment)
    if (assignment.isExecutorUnknown) listener.executorUnknown()
    contact.recordStarted()
    this.#compareClock(result.clockMs)
  }

  async #handleStartOutcome (assignment: Assignment, result: StartOutcome): Promise<void> {
    const { clock, runs, hasEnded, listener } = this.#options
    if (!runs.has(assignment) || hasEnded()) return
    // Until a stop is confirmed, the start may still be executed, whatever became of its answer.
    if (assignment.state !== 'stopping') assignment.confirmedAtMs = clock.monotonicMs()
    if (result.outcome === 'started') {
      assignment.startedAtMs ??= clock.monotonicMs()
      if (assignment.state === 'starting') assignment.state = 'running'
      return listener.startConfirmed(assignment)
    }
    if (result.outcome === 'refused') {
      if (result.refusal === 'fenced') return listener.fenced()
      return this.#handleRefusal(assignment, result.refusal)
    }
    if (assignment.state === 'starting') assignment.state = 'unconfirmed'
    await this.#stopUnlessConfirmed(assignment)
  }

  /** Has the target asked at once if its clock has changed, since a renewal may wait on a dead connection for seconds. */
  #compareClock (clockMs: number): void {
    const { description, logger, contact, hasEnded, listener } = this.#options
    const differenceMs = hasEnded() ? undefined : contact.findRestart(clockMs)
    if (differenceMs === undefined) return
    logger.info({ target: description.id, bornMs: description.bornMs, differenceMs: Math.round(differenceMs) }, 'the clock of a target suggests that it has restarted')
    listener.restartSuspected()
  }

  #handleRefusal (assignment: Assignment, refusal: StartRefusal): void {
    const { runs, listener } = this.#options
    runs.remove(assignment)
    listener.startRefused(assignment, refusal)
    if (refusal === 'other-life') listener.restarted()
  }

  async #stopUnlessConfirmed (assignment: Assignment): Promise<void> {
    const { clock, runs, listener } = this.#options
    await clock.sleep(CONFIRMATION_DELAY_MS)
    if (!runs.has(assignment) || assignment.state !== 'unconfirmed') return
    listener.startUnanswered(assignment)
    await this.stop(assignment)
  }

  /** Stops a run; it holds its capacity until the target reports its end. */
  async stop (assignment: Assignment): Promise<void> {
    const { clock, runs, hasEnded } = this.#options
    if (assignment.state === 'stopping' || assignment.state === 'reserved') return
    assignment.state = 'stopping'
    assignment.confirmedAtMs = Infinity
    while (runs.has(assignment) && !hasEnded()) {
      if (await this.sendStop(assignment.task.name, assignment.attempt)) {
        // Reports requested before this time may still show the run.
        assignment.confirmedAtMs = clock.monotonicMs()
        return
      }
      await clock.sleep(STOP_RETRY_DELAY_MS)
    }
  }

  /** Sends one stop request; returns true if the target will certainly end the run, or never start it. */
  async sendStop (task: string, attempt: number): Promise<boolean> {
    const { client, fence, hasAuthority, hasEnded, listener } = this.#options
    if (!hasAuthority()) return false
    const fencingToken = fence.nextToken()
    const outcome = await client.stop({ task, attempt, fencingToken })
    if (outcome === 'fenced' && fence.isLatest(fencingToken) && !hasEnded()) listener.fenced()
    if (outcome === 'other-life') listener.restarted()
    return outcome === 'stopping'
  }
}

/** A function, since the state may change while a request is in progress. */
function isStopping ({ state }: Assignment): boolean {
  return state === 'stopping'
}
