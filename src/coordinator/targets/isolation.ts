/** Keeps targets to themselves for jobs of which a task may crash the targets that start it. */
import type { JobProgress } from '../../jobs/jobProgress.ts'
import type { StepProgress, TaskProgress } from '../../jobs/stepProgress.ts'
import { subtractResources } from '../../model/resources.ts'
import type { Logger } from '../../observability/logger.ts'
import type { Assignment } from './assignment.ts'
import { CLEARING_TIME_MS } from './crashEvidence.ts'
import { countFitting, isSuitable, requiredResources } from '../placement/placeStep.ts'
import type { TargetAvailability } from '../placement/placeStep.ts'
import type { TargetSession } from './targetSession.ts'

/** Part of a service's targets that may be isolated at the same time; a gang that needs more has to be the only one. */
const MAX_ISOLATED_RATIO = 0.25
/** The same if the added targets have nothing else to do. */
const MAX_ISOLATED_RATIO_OF_IDLE = 0.6
/**
 * Until this number of crashes, a lasting task may share its kept target with others. Users allow two starts after the
 * third crash, and these have to show whether the task is the cause.
 */
const MAX_CRASHES_FOR_SHARING = 2
/** A lasting task is needed all the time, and the runs of other jobs on its target may take much longer than this to end. */
const MAX_VACATING_MS_FOR_LASTING = 2_000

export interface IsolationRequest {
  readonly step: StepProgress
  /** The service's targets that may get tasks, isolated or not. */
  readonly targets: readonly TargetSession[]
  /** Whether the queue's policy is known to allow the target for the step. */
  readonly permits: (target: TargetSession) => boolean
  readonly nowMs: number
}

export interface IsolatedPlaces {
  /**
   * Targets that run nothing but tasks of the job, and lasting tasks that will not end; for a lasting task after its first
   * crash also others, after a while.
   */
  readonly ready: readonly TargetSession[]
  /** Whether all permitted targets together are too few for the step. */
  readonly insufficient: boolean
}

/**
 * A target that is kept for a job gets no other tasks, and the job's suspected tasks start there once the others have
 * ended: if it crashes then, nothing else explains it.
 *
 * @example
 * const isolation = new Isolation(describe, logger)
 * const { ready } = isolation.prepare({ step, targets, permits, nowMs })
 */
export class Isolation {
  readonly #describe: (step: StepProgress, target: TargetSession) => TargetAvailability
  readonly #logger: Logger
  readonly #jobs = new Map<TargetSession, JobProgress>()
  readonly #keptSinceMs = new Map<TargetSession, number>()

  constructor (describe: (step: StepProgress, target: TargetSession) => TargetAvailability, logger: Logger) {
    this.#describe = describe
    this.#logger = logger
  }

  /** Whether the target is kept for a job. */
  holds (target: TargetSession): boolean {
    return this.#jobs.has(target)
  }

  /** Whether the target could be kept for the job, and nothing else runs there that will end. */
  isOpenAndVacant (target: TargetSession, job: JobProgress): boolean {
    return !this.#jobs.has(target) && isVacant(target, job)
  }

  /** Opens targets to all tasks again that no job needs any longer. */
  releaseUnneeded (nowMs: number): void {
    for (const [target, job] of this.#jobs) {
      if (!target.ended && job.outcome === undefined && this.#needsTarget(job, target, nowMs)) continue
      const sharing = target.ended ? undefined : findUnsettledSuspect(target, nowMs)
      if (sharing === undefined) this.#release(target, job)
      else this.#jobs.set(target, sharing.task.step.job)
    }
  }

  /**
   * Keeps as many targets for the job as the step needs: those first that have not crashed under it, since a further
   * crash of the same target proves nothing, and of these the ones that will be vacant soonest. A lasting task prefers
   * those that can hold it now, since after its first crash it does not wait for long runs of others to end. While
   * it has no target of its own, or that one is not vacant, it may start on one that is kept for other lasting tasks.
   */
  prepare (request: IsolationRequest): IsolatedPlaces {
    const places = this.#prepareOwn(request)
    if (places.ready.length > 0) return places
    const shared = this.#findShared(request)
    return shared === undefined ? places : { ready: [shared], insufficient: false }
  }

  #prepareOwn ({ step, targets, permits, nowMs }: IsolationRequest): IsolatedPlaces {
    const { job, definition } = step
    const places = (target: TargetSession): number => this.#countPlaces(step, target)
    const usable = targets.filter(target => permits(target) && places(target) > 0)
    const crashed = new Set(step.suspectedTasks.flatMap(({ crashHistory }) => crashHistory.targets))
    const isOpen = (target: TargetSession): boolean => !this.#jobs.has(target) && !target.capacity.hasUnexpectedRuns
    const vacant = usable.filter(target => isOpen(target) && isVacant(target, job) && !crashed.has(target.id))
    const kept = this.#exchangeBusy(step, usable.filter(target => this.#jobs.get(target) === job), vacant, nowMs)
    let missing = (definition.gang ? definition.count : 1) - kept.reduce((sum, target) => sum + places(target), 0)
    const added: TargetSession[] = []
    const open = usable.filter(isOpen)
    const holdsNow = (target: TargetSession): number => Number(definition.longRunning && countFitting(requiredResources(definition), this.#describe(step, target).free) > 0)
    for (const target of open.sort((left, right) => Number(crashed.has(left.id)) - Number(crashed.has(right.id)) || holdsNow(right) - holdsNow(left) || compareWork(left, right, job))) {
      if (missing <= 0) break
      added.push(target)
      missing -= places(target)
    }
    if (missing > 0) return { ready: [], insufficient: true }
    const maximumRatio = added.every(target => isVacant(target, job)) ? MAX_ISOLATED_RATIO_OF_IDLE : MAX_ISOLATED_RATIO
    if (this.#mayAdd(added.length, step, targets, maximumRatio)) for (const target of added) this.#keep(target, step, places(target), nowMs)
    const mayStart = (target: TargetSession): boolean => isVacant(target, job) || this.#mayShare(step, target, nowMs)
    return { ready: usable.filter(target => this.#jobs.get(target) === job && mayStart(target)), insufficient: false }
  }

  /** Whether the step may start beside runs of other jobs, whose end it has awaited. Later crashes need the proof of a vacant target. */
  #mayShare (step: StepProgress, target: TargetSession, nowMs: number): boolean {
    if (!step.definition.longRunning || target.capacity.hasUnexpectedRuns) return false
    const isFirstCrash = step.suspectedTasks.every(({ crashHistory }) => crashHistory.crashes <= 1)
    return isFirstCrash && nowMs - (this.#keptSinceMs.get(target) ?? nowMs) >= MAX_VACATING_MS_FOR_LASTING
  }

  /** Exchanges kept targets that wait for runs of other jobs for vacant ones with as many places; returns those kept now. */
  #exchangeBusy (step: StepProgress, kept: readonly TargetSession[], vacant: readonly TargetSession[], nowMs: number): readonly TargetSession[] {
    const { job } = step
    const replacements = [...vacant]
    return kept.map(target => {
      if (isVacant(target, job) || hasRunsOf(target, job)) return target
      const places = this.#countPlaces(step, target)
      const position = replacements.findIndex(other => this.#countPlaces(step, other) >= places)
      const [replacement] = position === -1 ? [] : replacements.splice(position, 1)
      if (replacement === undefined) return target
      this.#release(target, job)
      this.#keep(replacement, step, this.#countPlaces(step, replacement), nowMs)
      return replacement
    })
  }

  /** Returns the target with the fewest runs among those that lasting tasks share, or undefined if the step may not share one. */
  #findShared ({ step, targets, permits, nowMs }: IsolationRequest): TargetSession | undefined {
    if (!maySuspectsShare(step.job)) return undefined
    const isShared = (target: TargetSession): boolean => {
      const keeper = this.#jobs.get(target)
      return keeper !== undefined && maySuspectsShare(keeper) && (isVacant(target, step.job) || this.#mayShare(step, target, nowMs))
    }
    const holdsOne = (target: TargetSession): boolean => {
      const availability = this.#describe(step, target)
      return isSuitable(step.definition, availability) && countFitting(requiredResources(step.definition), availability.free) > 0
    }
    const candidates = targets.filter(target => permits(target) && isShared(target) && holdsOne(target))
    return candidates.sort((left, right) => left.assignments.size - right.assignments.size)[0]
  }

  /**
   * All targets of a gang are added at once, so that two gangs cannot hold a part each and wait for the other. Lasting
   * tasks may always keep one target, however many are kept for tasks that end, as long as one remains open.
   */
  #mayAdd (added: number, { job }: StepProgress, targets: readonly TargetSession[], maximumRatio: number): boolean {
    const keepers = targets.flatMap(target => this.#jobs.get(target) ?? [])
    if (keepers.every(keeper => keeper === job) || keepers.length + added <= targets.length * maximumRatio) return true
    return maySuspectsShare(job) && !keepers.some(maySuspectsShare) && added === 1 && keepers.length + 1 < targets.length
  }

  #keep (target: TargetSession, { job, name }: StepProgress, places: number, nowMs: number): void {
    this.#jobs.set(target, job)
    this.#keptSinceMs.set(target, nowMs)
    this.#logger.info({ job: job.id, step: name, target: target.id, places, runs: target.assignments.size }, 'keeping a target for a job that may crash it')
  }

  #release (target: TargetSession, job: JobProgress): void {
    this.#jobs.delete(target)
    this.#keptSinceMs.delete(target)
    this.#logger.info({ job: job.id, target: target.id }, 'target is open to all jobs again')
  }

  #needsTarget (job: JobProgress, target: TargetSession, nowMs: number): boolean {
    const isUnsettledHere = (task: TaskProgress): boolean => [...target.assignments.values()].some(run => run.task === task && !isSettled(run, nowMs))
    const isNeededFor = (step: StepProgress): boolean => {
      const suspected = step.suspectedTasks
      if (suspected.some(task => task.state === 'assigned' && isUnsettledHere(task))) return true
      return suspected.some(task => task.state === 'waiting') && this.#countPlaces(step, target) > 0
    }
    return job.steps.some(isNeededFor)
  }

  /** Number of the step's tasks that the target can hold once all runs that will end have ended. */
  #countPlaces (step: StepProgress, target: TargetSession): number {
    const { definition } = step
    if (!isSuitable(definition, this.#describe(step, target))) return 0
    const staying = [...target.assignments.values()].filter(willStay)
    const free = staying.reduce((left, { size }) => subtractResources(left, size), target.capacity.total)
    const slots = definition.tasksPerTarget === 0 ? Infinity : definition.tasksPerTarget - staying.filter(({ task }) => task.step === step).length
    return Math.max(0, Math.min(slots, countFitting(requiredResources(definition), free)))
  }
}

/** Whether the suspected tasks of the job may share their targets: they last, and have crashes left to show which of them is the cause. */
function maySuspectsShare (job: JobProgress): boolean {
  const suspects = job.steps.flatMap(step => step.suspectedTasks)
  return suspects.length > 0 && suspects.every(({ step, crashHistory }) => step.definition.longRunning && !step.definition.gang && crashHistory.crashes <= MAX_CRASHES_FOR_SHARING)
}

/** Returns a run of a suspected lasting task that has not yet worked on the target for long. */
function findUnsettledSuspect (target: TargetSession, nowMs: number): Assignment | undefined {
  return [...target.assignments.values()].find(run => isLasting(run) && run.task.step.isSuspected(run.task) && run.task.step.job.outcome === undefined && !isSettled(run, nowMs))
}

/** A lasting task that has been at work for long did not crash its target, and others may join it. */
function isSettled (run: Assignment, nowMs: number): boolean {
  return isLasting(run) && nowMs - run.firstReportedAtMs >= CLEARING_TIME_MS
}

function isVacant (target: TargetSession, job: JobProgress): boolean {
  return !target.capacity.hasUnexpectedRuns && countPassing(target, job) === 0
}

function hasRunsOf (target: TargetSession, job: JobProgress): boolean {
  return [...target.assignments.values()].some(run => run.task.step.job === job)
}

/** Number of runs of other jobs that will end. */
function countPassing (target: TargetSession, job: JobProgress): number {
  return [...target.assignments.values()].filter(run => run.task.step.job !== job && !isLasting(run)).length
}

function compareWork (left: TargetSession, right: TargetSession, job: JobProgress): number {
  return countPassing(left, job) - countPassing(right, job) || left.assignments.size - right.assignments.size
}

/** Whether the run holds its resources until its job is cancelled. */
function willStay (run: Assignment): boolean {
  return isLasting(run) && run.state !== 'stopping'
}

function isLasting ({ task }: Assignment): boolean {
  return task.step.definition.longRunning
}
