/** Ranks the waiting steps for placement. */
import { boundRunTimeMs } from '../../jobs/job.ts'
import type { JobProgress } from '../../jobs/jobProgress.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import type { Logger } from '../../observability/logger.ts'
import { DeclaredRunTimes } from '../forecast/runTimes.ts'
import type { RunTimes } from '../forecast/runTimes.ts'

/** A late job is still useful to its caller up to this multiple of its objective. */
const LATE_OBJECTIVE_FACTOR = 3
/** Margin factor for declared run times, which are off by up to a half. */
const ESTIMATE_MARGIN = 1.2

/** Time from a decision to the start of a step with learned run times: a pass, a commit of 25 ms and a start request. */
const START_MS = 100

export interface RankedStep {
  readonly step: StepProgress
  readonly rank: readonly number[]
}

/** Run times that tell for which steps they were learned, which need no margin, and how long the runs of a step took. */
export type RankingRunTimes = RunTimes & {
  readonly isLearned?: (step: StepProgress) => boolean
  readonly actualMs?: (step: StepProgress) => number | undefined
}

const DECLARED: RankingRunTimes = new DeclaredRunTimes()

/** Critical path of a job: longest chain of its steps' run times, as they were or else as expected, in milliseconds. */
export function criticalPathMs (job: JobProgress, runTimes: RankingRunTimes = DECLARED): number {
  return longestChainMs(job, step => {
    if (step === undefined) return undefined
    return (step.done ? runTimes.actualMs?.(step) : undefined) ?? runTimes.expectedMs(step)
  })
}

/** Latency objective of a job, measured from its acceptance. */
export function objectiveMs (job: JobProgress, runTimes: RankingRunTimes = DECLARED): number {
  return job.queue.stretchFactor * criticalPathMs(job, runTimes) + job.queue.latencyObjectiveMs
}

/** Expected work of a job, in core-milliseconds. */
export function expectedWork (job: JobProgress, runTimes: RankingRunTimes = DECLARED): number {
  return job.definition.steps.reduce((sum, { count, estimateMs, size }, position) => {
    const step = currentStep(job, position)
    return sum + count * (step === undefined ? boundRunTimeMs(estimateMs) : runTimes.expectedMs(step)) * size.processors / 1_000
  }, 0)
}

/**
 * Ranks a step; lower ranks are placed first. Jobs beyond their team's share come last, and before them those too late
 * to be useful. The others are ranked by priority, and within one by whether they can still meet their objective.
 * Among equals, started jobs and then small jobs come first.
 *
 * @example
 * steps.sort((left, right) => compareRanks(rankStep(left, now, runTimes), rankStep(right, now, runTimes)))
 */
export function rankStep (step: StepProgress, nowMs: number, runTimes: RankingRunTimes = DECLARED): readonly number[] {
  const { job } = step
  const objective = objectiveMs(job, runTimes)
  const finishMs = nowMs - job.acceptedAtMs + remainingCriticalPathMs(job, runTimes)
  const tier = finishMs <= objective ? 0 : finishMs <= objective * LATE_OBJECTIVE_FACTOR ? 1 : 2
  return [job.record.withinShare ? 0 : 1, tier === 2 ? 1 : 0, job.queue.priority, tier, job.hasStarted ? 0 : 1, expectedWork(job, runTimes)]
}

/**
 * Ranks the waiting steps of each pass; all steps of a job have one rank, which takes a walk through all of them. Leaves out steps whose rank can not be computed, which would otherwise end the
 * pass for all others.
 *
 * @example
 * const ranking = new StepRanking({ logger, runTimes })
 * ranking.beginPass(nowMs)
 * const ranks = steps.map(step => ranking.rank(step))
 */
export class StepRanking {
  readonly #logger: Logger
  readonly #runTimes: RankingRunTimes
  /** Ranks of this pass; undefined for jobs whose rank can not be computed. */
  readonly #ranks = new Map<JobProgress, readonly number[] | undefined>()
  /** Jobs whose failure was logged. */
  readonly #failed = new WeakSet<JobProgress>()
  #nowMs = 0

  constructor ({ logger, runTimes }: { readonly logger: Logger, readonly runTimes: RankingRunTimes }) {
    this.#logger = logger
    this.#runTimes = runTimes
  }

  /** Forgets the ranks of the last pass. */
  beginPass (nowMs: number): void {
    this.#ranks.clear()
    this.#nowMs = nowMs
  }

  /** Undefined if the rank can not be computed, which is logged once for each job. */
  rank (step: StepProgress): readonly number[] | undefined {
    const { job } = step
    if (!this.#ranks.has(job)) this.#ranks.set(job, this.#compute(step))
    return this.#ranks.get(job)
  }

  #compute (step: StepProgress): readonly number[] | undefined {
    try {
      return rankStep(step, this.#nowMs, this.#runTimes)
    } catch (error) {
      if (!this.#failed.has(step.job)) this.#logger.error({ err: error, step: step.name }, 'job can not be ranked and is not placed')
      this.#failed.add(step.job)
      return undefined
    }
  }
}

/** Time by which a job can be delayed and still meet its objective; negative if it will be late. */
export function slackMs (job: JobProgress, nowMs: number, runTimes: RankingRunTimes = DECLARED): number {
  return objectiveMs(job, runTimes) - (nowMs - job.acceptedAtMs + remainingCriticalPathMs(job, runTimes))
}

export function canMeetObjective (job: JobProgress, nowMs: number, runTimes: RankingRunTimes = DECLARED): boolean {
  return slackMs(job, nowMs, runTimes) >= 0
}

export function isUrgent ({ job }: StepProgress): boolean {
  return job.queue.priority === 0
}

/** Whether the rank is that of a job within its team's share that is not too late to be useful. */
export function isWithinShareAndUseful ([beyondShare, tooLate]: readonly number[]): boolean {
  return beyondShare === 0 && tooLate === 0
}

export function compareRanks (left: readonly number[], right: readonly number[]): number {
  for (let position = 0; position < left.length; position++) {
    const difference = (left[position] ?? 0) - (right[position] ?? 0)
    if (difference !== 0) return difference
  }
  return 0
}

/** Expected time from now to the end of a job's critical path, if its steps start without delay; with a margin for steps whose run times are not learned. */
export function remainingCriticalPathMs (job: JobProgress, runTimes: RankingRunTimes = DECLARED): number {
  return longestChainMs(job, step => {
    if (step === undefined) return undefined
    if (step.done) return 0
    return runTimes.isLearned?.(step) === true ? runTimes.expectedMs(step) + START_MS : runTimes.expectedMs(step) * ESTIMATE_MARGIN
  })
}

/** `timeOf` returns the time of a step; the declared time applies where it is undefined. */
function longestChainMs (job: JobProgress, timeOf: (step: StepProgress | undefined) => number | undefined): number {
  const ends: number[] = []
  let longestMs = 0
  for (const [position, { after, estimateMs }] of job.definition.steps.entries()) {
    // Not spread into the arguments of one call, which fails from about 100,000 entries on.
    let startMs = 0
    for (const earlier of after) startMs = Math.max(startMs, ends[earlier] ?? 0)
    const endMs = startMs + (timeOf(currentStep(job, position)) ?? boundRunTimeMs(estimateMs))
    ends.push(endMs)
    longestMs = Math.max(longestMs, endMs)
  }
  return longestMs
}

/** The step of the latest occurrence; undefined before the first one has begun. */
function currentStep (job: JobProgress, position: number): StepProgress | undefined {
  return job.openOccurrences === 0 ? undefined : job.findStep(job.openOccurrences - 1, position)
}
