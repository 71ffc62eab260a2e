/** Tells whether answers to start requests of one target incarnation are overdue. */
import type { Clock } from '../../ports/clock.ts'
import type { Assignment } from './assignment.ts'

/** Several times as long as a start request and its answer take to another region and back. */
const MAX_START_ANSWER_MS = 400

/**
 * @example
 * const answers = new OverdueAnswers(clock)
 * answers.recordSent(assignment)
 * const { outcome } = await client.start(order)
 * answers.recordReturned(assignment, outcome !== 'unknown')
 */
export class OverdueAnswers {
  readonly #clock: Clock
  /** Sending times of the start requests that are in progress, the oldest first. */
  readonly #sentMs = new Map<Assignment, number>()
  /** When the last start request was given up without an answer; undefined once the target has reported since. */
  #unansweredAtMs: number | undefined

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get any (): boolean {
    const [oldestSentMs = Infinity] = this.#sentMs.values()
    return this.#unansweredAtMs !== undefined || this.#clock.monotonicMs() - oldestSentMs > MAX_START_ANSWER_MS
  }

  recordSent (assignment: Assignment): void {
    this.#sentMs.set(assignment, this.#clock.monotonicMs())
  }

  /** Records that a start request was answered or given up. */
  recordReturned (assignment: Assignment, isAnswered: boolean): void {
    this.#sentMs.delete(assignment)
    if (!isAnswered) this.#unansweredAtMs = this.#clock.monotonicMs()
  }

  /** Records a report of this incarnation that was requested at the given time. */
  recordReport (requestedMs: number): void {
    if (this.#unansweredAtMs !== undefined && requestedMs >= this.#unansweredAtMs) this.#unansweredAtMs = undefined
  }
}
