/**
 * Admission by what can still end in time. Handles bursts of several times the usual request rate on a full service:
 * what could only be served late is refused at once, so that the queue stays short enough for the rest to be in time.
 */
import type { JobProgress } from '../../jobs/jobProgress.ts'
import type { Clock } from '../../ports/clock.ts'
import { URGENT_CAP_RESERVE } from '../placement/teamUsage.ts'
import type { AdmissionOutlook, ServiceOutlook, TeamOutlook, WorkAhead } from './admissionOutlook.ts'
import { orderOfPriority, priorityOfOrder } from './admissionRequest.ts'
import type { AdmissionRequest } from './admissionRequest.ts'
import { NO_AMOUNT } from './backlog.ts'
import type { Amount } from './backlog.ts'
import { ArrivalRates } from './arrivalRates.ts'
import { ReturnSchedule } from './returnSchedule.ts'
import type { Account, ReturningJob } from './returnSchedule.ts'
import { StartCorrection } from './startCorrection.ts'
import { HORIZON_TIMES_MS } from './supplyCurve.ts'
import type { SupplyCurve } from './supplyCurve.ts'

const MS_PER_SECOND = 1_000
const MIN_RETRY_SECONDS = 1
const MAX_RETRY_SECONDS = 10
/** Where no capacity is foreseen, callers are told to return in one of the last seconds, spread. */
const SPREAD_SECONDS = 3
/**
 * Part of the capacity that is promised to callers who were told to return. A job that returns is late, which is worth a
 * fifth of a job in time; with more, a long burst would have nearly all its jobs served at their second attempt.
 */
const RETURN_SHARE = 0.2

/**
 * Part of a service that is left free by jobs that return too late to be of use: otherwise those refused in a burst would
 * fill the service after it, and have new jobs refused in turn.
 */
const USELESS_HEADROOM = 0.1

/** `late`: the job would end after its objective, and it is beyond its team's share. `useless`: after three times the objective. */
export type RefusalReason = 'late' | 'useless'

export type AdmissionDecision =
  /** `expectedStartMs` is undefined if nothing is known that would delay the job. */
  | { readonly action: 'accept', readonly expectedStartMs?: number }
  | RefusalDecision

export interface RefusalDecision {
  readonly action: 'refuse'
  readonly reason: RefusalReason
  readonly retryAfterSeconds: number
  readonly expectedStartMs: number
  /** The capacity that is kept for the job's return; undefined if none is newly kept. */
  readonly promisedBy?: Account
  /** Whether an earlier promise to the job, which has returned too soon, stays in force. */
  readonly keepsPromise?: boolean
}

/** When the first and the last task of a job's first steps can start, and which capacity delays them longest. */
interface StartEstimate {
  readonly firstMs: number
  readonly lastMs: number
  /** Processors that are free now beyond those that the work ahead and the first task need, apart from what was promised to others. */
  readonly spareProcessors: number
  readonly account: Account
  readonly curve: SupplyCurve
}

interface JobEstimate extends StartEstimate {
  /** `spareProcessors` without regard to the team's cap. */
  readonly spareOfService: number
}

/** What a job has to wait for. */
interface Queueing {
  readonly account: Account
  readonly curve: SupplyCurve
  readonly ahead: WorkAhead
  /** Processors that must be free for the first unit, and for all tasks at once. */
  readonly firstProcessors: number
  readonly allProcessors: number
  /** What jobs with precedence are expected to bring in a millisecond. */
  readonly arriving: Amount
}

/**
 * Decides on each submission from the outlook of the last placement pass, the jobs accepted since, and the refused ones
 * that were told to return.
 *
 * @example
 * const decision = admission.decide('5c0e', request, Math.random())
 * if (decision.action === 'refuse') admission.recordRefusal('5c0e', request, decision)
 */
export class FeasibilityAdmission {
  readonly #clock: Clock
  readonly #returns = new ReturnSchedule()
  readonly #rates = new ArrivalRates()
  readonly #correction = new StartCorrection()
  /** Estimated waits of accepted jobs that have not started. */
  readonly #expectedStarts = new WeakMap<JobProgress, number>()
  #outlook: AdmissionOutlook | undefined

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Replaces the outlook after a full placement pass. */
  update (outlook: AdmissionOutlook): void {
    this.#outlook = outlook
  }

  /** `random` is in [0, 1). Accepts while nothing is known, such as before the first pass of a successor. */
  decide (id: string, request: AdmissionRequest, random: number): AdmissionDecision {
    const outlook = this.#outlook
    const service = outlook?.state.services.get(request.service)
    if (outlook === undefined || service === undefined || service.totalProcessors <= 0 || request.largestTask.processors > service.largestTarget) return { action: 'accept' }
    const nowMs = this.#clock.monotonicMs()
    const returning = this.#returns.find(id, nowMs)
    const promisedSecond = returning?.promised === true ? returning.second : undefined
    const promisedInMs = promisedSecond === undefined ? 0 : promisedSecond * MS_PER_SECOND - nowMs
    const promiseIsDue = promisedSecond !== undefined && promisedInMs <= 0
    const ageMs = returning === undefined ? 0 : Math.max(0, nowMs - returning.firstAttemptMs)
    const place = priorityOfOrder(request.order)
    const estimate = this.#estimate(request, outlook, service, request.order, place, promisedSecond)
    const ownMs = request.criticalPathMs + this.#ownWaitMs(request, outlook, service)
    const endsWithin = ({ lastMs }: Pick<StartEstimate, 'lastMs'>, limitMs: number): boolean => lastMs + request.criticalPathMs <= Math.max(limitMs, ownMs) - ageMs
    const isUseless = ageMs > 0 && !endsWithin(NO_WAIT, request.lateObjectiveMs)
    const hasRoom = estimate.spareProcessors >= 0 && (!isUseless || estimate.spareOfService >= service.totalProcessors * USELESS_HEADROOM)
    if (hasRoom || endsWithin(estimate, promiseIsDue ? request.lateObjectiveMs : request.objectiveMs)) {
      return { action: 'accept', expectedStartMs: hasRoom ? 0 : estimate.firstMs }
    }
    if (request.withinShare) {
      // Once the job is late, all jobs of its priority that are in time have precedence, also later ones.
      const late = this.#estimate(request, outlook, service, request.lateOrder, place + 1, promisedSecond)
      if (endsWithin(late, request.lateObjectiveMs)) return { action: 'accept', expectedStartMs: late.firstMs }
    }
    const reason = request.withinShare ? 'useless' : 'late'
    if (promisedInMs > 0) return { action: 'refuse', reason, retryAfterSeconds: Math.ceil(promisedInMs / MS_PER_SECOND), expectedStartMs: estimate.firstMs, keepsPromise: true }
    // At its return the job may have to wait as long as any other that is accepted then.
    const promisedSeconds = this.#findPromise(request, estimate, outlook, request.lateObjectiveMs - Math.max(request.objectiveMs, ownMs) - ageMs)
    if (promisedSeconds !== undefined) return { action: 'refuse', reason, retryAfterSeconds: promisedSeconds, expectedStartMs: estimate.firstMs, promisedBy: estimate.account }
    return { action: 'refuse', reason, retryAfterSeconds: MAX_RETRY_SECONDS - Math.floor(random * SPREAD_SECONDS), expectedStartMs: estimate.firstMs }
  }

  /** Counts an accepted job as waiting until the next pass. */
  recordAcceptance (job: JobProgress, request: AdmissionRequest, expectedStartMs: number | undefined): void {
    const nowMs = this.#clock.monotonicMs()
    this.#releasePromise(this.#returns.find(job.id, nowMs), request)
    this.#rates.record(request.service, request.order, request, nowMs)
    this.#outlook?.add(request)
    if (expectedStartMs !== undefined) this.#expectedStarts.set(job, expectedStartMs)
  }

  /** Records when the job's caller was told to return, and the capacity promised to it. */
  recordRefusal (id: string, request: AdmissionRequest, { promisedBy, retryAfterSeconds, keepsPromise }: RefusalDecision): void {
    if (keepsPromise === true) return
    const nowMs = this.#clock.monotonicMs()
    const returning = this.#returns.find(id, nowMs)
    this.#releasePromise(returning, request)
    const refused = { id, firstAttemptMs: returning?.firstAttemptMs ?? nowMs, dueMs: nowMs + retryAfterSeconds * MS_PER_SECOND }
    this.#returns.record(refused, promisedBy === undefined ? undefined : { account: promisedBy, order: request.order, amount: { processors: request.processors, work: request.work } })
  }

  /** Compares the wait of a job that has started with what was estimated. Returns the estimate, or undefined if there was none. */
  recordStart (job: JobProgress): number | undefined {
    const expectedMs = this.#expectedStarts.get(job)
    if (expectedMs === undefined) return undefined
    this.#expectedStarts.delete(job)
    const nowMs = this.#clock.monotonicMs()
    this.#correction.record(job.queue.priority, expectedMs, nowMs - job.acceptedAtMs, nowMs)
    return expectedMs
  }

  /** Factor by which estimated waits of the priority are multiplied. */
  correctionFactor (priority: number): number {
    return this.#correction.factor(priority, this.#clock.monotonicMs())
  }

  #releasePromise (returning: ReturningJob | undefined, { service, team, priority, processors, work }: AdmissionRequest): void {
    const places = [false, true].map(withinShare => orderOfPriority(withinShare, false, priority))
    if (returning?.promised === true) this.#returns.release(returning.second, [`service ${service}`, `team ${team}`], places, { processors, work })
  }

  /**
   * Seconds after which the capacity that is kept for returning callers has room for the job; undefined if it has none
   * while the job is still of use. Later callers are given later times.
   */
  #findPromise (request: AdmissionRequest, { account, curve, firstMs }: StartEstimate, { state }: AdmissionOutlook, latestStartMs: number): number | undefined {
    const nowMs = this.#clock.monotonicMs()
    const latest = Math.min(MAX_RETRY_SECONDS, Math.floor(latestStartMs / MS_PER_SECOND))
    for (let seconds = Math.max(MIN_RETRY_SECONDS, Math.ceil(firstMs / MS_PER_SECOND)); seconds <= latest; seconds++) {
      const dueMs = nowMs + seconds * MS_PER_SECOND
      const booked = this.#returns.booked(account, Infinity, [dueMs])[0]?.work ?? 0
      if (booked + request.work <= curve.workWithin(dueMs - state.atMs) * RETURN_SHARE) return seconds
    }
    return undefined
  }

  #estimate (request: AdmissionRequest, outlook: AdmissionOutlook, service: ServiceOutlook, order: number, arrivingBefore: number, promisedSecond: number | undefined): JobEstimate {
    const nowMs = this.#clock.monotonicMs()
    const { state } = outlook
    const { team, unitProcessors, processors, largestTask } = request
    const curve = outlook.curveFor(request.service, service, largestTask)
    // Placement gives the reserve up for a task or gang that could not start otherwise.
    const reserve = request.priority === 0 ? 0 : Math.min(service.totalProcessors * state.urgentReserveRatio, Math.max(0, (curve.processors.at(-1) ?? 0) - unitProcessors))
    const waits: Queueing[] = [{
      account: `service ${request.service}`,
      curve,
      ahead: outlook.ahead(request.service, order),
      firstProcessors: Math.min(unitProcessors + reserve, service.totalProcessors),
      allProcessors: processors + reserve,
      arriving: this.#rates.before(request.service, arrivingBefore, nowMs)
    }]
    const capped = state.teams.get(team)
    if (capped !== undefined) waits.push(queueingForCap(request, capped, outlook, order))
    const starts = waits.map(wait => this.#startOf(request, wait, outlook, order, promisedSecond))
    // A task that needs most of a target needs one that is nearly empty.
    if (largestTask.processors > service.largestTarget / 2) {
      const targetMs = outlook.timeUntilTargetMs(request.service, largestTask)
      starts.push({ spareProcessors: targetMs === 0 ? Infinity : -Infinity, firstMs: targetMs, lastMs: targetMs, account: `service ${request.service}`, curve: service.curve })
    }
    const factor = this.#correction.factor(request.priority, nowMs)
    const elapsedMs = nowMs - state.atMs
    const corrected = (startMs: number): number => Math.max(0, startMs - elapsedMs) * factor
    const longest = starts.reduce((left, right) => right.firstMs > left.firstMs ? right : left)
    return { ...longest, spareOfService: starts[0]?.spareProcessors ?? 0, spareProcessors: Math.min(...starts.map(({ spareProcessors }) => spareProcessors)), firstMs: corrected(longest.firstMs), lastMs: corrected(Math.max(...starts.map(({ lastMs }) => lastMs))) }
  }

  /**
   * A task starts when the processors for all work ahead and for itself are there, or when the work ahead is done. Both
   * bounds are optimistic; the earlier one counts.
   */
  #startOf (request: AdmissionRequest, wait: Queueing, outlook: AdmissionOutlook, order: number, promisedSecond: number | undefined): StartEstimate {
    const { account, curve, ahead, firstProcessors, allProcessors, arriving } = wait
    const booked = this.#returns.booked(account, order, HORIZON_TIMES_MS.map(timeMs => outlook.state.atMs + timeMs), promisedSecond)
    const demand = (kind: keyof Amount, index: number): number => (ahead[kind][index] ?? 0) + (booked[index]?.[kind] ?? 0) + arriving[kind] * (HORIZON_TIMES_MS[index] ?? 0)
    const processorsAhead = HORIZON_TIMES_MS.map((_, index) => demand('processors', index))
    const workAhead = HORIZON_TIMES_MS.map((_, index) => demand('work', index))
    const roomMs = curve.timeUntilProcessors(NOTHING_AHEAD, firstProcessors)
    const byWork = (extra: number): number => Math.max(roomMs, curve.timeUntilWork(workAhead, extra))
    return {
      account,
      curve,
      spareProcessors: (curve.processors[0] ?? 0) - (ahead.processors[0] ?? 0) - firstProcessors,
      firstMs: Math.min(curve.timeUntilProcessors(processorsAhead, firstProcessors), byWork(1)),
      lastMs: Math.min(curve.timeUntilProcessors(processorsAhead, allProcessors), byWork(1 + workBeforeLastTask(request)))
    }
  }

  /** How long the job's last task would wait for earlier ones of the job on an empty service. */
  #ownWaitMs (request: AdmissionRequest, { state }: AdmissionOutlook, { totalProcessors }: ServiceOutlook): number {
    const capacity = Math.min(totalProcessors, state.teams.get(request.team)?.cap ?? Infinity)
    return request.processors <= capacity ? 0 : workBeforeLastTask(request) / capacity
  }
}

const NO_WAIT = { lastMs: 0 }
const NOTHING_AHEAD = HORIZON_TIMES_MS.map(() => 0)

function queueingForCap ({ team, priority, unitProcessors, processors }: AdmissionRequest, { curve, cap, idle }: TeamOutlook, outlook: AdmissionOutlook, order: number): Queueing {
  const ahead = outlook.aheadInTeam(team, order)
  // As in `TeamUsage.allowedCount`: one task or gang may reach into the part that is left to urgent jobs.
  const reserve = priority === 0 || idle ? 0 : cap * URGENT_CAP_RESERVE
  return {
    account: `team ${team}`,
    curve,
    ahead: { processors: HORIZON_TIMES_MS.map(() => ahead.processors), work: HORIZON_TIMES_MS.map(() => ahead.work) },
    firstProcessors: Math.min(cap, Math.max(unitProcessors, reserve)),
    allProcessors: Math.max(processors, reserve + processors - unitProcessors),
    arriving: NO_AMOUNT
  }
}

function workBeforeLastTask ({ firstWork, unitProcessors, processors }: AdmissionRequest): number {
  return firstWork * (1 - unitProcessors / processors)
}
