/** Lets gangs that wait for room go before steps that have time, so that a stream of small tasks does not fill each gap. */
import type { StepProgress } from '../jobs/stepProgress.ts'
import { canMeetObjective, slackMs } from './jobRanking.ts'

/** A gang that has waited for less may still find room by itself. */
const MIN_GANG_WAIT_MS = 300
/** A step with less time to spare than this does not wait: advice, a start and an end of a run that makes room take as long. */
const MIN_SLACK_MS = 3_000
/** With more of the processors free, a gang waits for other targets than those that the other steps would use. */
const MAX_FREE_RATIO = 0.4

/** Processors of one service. */
export interface ServiceCapacity {
  freeProcessors (service: string): number
  totalProcessors (service: string): number
}

/**
 * Knows, during one pass, the gangs that found no room. Steps of lower priority on the same targets then wait while
 * they meet their objective all the same.
 *
 * @example
 * const precedence = new GangPrecedence(room, nowMs)
 * if (!precedence.yields(step, queue.service) && !place(step)) precedence.noteWaiting(step, queue.service)
 */
export class GangPrecedence {
  readonly #capacity: ServiceCapacity
  readonly #nowMs: number
  /** Most urgent priority of a gang that waits, by service. */
  readonly #waiting = new Map<string, number>()

  constructor (room: ServiceCapacity, nowMs: number) {
    this.#capacity = room
    this.#nowMs = nowMs
  }

  /** Notes a step that found no room; only a gang that still can meet its objective counts. */
  recordWaitingGang (step: StepProgress, service: string): void {
    const { job, definition } = step
    if (!definition.gang || !job.record.withinShare || this.#nowMs - job.acceptedAtMs < MIN_GANG_WAIT_MS || !canMeetObjective(job, this.#nowMs)) return
    this.#waiting.set(service, Math.min(this.#waiting.get(service) ?? Infinity, job.queue.priority))
  }

  /** Whether the step leaves room to a gang. */
  yields ({ job }: StepProgress, service: string): boolean {
    const priority = this.#waiting.get(service)
    if (priority === undefined || job.queue.priority <= priority || slackMs(job, this.#nowMs) <= MIN_SLACK_MS) return false
    return this.#capacity.freeProcessors(service) <= this.#capacity.totalProcessors(service) * MAX_FREE_RATIO
  }
}
