/** Keeps targets to themselves for jobs of which a task may crash the targets that start it. */
import type { JobProgress } from '../../jobs/jobProgress.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import { subtractResources } from '../../model/resources.ts'
import type { Logger } from '../../observability/logger.ts'
import { countFitting, isSuitable, requiredResources } from '../placement/placeStep.ts'
import type { KeptCapacity } from '../placement/keptCapacity.ts'
import type { TargetAvailability } from '../placement/placeStep.ts'
import { compareAge, compareWork, crashedTargets, findUnsettledSuspect, hasRunsOf, hasUnsettledSuspect, isVacant, maySuspectsShare, willStay } from './suspectedRuns.ts'
import type { TargetSession } from './targetSession.ts'

/** Part of a service's targets that may be isolated at the same time; a gang that needs more has to be the only one. */
const MAX_ISOLATED_RATIO = 0.25
/** The same if the added targets have nothing else to do. */
const MAX_ISOLATED_RATIO_OF_IDLE = 0.6
/** A lasting task is needed all the time, and the runs of other jobs on its target may take much longer than this to end. */
const MAX_VACATING_MS_FOR_LASTING = 2_000
/**
 * Targets stay kept for this long after what the step can get has become too little. A target that gives no answer, or is
 * avoided after failures, is usually back by then.
 */
const MAX_SHORTFALL_MS = 1_000
/** Targets that nothing runs on stay kept for this long while the step does not start, since its tickets have to be renewed. */
const MAX_READY_MS = 5_000
/** After a wait that has ended, the targets are open to others for as long. */
const SUSPENSION_MS = 5_000
/** Part of a service's targets that others can do without for as long as the runs there take. */
const MAX_UNBOUNDED_RATIO = 0.5
/**
 * If more are kept, others wait no longer than this for the runs there to end. It doubles with each wait in vain, so that the
 * gang starts in the end.
 */
const MIN_WIDE_WAIT_MS = 2_000
const MAX_WIDE_WAIT_MS = 10_000
/** After that wait the targets are open to others for this many times as long. */
const OPEN_TIME_FACTOR = 3

export interface IsolationRequest {
  readonly step: StepProgress
  /** The service's targets that may get tasks, isolated or not. */
  readonly targets: readonly TargetSession[]
  /** Whether the queue's policy is known to allow the target for the step. */
  readonly permits: (target: TargetSession) => boolean
  /** Whether other steps have found no room on the service's targets. */
  readonly othersWait: boolean
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

/** Returns what the step may use now; undefined if its suspected tasks must not start, whatever targets there are. */
export type IsolationRequestLookup = (step: StepProgress) => IsolationRequest | undefined

/** A step with suspected tasks that wait. */
interface WaitingStep {
  readonly step: StepProgress
  readonly request: IsolationRequest | undefined
  /** The targets kept for its job that it may use now. */
  readonly kept: readonly TargetSession[]
  /** Those of them that suffice for it; undefined if all together do not. */
  readonly needed: readonly TargetSession[] | undefined
}

/**
 * Why a target is not kept any more; while its job still waits, `too-few-targets`, `not-started` and `waited-too-long`.
 * `shared`: the job has started beside other runs.
 */
type IsolationEnd = 'not-needed' | 'exchanged' | 'shared' | 'too-few-targets' | 'not-started' | 'waited-too-long'

interface ReviewedWaits {
  /** The steps for which targets may stay kept. */
  readonly waiting: readonly WaitingStep[]
  /** Why other targets are not kept any more. */
  readonly end: IsolationEnd
}

/** The wait of a step for the targets that are kept for its job. */
interface IsolationWait {
  /** Since when the permitted targets are known not to suffice; undefined while they do. */
  insufficientSinceMs: number | undefined
  /** Since when the kept targets suffice and nothing runs there; undefined while they don't. */
  readySinceMs: number | undefined
  /** Since when others wait because more targets are kept than they can do without, and runs there have to end; undefined otherwise. */
  wideSinceMs: number | undefined
  /** How often the runs there have not ended in time. */
  wideWaitsInVain: number
  /** Until when no targets are added. */
  suspendedUntilMs: number
}

/**
 * A target that is kept for a job gets no other tasks, and the job's suspected tasks start there once the others have
 * ended: if it crashes then, nothing else explains it. The exceptions are those of `TaskPlacer`, in a service of which less
 * than half is in use: steps that have waited behind kept targets for too long use them, and a suspected step that has waited
 * for too long, without a second crash, starts on the targets that `findLeastBusy` returns.
 *
 * A target stays kept only for a run of a suspected task, or for a step that may start and that the permitted targets can
 * hold together, which is what it takes to keep it in the first place. Half of the targets may be kept for as long as
 * other runs there take; if it is more, others wait for `MIN_WIDE_WAIT_MS` at first and `MAX_WIDE_WAIT_MS` later. After
 * that the targets with the longest runs are drained, while the rest is open to others, before it is tried again. All
 * other waits are bounded by `MAX_SHORTFALL_MS` and `MAX_READY_MS`. What is kept is state of one process: a successor keeps
 * targets anew.
 *
 * @example
 * const isolation = new Isolation(describe, logger)
 * isolation.releaseUnneeded(step => ({ step, targets, permits, othersWait, nowMs }), nowMs)
 * const { ready } = isolation.prepare({ step, targets, permits, othersWait, nowMs })
 */
export class Isolation {
  readonly #describe: (step: StepProgress, target: TargetSession) => TargetAvailability
  readonly #logger: Logger
  readonly #jobs = new Map<TargetSession, JobProgress>()
  readonly #keptSinceMs = new Map<TargetSession, number>()
  /** Of the steps with suspected tasks that wait, since targets were first kept for them. */
  readonly #waits = new Map<StepProgress, IsolationWait>()

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

  /** Whether targets are kept, so that the time for which they are has to be checked. */
  get active (): boolean {
    return this.#jobs.size > 0
  }

  /** Opens targets to all tasks again that no job needs any longer; called in each pass. */
  releaseUnneeded (findRequest: IsolationRequestLookup, nowMs: number): void {
    const keepers = new Set(this.#jobs.values())
    for (const [step, wait] of this.#waits) {
      if (step.job.outcome !== undefined || !hasWaitingSuspects(step)) this.#waits.delete(step)
      else if (!keepers.has(step.job)) wait.insufficientSinceMs = wait.readySinceMs = wait.wideSinceMs = undefined
    }
    const waits = new Map([...keepers].map(job => [job, this.#reviewWaits(job, findRequest, nowMs)]))
    for (const [target, job] of this.#jobs) {
      const { waiting, end } = waits.get(job) ?? { waiting: [], end: 'not-needed' }
      const isNeeded = (): boolean => hasUnsettledSuspect(target, job, nowMs) || waiting.some(step => this.#mayHold(step, target, nowMs))
      if (!target.ended && job.outcome === undefined && isNeeded()) continue
      const sharing = target.ended ? undefined : findUnsettledSuspect(target, nowMs)
      if (sharing === undefined) this.#release(target, job, end, nowMs)
      else this.#jobs.set(target, sharing.task.step.job)
    }
  }

  /** Finds the steps of the job for which targets may stay kept although no suspected task runs there: those whose wait has not lasted too long. */
  #reviewWaits (job: JobProgress, findRequest: IsolationRequestLookup, nowMs: number): ReviewedWaits {
    const waiting: WaitingStep[] = []
    let end: IsolationEnd = 'not-needed'
    for (const step of job.steps) {
      if (!hasWaitingSuspects(step)) continue
      const described = this.#describeWait(step, findRequest(step))
      const ended = this.#reviewWait(described, nowMs)
      if (ended === undefined) waiting.push(described)
      else end = ended
      if (ended === 'waited-too-long') waiting.push({ ...described, needed: findLongestBusy(described) })
    }
    return { waiting, end }
  }

  /** Returns why the wait of the step ends; undefined if it goes on. */
  #reviewWait (waiting: WaitingStep, nowMs: number): IsolationEnd | undefined {
    const wait = this.#waitOf(waiting.step)
    const isReady = this.#isReady(waiting)
    wait.insufficientSinceMs = this.#isSufficient(waiting) ? undefined : wait.insufficientSinceMs ?? nowMs
    wait.readySinceMs = isReady ? wait.readySinceMs ?? nowMs : undefined
    wait.wideSinceMs = waiting.request?.othersWait === true && !isReady && isWide(waiting.request, waiting.kept) ? wait.wideSinceMs ?? nowMs : undefined
    if (nowMs - (wait.insufficientSinceMs ?? nowMs) >= MAX_SHORTFALL_MS) return 'too-few-targets'
    const maximumWideMs = wideWaitMs(wait)
    if (nowMs - (wait.wideSinceMs ?? nowMs) >= maximumWideMs) {
      wait.wideWaitsInVain += 1
      wait.suspendedUntilMs = nowMs + maximumWideMs * OPEN_TIME_FACTOR
      return 'waited-too-long'
    }
    if (nowMs - (wait.readySinceMs ?? nowMs) < MAX_READY_MS) return undefined
    wait.suspendedUntilMs = nowMs + SUSPENSION_MS
    return 'not-started'
  }

  #waitOf (step: StepProgress): IsolationWait {
    const wait = this.#waits.get(step) ?? { insufficientSinceMs: undefined, readySinceMs: undefined, wideSinceMs: undefined, wideWaitsInVain: 0, suspendedUntilMs: -Infinity }
    this.#waits.set(step, wait)
    return wait
  }

  #describeWait (step: StepProgress, request: IsolationRequest | undefined): WaitingStep {
    if (request === undefined) return { step, request, kept: [], needed: undefined }
    const kept = this.#keptFor(request)
    const needed: TargetSession[] = []
    let missing = this.#countMissing(step, [])
    for (const target of [...kept].sort((left, right) => compareWork(left, right, step.job))) {
      if (missing <= 0) break
      needed.push(target)
      missing -= this.#countPlaces(step, target)
    }
    return { step, request, kept, needed: missing <= 0 ? needed : undefined }
  }

  /** Whether the targets kept for the job and those that could be added hold the step. */
  #isSufficient ({ request, kept, needed }: WaitingStep): boolean {
    if (needed !== undefined || request === undefined) return needed !== undefined
    const { added, isEnough } = this.#findAdditional(request, kept)
    return isEnough && this.#mayAdd(added, request)
  }

  /** Whether the targets kept for the job hold the step, and nothing runs there that will end. */
  #isReady ({ step: { job }, kept, needed }: WaitingStep): boolean {
    return needed !== undefined && kept.every(target => isVacant(target, job) && !hasRunsOf(target, job))
  }

  /** Whether the target may stay kept for the waiting step. One that is not usable now is awaited until others replace it. */
  #mayHold ({ step, request, needed }: WaitingStep, target: TargetSession, nowMs: number): boolean {
    if (nowMs < this.#waitOf(step).suspendedUntilMs && isVacant(target, step.job)) return false
    if (needed !== undefined) return needed.includes(target)
    return this.#countPlaces(step, target) > 0 && (request === undefined || request.permits(target))
  }

  /** The targets kept for the job of the step that it may use now. */
  #keptFor ({ step, targets, permits }: IsolationRequest): readonly TargetSession[] {
    return targets.filter(target => this.#jobs.get(target) === step.job && permits(target) && this.#countPlaces(step, target) > 0)
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

  /**
   * Finds targets that can hold the step now, kept or not, for a step that has waited for too long: open ones first, and of these
   * the ones with the fewest runs of other jobs. Empty if there are not enough.
   */
  findLeastBusy ({ step, targets, permits }: IsolationRequest): readonly TargetSession[] {
    const { job, definition } = step
    const { gang, count } = definition
    const isOthers = (target: TargetSession): number => Number(this.#jobs.has(target) && this.#jobs.get(target) !== job)
    const placesNow = (target: TargetSession): number => {
      const availability = this.#describe(step, target)
      if (!isSuitable(definition, availability)) return 0
      const slots = definition.tasksPerTarget === 0 ? Infinity : definition.tasksPerTarget - availability.sameStepTasks
      return Math.max(0, Math.min(slots, countFitting(requiredResources(definition), availability.free)))
    }
    const found: TargetSession[] = []
    let missing = gang ? count : 1
    for (const target of targets.filter(permits).sort((left, right) => isOthers(left) - isOthers(right) || compareWork(left, right, job))) {
      if (missing <= 0) break
      const places = placesNow(target)
      if (places === 0) continue
      found.push(target)
      missing -= places
    }
    return missing <= 0 ? found : []
  }

  /** Opens the targets that are kept for a job which has started beside other runs, but those on which suspected tasks of it ran before. */
  openSharedTargets (job: JobProgress, targetsOfSuspects: ReadonlySet<TargetSession>, nowMs: number): void {
    for (const [target, keeper] of this.#jobs) if (keeper === job && !targetsOfSuspects.has(target)) this.#release(target, job, 'shared', nowMs)
  }

  /** The targets that are kept for the job and on which a suspected task of it runs. */
  findTargetsOfSuspects (job: JobProgress, nowMs: number): ReadonlySet<TargetSession> {
    return new Set([...this.#jobs].flatMap(([target, keeper]) => keeper === job && hasUnsettledSuspect(target, job, nowMs) ? [target] : []))
  }

  /** The kept targets, and for whom and until when they are kept. */
  listKept (nowMs: number): readonly KeptCapacity[] {
    return [...this.#jobs].map(([target, job]) => ({ keeper: 'isolation', target: target.id, job: job.id, keptMs: this.#keptForMs(target, nowMs), endsInMs: this.#endsInMs(job, nowMs) }))
  }

  #keptForMs (target: TargetSession, nowMs: number): number {
    return Math.round(nowMs - (this.#keptSinceMs.get(target) ?? nowMs))
  }

  /** Time until the first of the bounded waits of the job ends; undefined if none is in progress. */
  #endsInMs (job: JobProgress, nowMs: number): number | undefined {
    const ends = job.steps.flatMap(step => {
      const wait = this.#waits.get(step)
      return wait === undefined ? [] : [(wait.insufficientSinceMs ?? Infinity) + MAX_SHORTFALL_MS, (wait.readySinceMs ?? Infinity) + MAX_READY_MS, (wait.wideSinceMs ?? Infinity) + wideWaitMs(wait)]
    })
    const endMs = Math.min(...ends)
    return Number.isFinite(endMs) ? Math.round(endMs - nowMs) : undefined
  }

  #prepareOwn (request: IsolationRequest): IsolatedPlaces {
    const { step, nowMs } = request
    const { job } = step
    const wait = this.#waits.get(step)
    if (wait !== undefined && nowMs < wait.suspendedUntilMs) return { ready: [], insufficient: false }
    const crashed = crashedTargets(step)
    const vacant = this.#findOpen(request).filter(target => isVacant(target, job) && !crashed.has(target.id))
    const kept = this.#exchangeBusy(step, this.#keptFor(request), vacant, nowMs)
    const mustDrain = wait !== undefined && wait.wideWaitsInVain > 0 && !isWide(request, kept)
    if (mustDrain && kept.some(target => !isVacant(target, job))) return { ready: [], insufficient: false }
    const { added, isEnough } = this.#findAdditional(request, kept)
    if (!isEnough) return { ready: [], insufficient: true }
    if (this.#mayAdd(added, request)) for (const target of added) this.#keep(target, step, this.#countPlaces(step, target), nowMs)
    const mayStart = (target: TargetSession): boolean => isVacant(target, job) || this.#mayShare(step, target, nowMs)
    return { ready: this.#keptFor(request).filter(mayStart), insufficient: false }
  }

  /** The permitted targets that can hold a task of the step and may be kept for it. */
  #findOpen ({ step, targets, permits }: IsolationRequest): TargetSession[] {
    return targets.filter(target => permits(target) && !this.#jobs.has(target) && !target.capacity.hasUnexpectedRuns && this.#countPlaces(step, target) > 0)
  }

  /** Number of tasks that have to start together and that the targets can not hold; not above 0 if they hold all. */
  #countMissing (step: StepProgress, targets: readonly TargetSession[]): number {
    const { gang, count } = step.definition
    return (gang ? count : 1) - targets.reduce((sum, target) => sum + this.#countPlaces(step, target), 0)
  }

  /** Chooses the targets that the step needs beside those that are kept for its job. */
  #findAdditional (request: IsolationRequest, kept: readonly TargetSession[]): { readonly added: readonly TargetSession[], readonly isEnough: boolean } {
    const { step } = request
    const { job, definition } = step
    let missing = this.#countMissing(step, kept)
    const added: TargetSession[] = []
    if (missing <= 0) return { added, isEnough: true }
    const crashed = crashedTargets(step)
    const holdsNow = (target: TargetSession): number => Number(definition.longRunning && countFitting(requiredResources(definition), this.#describe(step, target).free) > 0)
    for (const target of this.#findOpen(request).sort((left, right) => Number(crashed.has(left.id)) - Number(crashed.has(right.id)) || holdsNow(right) - holdsNow(left) || compareWork(left, right, job))) {
      if (missing <= 0) break
      added.push(target)
      missing -= this.#countPlaces(step, target)
    }
    return { added, isEnough: missing <= 0 }
  }

  /** Whether the step may start beside runs of other jobs, whose end it has awaited. Later crashes need the proof of a vacant target. */
  #mayShare (step: StepProgress, target: TargetSession, nowMs: number): boolean {
    if (!step.definition.longRunning || target.capacity.hasUnexpectedRuns) return false
    return hasAtMostOneCrash(step) && nowMs - (this.#keptSinceMs.get(target) ?? nowMs) >= MAX_VACATING_MS_FOR_LASTING
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
      this.#release(target, job, 'exchanged', nowMs)
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
  #mayAdd (added: readonly TargetSession[], { step: { job }, targets }: IsolationRequest): boolean {
    const maximumRatio = added.every(target => isVacant(target, job)) ? MAX_ISOLATED_RATIO_OF_IDLE : MAX_ISOLATED_RATIO
    const keepers = targets.flatMap(target => this.#jobs.get(target) ?? [])
    if (keepers.every(keeper => keeper === job) || keepers.length + added.length <= targets.length * maximumRatio) return true
    return maySuspectsShare(job) && !keepers.some(maySuspectsShare) && added.length === 1 && keepers.length + 1 < targets.length
  }

  #keep (target: TargetSession, { job, name }: StepProgress, places: number, nowMs: number): void {
    this.#jobs.set(target, job)
    this.#keptSinceMs.set(target, nowMs)
    this.#logger.info({ job: job.id, step: name, target: target.id, places, runs: target.assignments.size }, 'keeping a target for a job that may crash it')
  }

  #release (target: TargetSession, job: JobProgress, end: IsolationEnd, nowMs: number): void {
    const keptMs = this.#keptForMs(target, nowMs)
    this.#jobs.delete(target)
    this.#keptSinceMs.delete(target)
    this.#logger.info({ job: job.id, target: target.id, end, keptMs }, 'target is open to all jobs again')
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

/** Whether no more than one target has crashed under each task of the step, so that it may share targets when it has waited for too long. */
export function hasAtMostOneCrash (step: StepProgress): boolean {
  return step.suspectedTasks.every(({ crashHistory }) => crashHistory.crashes <= 1)
}

/** Longest time for which others wait now because more targets are kept than they can do without. */
function wideWaitMs ({ wideWaitsInVain }: IsolationWait): number {
  return Math.min(MIN_WIDE_WAIT_MS * 2 ** wideWaitsInVain, MAX_WIDE_WAIT_MS)
}

/** Whether so many targets are kept that others can not do without them for long. One target is always allowed. */
function isWide (request: IsolationRequest | undefined, kept: readonly TargetSession[]): boolean {
  return request !== undefined && kept.length > Math.max(1, request.targets.length * MAX_UNBOUNDED_RATIO)
}

/** Finds the kept targets whose runs have been at work for longest, as many as may be kept for any job, and one at least. */
function findLongestBusy ({ step: { job }, request, kept }: WaitingStep): readonly TargetSession[] {
  const busy = kept.filter(target => !isVacant(target, job))
  return busy.sort((left, right) => compareAge(left, right, job)).slice(0, Math.max(1, Math.floor((request?.targets.length ?? 0) * MAX_ISOLATED_RATIO)))
}

function hasWaitingSuspects (step: StepProgress): boolean {
  return step.suspectedTasks.some(({ state }) => state === 'waiting')
}
