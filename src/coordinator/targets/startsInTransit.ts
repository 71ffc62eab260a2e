/** Tracks the start requests that a target, or its next incarnation, may still execute. */
import type { Clock } from '../../ports/clock.ts'
import type { Assignment } from './assignment.ts'
import { MAX_REQUEST_DELAY_MS } from './withdrawStart.ts'

/** Several times as long as a start request and its answer take to another region and back. */
const MAX_START_ANSWER_MS = 400

/**
 * @example
 * const starts = new StartsInTransit(clock)
 * starts.recordSent(assignment)
 * const { outcome } = await client.start(order)
 * starts.recordReturned(assignment)
 */
export class StartsInTransit {
  readonly #clock: Clock
  /** Sending times of the start requests that are in progress, the oldest first. */
  readonly #sentMs = new Map<Assignment, number>()
  /**
   * Starts without an answer that this incarnation will not execute, since they were stopped; the next one would. Until
   * the given time they may still be in transit.
   */
  readonly #stopped = new Map<Assignment, number>()
  /** When the last start request was given up without an answer; undefined once the target has reported since. */
  #unansweredAtMs: number | undefined
  #hasIncarnationEnded = false

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Whether the answer to a start request is overdue. */
  get isAnswerOverdue (): boolean {
    const [oldestSentMs = Infinity] = this.#sentMs.values()
    return this.#unansweredAtMs !== undefined || this.#clock.monotonicMs() - oldestSentMs > MAX_START_ANSWER_MS
  }

  /** Stopped starts that the next incarnation may still execute. */
  get stopped (): readonly Assignment[] {
    this.#removeExpired()
    return [...this.#stopped.keys()]
  }

  recordSent (assignment: Assignment): void {
    this.#sentMs.set(assignment, this.#clock.monotonicMs())
  }

  /** Records that a start request was answered or given up. */
  recordReturned (assignment: Assignment): void {
    this.#sentMs.delete(assignment)
  }

  /** Applies the outcome of the last start request of an assignment. */
  recordOutcome (assignment: Assignment): void {
    if (assignment.startAnswered) this.#stopped.delete(assignment)
    else this.#unansweredAtMs = this.#clock.monotonicMs()
  }

  /** Records a report of this incarnation that was requested at the given time. */
  recordReport (requestedMs: number): void {
    if (this.#unansweredAtMs !== undefined && requestedMs >= this.#unansweredAtMs) this.#unansweredAtMs = undefined
  }

  /** Records that this incarnation will not execute the start of an assignment any more. */
  recordStopped (assignment: Assignment): void {
    if (this.#hasIncarnationEnded || assignment.startAnswered || assignment.reported) return
    this.#stopped.set(assignment, this.#clock.monotonicMs() + MAX_REQUEST_DELAY_MS)
  }

  recordWithdrawn (assignment: Assignment): void {
    this.#stopped.delete(assignment)
  }

  /** From now on, stopped starts are kept until they are withdrawn from the next incarnation. */
  endIncarnation (): void {
    this.#hasIncarnationEnded = true
  }

  #removeExpired (): void {
    if (this.#hasIncarnationEnded) return
    for (const [assignment, untilMs] of this.#stopped) {
      if (untilMs < this.#clock.monotonicMs()) this.#stopped.delete(assignment)
    }
  }
}

/** Whether the start request of an assignment may still reach the target. Those of earlier coordinators cannot: the target's fence refuses them. */
export function startMayStillArrive ({ reported, state }: Assignment): boolean {
  return !reported && state !== 'reserved' && state !== 'recovering'
}
