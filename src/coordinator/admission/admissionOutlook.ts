/** What admission knows of capacity and waiting work, computed once per full placement pass. */
import type { DesiredStateIndex } from '../../jobs/desiredStateIndex.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import type { RoomForecast } from '../forecast/roomForecast.ts'
import type { RunTimes } from '../forecast/runTimes.ts'
import { countFitting, requiredResources } from '../placement/placeStep.ts'
import type { ComputeResources } from '../placement/placeStep.ts'
import type { TeamUsage } from '../placement/teamUsage.ts'
import type { PlacedAssignment } from '../placement/waitReport.ts'
import type { TargetSession } from '../targets/targetSession.ts'
import { orderOfRank } from './admissionRequest.ts'
import type { AdmissionRequest } from './admissionRequest.ts'
import { Backlog } from './backlog.ts'
import type { Amount } from './backlog.ts'
import { HORIZON_TIMES_MS, SupplyCurve } from './supplyCurve.ts'
import type { Timeline } from './supplyCurve.ts'

export interface ServiceOutlook {
  readonly curve: SupplyCurve
  readonly totalProcessors: number
  /** Processors of the largest target. */
  readonly largestTarget: number
}

export interface TeamOutlook {
  /** What is left of the cap on processors, and is released. */
  readonly curve: SupplyCurve
  readonly cap: number
  readonly idle: boolean
}

export interface OutlookState {
  /** Time of the pass, on the clock of the process. */
  readonly atMs: number
  /** Part of each service's processors that work of other priorities leaves to urgent tasks. */
  readonly urgentReserveRatio: number
  readonly services: ReadonlyMap<string, ServiceOutlook>
  /** Teams with a cap on processors. */
  readonly teams: ReadonlyMap<string, TeamOutlook>
  /** Updated with the jobs that are accepted until the next pass. */
  readonly backlog: Backlog
  /** Milliseconds until one target has room for a task of the size. */
  readonly timeUntilTargetMs: (service: string, size: ComputeResources) => number
  /** Processors that tasks of the size can take now; what is left on a target that is too small for one does not count. */
  readonly fittingProcessors: (service: string, size: ComputeResources) => number
}

/** Work ahead of a job, at each of `HORIZON_TIMES_MS`. */
export interface WorkAhead {
  readonly processors: Timeline
  readonly work: Timeline
}

/**
 * Sums of the work ahead by place in placement order are computed when they are first needed, and kept until a job is
 * accepted that would change them.
 *
 * @example
 * const { work } = outlook.ahead('renders', request.order)
 */
export class AdmissionOutlook {
  readonly state: OutlookState
  #ahead = new Map<string, { readonly order: number, readonly ahead: WorkAhead }>()
  readonly #targetTimes = new Map<string, number>()
  readonly #curves = new Map<string, SupplyCurve>()

  constructor (state: OutlookState) {
    this.state = state
  }

  /** Counts a job that has just been accepted as waiting. */
  add ({ service, team, order, processors, work }: AdmissionRequest): void {
    this.state.backlog.add(service, team, order, { processors, work })
    for (const [key, cached] of this.#ahead) if (cached.order >= order) this.#ahead.delete(key)
  }

  /** What the teams' waiting work takes of a service before or at the given place; no team takes more than its cap allows. */
  ahead (service: string, order: number): WorkAhead {
    const key = `${order} ${service}`
    const cached = this.#ahead.get(key)
    if (cached !== undefined) return cached.ahead
    const processors = HORIZON_TIMES_MS.map(() => 0)
    const work = HORIZON_TIMES_MS.map(() => 0)
    for (const [team, amount] of this.state.backlog.ahead(service, order)) {
      const cap = this.state.teams.get(team)?.curve
      for (const index of HORIZON_TIMES_MS.keys()) {
        processors[index] = (processors[index] ?? 0) + Math.min(amount.processors, cap?.processors[index] ?? Infinity)
        work[index] = (work[index] ?? 0) + Math.min(amount.work, cap?.work[index] ?? Infinity)
      }
    }
    const ahead = { processors, work }
    this.#ahead.set(key, { order, ahead })
    return ahead
  }

  aheadInTeam (team: string, order: number): Amount {
    return this.state.backlog.aheadInTeam(team, order)
  }

  timeUntilTargetMs (service: string, size: ComputeResources): number {
    return getOrCompute(this.#targetTimes, keyOf(service, size), () => this.state.timeUntilTargetMs(service, size))
  }

  /** What tasks of the size can take of the service's processors. */
  curveFor (name: string, { curve, totalProcessors, largestTarget }: ServiceOutlook, size: ComputeResources): SupplyCurve {
    return getOrCompute(this.#curves, keyOf(name, size), () => {
      const free = curve.processors[0] ?? 0
      const fitting = Math.min(free, this.state.fittingProcessors(name, size))
      const usable = totalProcessors * Math.floor(largestTarget / size.processors) * size.processors / largestTarget
      return new SupplyCurve(curve.processors.map(each => Math.min(Math.max(usable, fitting), fitting + each - free)))
    })
  }
}

function keyOf (service: string, { processors, memory, accelerators }: ComputeResources): string {
  return `${processors} ${memory} ${accelerators} ${service}`
}

function getOrCompute<Value> (known: Map<string, Value>, key: string, compute: () => Value): Value {
  const existing = known.get(key)
  if (existing !== undefined) return existing
  const value = compute()
  known.set(key, value)
  return value
}

export interface OutlookSource {
  readonly nowMs: number
  readonly urgentReserveRatio: number
  /** Targets that may get new tasks. */
  readonly sessions: readonly TargetSession[]
  /** Runs on all targets: those on targets that get no tasks also release part of a team's cap. */
  readonly placed: readonly PlacedAssignment[]
  readonly waiting: readonly { readonly step: StepProgress, readonly rank: readonly number[] }[]
  readonly settings: DesiredStateIndex
  readonly usage: TeamUsage
  readonly forecast: RoomForecast
  readonly runTimes: RunTimes
}

interface ServiceTotals {
  total: number
  largest: number
  /** Free resources of each target. */
  readonly free: ComputeResources[]
}

/**
 * Computes the outlook after a placement pass. Its cost grows with the targets and their runs, and with the waiting steps
 * that the pass has ranked.
 *
 * @example
 * admission.update(createOutlook({ nowMs, sessions, placed, waiting: ranked, settings, usage, forecast, runTimes, urgentReserveRatio }))
 */
export function createOutlook ({ nowMs, urgentReserveRatio, sessions, placed, waiting, settings, usage, forecast, runTimes }: OutlookSource): AdmissionOutlook {
  const totals = new Map<string, ServiceTotals>()
  const releases = new Map<string, number[]>()
  for (const session of sessions) {
    const { processors } = session.capacity.total
    const { service } = session.description
    const totalsOfService = totals.get(service) ?? { total: 0, largest: 0, free: [] }
    totals.set(service, totalsOfService)
    totalsOfService.total += processors
    totalsOfService.largest = Math.max(totalsOfService.largest, processors)
    // A copy: what is placed until the next pass counts as ahead, and must not count as taken in addition.
    totalsOfService.free.push({ ...session.free })
  }
  for (const { session, assignment: { key, size, team } } of placed) addRelease(releases, team, size.processors, forecast.remainingMs(session, key))
  const backlog = new Backlog()
  const teamNames = new Set(releases.keys())
  for (const { step, rank } of waiting) {
    const { job, definition } = step
    const tasks = step.waiting.length
    const processors = tasks * requiredResources(definition).processors
    // Lasting tasks take capacity that no estimate gives back; they are few and are not counted.
    if (processors === 0 || definition.longRunning) continue
    teamNames.add(job.team)
    backlog.add(job.queue.service, job.team, orderOfRank(rank), { processors, work: processors * runTimes.expectedMs(step) + laterWork(step, runTimes) })
  }
  return new AdmissionOutlook({
    atMs: nowMs,
    urgentReserveRatio,
    backlog,
    services: new Map([...totals].map(([service, { total, largest }]) =>
      [service, { totalProcessors: total, largestTarget: largest, curve: SupplyCurve.from(withinMs => forecast.processorsWithin(service, withinMs)) }])),
    teams: new Map([...teamNames].flatMap(name => {
      const cap = settings.team(name)?.cap.processors ?? 0
      if (cap <= 0) return []
      const used = usage.usageOf(name).processors
      return [[name, { cap, idle: used === 0, curve: curveOfCap(cap - used, releases.get(name)) }] as const]
    })),
    timeUntilTargetMs: (service, size) => forecast.timeUntilRoomMs({ service, size, tasks: 1 }),
    fittingProcessors: (service, size) => (totals.get(service)?.free ?? []).reduce((sum, free) => sum + countFitting(size, free) * size.processors, 0)
  })
}

/** Work of the steps after the job's first unfinished one, which is counted there only. */
function laterWork (step: StepProgress, runTimes: RunTimes): number {
  const { steps } = step.job
  if (steps.length === 1 || steps.find(({ done }) => !done) !== step) return 0
  let work = 0
  for (const later of steps) {
    if (later !== step && !later.done && !step.job.isReady(later)) work += later.definition.count * requiredResources(later.definition).processors * runTimes.expectedMs(later)
  }
  return work
}

function addRelease (releases: Map<string, number[]>, team: string, processors: number, remainingMs: number): void {
  const index = HORIZON_TIMES_MS.findIndex(timeMs => timeMs >= remainingMs)
  if (index < 0) return
  const released = releases.get(team) ?? HORIZON_TIMES_MS.map(() => 0)
  releases.set(team, released)
  released[index] = (released[index] ?? 0) + processors
}

/** What is left of a cap, and is released by each time. */
function curveOfCap (left: number, released: readonly number[] = []): SupplyCurve {
  let sum = left
  return new SupplyCurve(HORIZON_TIMES_MS.map((_, index) => {
    sum += released[index] ?? 0
    return Math.max(0, sum)
  }))
}
