/** Prevents starvation of gangs: steps with enough slack leave freed capacity to waiting gangs. */
import type { StepProgress } from '../../jobs/stepProgress.ts'
import { canMeetObjective, slackMs } from './jobRanking.ts'
import type { RankingRunTimes } from './jobRanking.ts'

/** Minimum wait before a gang gets precedence; until then it may find capacity by itself. */
const MIN_GANG_WAIT_MS = 300
/** A step with less slack does not wait: advice, a start and the end of a run that frees capacity take this long. */
const MIN_SLACK_MS = 3_000
/** With a higher ratio of free processors, a gang is waiting for other targets than those that other steps would use. */
const MAX_FREE_RATIO = 0.4

/** Free and total processors per service. */
export interface ServiceCapacity {
  freeProcessors (service: string): number
  totalProcessors (service: string): number
}

/**
 * Tracks the gangs without capacity during one pass. Steps of lower priority in the same service then wait as long as
 * they can still meet their objective.
 *
 * @example
 * const precedence = new GangPrecedence(capacity, nowMs)
 * if (!precedence.yields(step, queue.service) && !place(step)) precedence.recordWaitingGang(step, queue.service)
 */
export class GangPrecedence {
  readonly #capacity: ServiceCapacity
  readonly #nowMs: number
  readonly #runTimes: RankingRunTimes | undefined
  /** Highest priority (lowest number) of a waiting gang, by service. */
  readonly #waiting = new Map<string, number>()

  constructor (capacity: ServiceCapacity, nowMs: number, runTimes?: RankingRunTimes) {
    this.#capacity = capacity
    this.#nowMs = nowMs
    this.#runTimes = runTimes
  }

  /** Records a step without capacity; ignored unless it is a gang that can still meet its objective. */
  recordWaitingGang (step: StepProgress, service: string): void {
    const { job, definition } = step
    if (!definition.gang || !job.record.withinShare || this.#nowMs - job.acceptedAtMs < MIN_GANG_WAIT_MS || !canMeetObjective(job, this.#nowMs, this.#runTimes)) return
    this.#waiting.set(service, Math.min(this.#waiting.get(service) ?? Infinity, job.queue.priority))
  }

  /** Whether the step must leave capacity to a waiting gang. Lasting steps have no objective that bounds their wait. */
  yields ({ job, definition }: StepProgress, service: string): boolean {
    const priority = this.#waiting.get(service)
    if (priority === undefined || definition.longRunning || job.queue.priority <= priority || slackMs(job, this.#nowMs, this.#runTimes) <= MIN_SLACK_MS) return false
    return this.#capacity.freeProcessors(service) <= this.#capacity.totalProcessors(service) * MAX_FREE_RATIO
  }
}
