/** What admission needs to know of a submitted job, and where it would be in placement order. */
import type { JobProgress } from '../../jobs/jobProgress.ts'
import { criticalPathMs, objectiveMs, rankStep } from '../placement/jobRanking.ts'
import type { RankingRunTimes } from '../placement/jobRanking.ts'
import { requiredResources } from '../placement/placeStep.ts'
import type { ComputeResources } from '../placement/placeStep.ts'

/** A late job is still of some use to its caller up to this multiple of its objective. */
const LATE_OBJECTIVE_FACTOR = 3
const MAX_PRIORITY = 63
const TIERS = 4
const SIZE_CLASSES = 32
const ON_TIME_TIER = 0
const LATE_TIER = 1

export interface AdmissionRequest {
  readonly service: string
  readonly team: string
  readonly priority: number
  readonly withinShare: boolean
  /** Place in placement order while the job can meet its objective; a lower one is placed first. */
  readonly order: number
  /** Place in placement order once the job is late. */
  readonly lateOrder: number
  /** Latency objective from this attempt on. */
  readonly objectiveMs: number
  readonly lateObjectiveMs: number
  /** Expected time from the start of the first steps to the end of the job, if no step waits. */
  readonly criticalPathMs: number
  /** Largest task, or whole gang, of the first steps: what must be free at once. */
  readonly unitProcessors: number
  /** Largest task of the first steps. */
  readonly largestTask: ComputeResources
  /** All tasks of the first steps together. */
  readonly processors: number
  /** Processor-milliseconds of the first steps. */
  readonly firstWork: number
  /** Processor-milliseconds of all steps. */
  readonly work: number
}

/**
 * Returns undefined for a job whose time can't be estimated: one that lasts or repeats, declares no run time, uses no
 * processors, or needs targets with a label.
 *
 * @example
 * const request = describeRequest(job, runTimes, clock.monotonicMs())
 */
export function describeRequest (job: JobProgress, runTimes: RankingRunTimes, nowMs: number): AdmissionRequest | undefined {
  const { steps } = job
  if (job.definition.repetition !== undefined || steps.some(({ definition }) => definition.longRunning || definition.requiredLabel !== '')) return undefined
  let work = 0
  let firstWork = 0
  let processors = 0
  let unitProcessors = 0
  let largestTask: ComputeResources = { processors: 0, memory: 0, accelerators: 0 }
  for (const step of steps) {
    const { count, gang, after } = step.definition
    const size = requiredResources(step.definition)
    const stepWork = count * size.processors * runTimes.expectedMs(step)
    work += stepWork
    if (after.length > 0) continue
    firstWork += stepWork
    processors += count * size.processors
    unitProcessors = Math.max(unitProcessors, gang ? count * size.processors : size.processors)
    if (size.processors > largestTask.processors) largestTask = size
  }
  const first = steps.find(({ definition }) => definition.after.length === 0)
  if (first === undefined || work <= 0 || processors <= 0) return undefined
  const rank = rankStep(first, nowMs, runTimes)
  const objective = objectiveMs(job, runTimes)
  return {
    service: job.queue.service,
    team: job.team,
    priority: job.queue.priority,
    withinShare: job.record.withinShare,
    order: orderOfRank(rank, ON_TIME_TIER),
    lateOrder: orderOfRank(rank, LATE_TIER),
    objectiveMs: objective,
    lateObjectiveMs: objective * LATE_OBJECTIVE_FACTOR,
    criticalPathMs: criticalPathMs(job, runTimes),
    unitProcessors,
    largestTask,
    processors,
    firstWork,
    work
  }
}

/**
 * Maps a rank of `rankStep` to a number with the same order, in which jobs of about the same amount of work (within a
 * factor of 2) are equal, so that amounts can be summed by a bounded number of places. `tier` replaces that of the rank.
 */
export function orderOfRank (rank: readonly number[], tier = rank[3] ?? 0): number {
  const [beyondShare = 0, tooLate = 0, priority = 0, , notStarted = 0, work = 0] = rank
  const sizeClass = Math.min(SIZE_CLASSES - 1, Math.max(0, Math.floor(Math.log2(work + 1))))
  const priorityOrder = orderOfPriority(beyondShare === 0, tooLate !== 0, priority)
  return ((priorityOrder * TIERS + Math.min(tier, TIERS - 1)) * 2 + notStarted) * SIZE_CLASSES + sizeClass
}

/** Place of a priority in placement order: all work of lower ones is placed first. */
export function orderOfPriority (withinShare: boolean, tooLate: boolean, priority: number): number {
  return ((withinShare ? 0 : 1) * 2 + (tooLate ? 1 : 0)) * (MAX_PRIORITY + 1) + Math.min(Math.max(0, Math.floor(priority)), MAX_PRIORITY)
}

/** The priority's place that contains the place of a job. */
export function priorityOfOrder (order: number): number {
  return Math.floor(order / (TIERS * 2 * SIZE_CLASSES))
}
