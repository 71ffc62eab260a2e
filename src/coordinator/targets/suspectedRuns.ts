/** What the runs on a target mean for keeping it for a job with suspected tasks. */
import type { JobProgress } from '../../jobs/jobProgress.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import type { Assignment } from './assignment.ts'
import { CLEARING_TIME_MS } from './crashEvidence.ts'
import type { TargetSession } from './targetSession.ts'

/**
 * Until this number of crashes, a lasting task may share its kept target with others. Users allow two starts after the
 * third crash, and these have to show whether the task is the cause.
 */
const MAX_CRASHES_FOR_SHARING = 2

/** Whether the suspected tasks of the job may share their targets: they last, and have crashes left to show which of them is the cause. */
export function maySuspectsShare (job: JobProgress): boolean {
  const suspects = job.steps.flatMap(step => step.suspectedTasks)
  return suspects.length > 0 && suspects.every(({ step, crashHistory }) => step.definition.longRunning && !step.definition.gang && crashHistory.crashes <= MAX_CRASHES_FOR_SHARING)
}

/** Identities of the targets that crashed under the step's suspected tasks. */
export function crashedTargets (step: StepProgress): ReadonlySet<string> {
  return new Set(step.suspectedTasks.flatMap(({ crashHistory }) => crashHistory.targets))
}

/** Whether a suspected task of the job runs on the target, or may begin to, and has not worked there for long. */
export function hasUnsettledSuspect (target: TargetSession, job: JobProgress, nowMs: number): boolean {
  return [...target.assignments.values()].some(run => {
    const { task } = run
    return task.step.job === job && task.state === 'assigned' && task.step.isSuspected(task) && !isSettled(run, nowMs)
  })
}

/** Returns a run of a suspected lasting task that has not yet worked on the target for long. */
export function findUnsettledSuspect (target: TargetSession, nowMs: number): Assignment | undefined {
  return [...target.assignments.values()].find(run => isLasting(run) && run.task.step.isSuspected(run.task) && run.task.step.job.outcome === undefined && !isSettled(run, nowMs))
}

/** A lasting task that has been at work for long did not crash its target, and others may join it. */
function isSettled (run: Assignment, nowMs: number): boolean {
  return isLasting(run) && nowMs - run.firstReportedAtMs >= CLEARING_TIME_MS
}

/** Whether nothing runs on the target but tasks of the job, and lasting tasks of others. */
export function isVacant (target: TargetSession, job: JobProgress): boolean {
  return !target.capacity.hasUnexpectedRuns && findPassing(target, job).length === 0
}

/** Whether a task of the job runs on the target, or may begin to. */
export function hasRunsOf (target: TargetSession, job: JobProgress): boolean {
  return [...target.assignments.values()].some(run => run.task.step.job === job)
}

/** Runs of other jobs that will end. */
function findPassing (target: TargetSession, job: JobProgress): readonly Assignment[] {
  return [...target.assignments.values()].filter(run => run.task.step.job !== job && !isLasting(run))
}

/** Orders targets by the runs of other jobs that have to end first. */
export function compareWork (left: TargetSession, right: TargetSession, job: JobProgress): number {
  return findPassing(left, job).length - findPassing(right, job).length || left.assignments.size - right.assignments.size
}

/** Orders targets by the time since when a run of another job has been at work: a long run tends to take longer still. */
export function compareAge (left: TargetSession, right: TargetSession, job: JobProgress): number {
  return findEarliestReportMs(left, job) - findEarliestReportMs(right, job) || compareWork(right, left, job)
}

function findEarliestReportMs (target: TargetSession, job: JobProgress): number {
  return Math.min(...findPassing(target, job).map(({ firstReportedAtMs }) => firstReportedAtMs))
}

/** Whether the run holds its resources until its job is cancelled. */
export function willStay (run: Assignment): boolean {
  return isLasting(run) && run.state !== 'stopping'
}

function isLasting ({ task }: Assignment): boolean {
  return task.step.definition.longRunning
}
