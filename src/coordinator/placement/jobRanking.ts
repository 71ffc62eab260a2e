/** Ranks the waiting steps for placement. */
import type { JobProgress } from '../../jobs/jobProgress.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'

/** A late job is still useful to its caller up to this multiple of its objective. */
const LATE_OBJECTIVE_FACTOR = 3
/** Margin factor for declared run times, which are off by up to a half. */
const ESTIMATE_MARGIN = 1.2

export interface RankedStep {
  readonly step: StepProgress
  readonly rank: readonly number[]
}

/** Critical path of a job: longest chain of its steps' declared run times, in milliseconds. */
export function criticalPathMs (job: JobProgress): number {
  const ends: number[] = []
  for (const step of job.definition.steps) {
    const startMs = Math.max(0, ...step.after.map(earlier => ends[earlier] ?? 0))
    ends.push(startMs + step.estimateMs)
  }
  return Math.max(0, ...ends)
}

/** Latency objective of a job, measured from its acceptance. */
export function objectiveMs (job: JobProgress): number {
  return job.queue.stretchFactor * criticalPathMs(job) + job.queue.latencyObjectiveMs
}

/** Declared work of a job, in core-milliseconds. */
export function declaredWork (job: JobProgress): number {
  return job.definition.steps.reduce((sum, step) => sum + step.count * step.estimateMs * step.size.processors / 1_000, 0)
}

/**
 * Ranks a step; lower ranks are placed first. Jobs beyond their team's share come last, and before them those too late
 * to be useful. The others are ranked by priority, and within one by whether they can still meet their objective.
 * Among equals, started jobs and then small jobs come first.
 *
 * @example
 * steps.sort((left, right) => compareRanks(rankStep(left, now), rankStep(right, now)))
 */
export function rankStep (step: StepProgress, nowMs: number): readonly number[] {
  const { job } = step
  const objective = objectiveMs(job)
  const finishMs = nowMs - job.acceptedAtMs + remainingCriticalPathMs(job) * ESTIMATE_MARGIN
  const tier = finishMs <= objective ? 0 : finishMs <= objective * LATE_OBJECTIVE_FACTOR ? 1 : 2
  return [job.record.withinShare ? 0 : 1, tier === 2 ? 1 : 0, job.queue.priority, tier, job.hasStarted ? 0 : 1, declaredWork(job)]
}

/** Time by which a job can be delayed and still meet its objective; negative if it will be late. */
export function slackMs (job: JobProgress, nowMs: number): number {
  return objectiveMs(job) - (nowMs - job.acceptedAtMs + remainingCriticalPathMs(job) * ESTIMATE_MARGIN)
}

export function canMeetObjective (job: JobProgress, nowMs: number): boolean {
  return slackMs(job, nowMs) >= 0
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

function remainingCriticalPathMs (job: JobProgress): number {
  const ends: number[] = []
  for (const [position, step] of job.definition.steps.entries()) {
    const done = job.findStep(Math.max(0, job.openOccurrences - 1), position)?.done ?? false
    const startMs = Math.max(0, ...step.after.map(earlier => ends[earlier] ?? 0))
    ends.push(startMs + (done ? 0 : step.estimateMs))
  }
  return Math.max(0, ...ends)
}
