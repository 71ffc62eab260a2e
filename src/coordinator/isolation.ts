/** Keeps targets to themselves for jobs of which a task may crash the targets that start it. */
import type { JobProgress } from '../jobs/jobProgress.ts'
import type { StepProgress, TaskProgress } from '../jobs/stepProgress.ts'
import type { Assignment } from './assignment.ts'
import { CLEARING_TIME_MS } from './crashEvidence.ts'
import { countFitting, isSuitable, requiredResources } from './placeStep.ts'
import type { TargetAvailability } from './placeStep.ts'
import type { TargetSession } from './targetSession.ts'

/** Part of a service's targets that may be isolated at the same time; a gang that needs more has to be the only one. */
const MAX_ISOLATED_RATIO = 0.25
/** The same if the added targets have nothing else to do. */
const MAX_ISOLATED_RATIO_OF_IDLE = 0.6

export interface IsolationRequest {
  readonly step: StepProgress
  /** The service's targets that may get tasks, isolated or not. */
  readonly targets: readonly TargetSession[]
  /** Whether the queue's policy is known to allow the target for the step. */
  readonly permits: (target: TargetSession) => boolean
  readonly describe: (target: TargetSession) => TargetAvailability
}

export interface IsolatedPlaces {
  /** Targets that run nothing but tasks of the job, and lasting tasks that will not end. */
  readonly ready: readonly TargetSession[]
  /** Whether all permitted targets together are too few for the step. */
  readonly insufficient: boolean
}

/**
 * A target that is kept for a job gets no other tasks, and the job's suspected tasks start there once the others have
 * ended: if it crashes then, nothing else explains it.
 *
 * @example
 * const { ready } = isolation.prepare({ step, targets, permits, describe })
 */
export class Isolation {
  readonly #jobs = new Map<TargetSession, JobProgress>()

  /** Whether the target is kept for a job. */
  holds (target: TargetSession): boolean {
    return this.#jobs.has(target)
  }

  /** Opens targets to all tasks again whose job no longer needs them. */
  releaseUnneeded (nowMs: number): void {
    for (const [target, job] of this.#jobs) {
      if (target.ended || job.outcome !== undefined || !needsTarget(job, target, nowMs)) this.#jobs.delete(target)
    }
  }

  /**
   * Keeps as many targets for the job as the step needs: those first that have not crashed under it, since a further
   * crash of the same target proves nothing, and of these the ones that will be vacant soonest.
   */
  prepare ({ step, targets, permits, describe }: IsolationRequest): IsolatedPlaces {
    const { job, definition } = step
    const size = requiredResources(definition)
    const places = (target: TargetSession): number => Math.min(countFitting(size, target.capacity.total), definition.tasksPerTarget || Infinity)
    const usable = targets.filter(target => permits(target) && isSuitable(definition, describe(target)) && places(target) > 0)
    const kept = usable.filter(target => this.#jobs.get(target) === job)
    let missing = (definition.gang ? definition.count : 1) - kept.reduce((sum, target) => sum + places(target), 0)
    const added: TargetSession[] = []
    const crashed = new Set(step.suspectedTasks.flatMap(task => step.crashHistoryOf(task).targets))
    const open = usable.filter(target => !this.#jobs.has(target) && !target.capacity.hasUnexpectedRuns)
    for (const target of open.sort((left, right) => Number(crashed.has(left.id)) - Number(crashed.has(right.id)) || compareWork(left, right, job))) {
      if (missing <= 0) break
      added.push(target)
      missing -= places(target)
    }
    if (missing > 0) return { ready: [], insufficient: true }
    const maximumRatio = added.every(target => isVacant(target, job)) ? MAX_ISOLATED_RATIO_OF_IDLE : MAX_ISOLATED_RATIO
    if (this.#mayAdd(added.length, kept.length, targets, maximumRatio)) for (const target of added) this.#jobs.set(target, job)
    return { ready: usable.filter(target => this.#jobs.get(target) === job && isVacant(target, job)), insufficient: false }
  }

  /** All targets of a gang are added at once, so that two gangs cannot hold a part each and wait for the other. */
  #mayAdd (added: number, kept: number, targets: readonly TargetSession[], maximumRatio: number): boolean {
    const held = targets.filter(target => this.#jobs.has(target)).length
    return held === kept || held + added <= targets.length * maximumRatio
  }
}

function needsTarget (job: JobProgress, target: TargetSession, nowMs: number): boolean {
  const isUnsettledHere = (task: TaskProgress): boolean => [...target.assignments.values()].some(run => run.task === task && !isSettled(run, nowMs))
  return job.steps.some(step => step.suspectedTasks.some(task => task.state === 'waiting' || (task.state === 'assigned' && isUnsettledHere(task))))
}

/** A lasting task that has been at work for long did not crash its target, and others may join it. */
function isSettled (run: Assignment, nowMs: number): boolean {
  return isLasting(run) && nowMs - run.firstReportedAtMs >= CLEARING_TIME_MS
}

function isVacant (target: TargetSession, job: JobProgress): boolean {
  return !target.capacity.hasUnexpectedRuns && countPassing(target, job) === 0
}

/** Number of runs of other jobs that will end. */
function countPassing (target: TargetSession, job: JobProgress): number {
  return [...target.assignments.values()].filter(run => run.task.step.job !== job && !isLasting(run)).length
}

function compareWork (left: TargetSession, right: TargetSession, job: JobProgress): number {
  return countPassing(left, job) - countPassing(right, job) || left.assignments.size - right.assignments.size
}

function isLasting ({ task }: Assignment): boolean {
  return task.step.definition.longRunning
}
