/** A service with a fixed number of processors whose submissions pass admission, on a manual clock. */
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { RateBudget } from '../../scheduler/rateBudget.ts'
import { AdmissionOutlook } from '../admission/admissionOutlook.ts'
import { orderOfRank } from '../admission/admissionRequest.ts'
import type { AdmissionRequest } from '../admission/admissionRequest.ts'
import { Backlog } from '../admission/backlog.ts'
import { FeasibilityAdmission } from '../admission/feasibilityAdmission.ts'
import { SupplyCurve } from '../admission/supplyCurve.ts'
import type { JobProgress } from '../../jobs/jobProgress.ts'

const STEP_MS = 20
/** As a busy coordinator does, between shorter passes for urgent jobs. */
const FULL_PASS_INTERVAL_MS = 100
const TARGET_PROCESSORS = 16
const MAX_ATTEMPTS = 5

/** Jobs of one kind that a team submits at a steady rate. */
export interface SimulatedLoad {
  readonly team: string
  readonly priority: number
  readonly perSecond: number
  readonly fromMs: number
  readonly untilMs: number
  readonly tasks: number
  readonly taskProcessors: number
  readonly runMs: number
  readonly objectiveMs: number
}

export interface SimulatedJob {
  readonly id: string
  readonly load: SimulatedLoad
  readonly submittedMs: number
  readonly refusals: { readonly atMs: number, readonly retryAfterSeconds: number, readonly promised: boolean }[]
  withinShare: boolean
  acceptedMs: number
  endedMs: number
}

export interface SimulatedServiceOptions {
  readonly processors: number
  readonly loads: readonly SimulatedLoad[]
  /** Jobs per second within the share of each team. */
  readonly share: (team: string) => number
  readonly cap?: (team: string) => number | undefined
  /** Whether refused callers return after their Retry-After. */
  readonly returning: boolean
  /** Accepts everything if false. */
  readonly admits?: boolean
  readonly untilMs: number
}

interface Submission { readonly job: SimulatedJob, readonly request: AdmissionRequest, readonly progress: JobProgress, remaining: number, hasStarted: boolean }
interface Run { readonly submission: Submission, readonly startedMs: number, readonly untilMs: number }

/**
 * Runs the loads and records what became of each job.
 *
 * @example
 * const jobs = await new SimulatedService({ processors: 106, loads, share: () => 10, returning: true, untilMs: 20_000 }).run()
 */
export class SimulatedService {
  readonly #options: SimulatedServiceOptions
  readonly #clock = new ManualClock()
  readonly #random = createRandom()
  readonly #admission = new FeasibilityAdmission(this.#clock)
  readonly #shares: RateBudget
  readonly #jobs: SimulatedJob[] = []
  #returning: { readonly job: SimulatedJob, readonly atMs: number }[] = []
  #waiting: Submission[] = []
  #runs: Run[] = []

  constructor (options: SimulatedServiceOptions) {
    this.#options = options
    this.#shares = new RateBudget(this.#clock, team => ({ perSecond: options.share(team), burst: Math.max(1, options.share(team)) }))
  }

  async run (): Promise<readonly SimulatedJob[]> {
    for (let nowMs = 0; nowMs < this.#options.untilMs; nowMs += STEP_MS) {
      this.#endRuns(nowMs)
      this.#place()
      if (nowMs % FULL_PASS_INTERVAL_MS === 0) this.#updateOutlook()
      const returned = this.#returning.filter(({ atMs }) => atMs <= nowMs)
      this.#returning = this.#returning.filter(({ atMs }) => atMs > nowMs)
      for (const { job } of returned) this.#submit(job)
      for (const load of this.#options.loads) this.#submitNew(load, nowMs)
      this.#place()
      await this.#clock.advance(STEP_MS)
    }
    return this.#jobs
  }

  #endRuns (nowMs: number): void {
    for (const { submission: { job }, untilMs } of this.#runs) if (untilMs <= nowMs) job.endedMs = nowMs
    this.#runs = this.#runs.filter(({ untilMs }) => untilMs > nowMs)
  }

  #submitNew (load: SimulatedLoad, nowMs: number): void {
    if (nowMs < load.fromMs || nowMs >= load.untilMs) return
    const count = Math.floor((nowMs + STEP_MS) * load.perSecond / 1_000) - Math.floor(nowMs * load.perSecond / 1_000)
    for (let index = 0; index < count; index++) {
      const job: SimulatedJob = { id: `${load.team}-${this.#jobs.length}`, load, submittedMs: nowMs, refusals: [], withinShare: false, acceptedMs: Infinity, endedMs: Infinity }
      this.#jobs.push(job)
      this.#submit(job)
    }
  }

  #submit (job: SimulatedJob): void {
    const { admits = true, returning } = this.#options
    const nowMs = this.#clock.monotonicMs()
    job.withinShare = this.#shares.tryTake(job.load.team, 1)
    const request = describe(job)
    const decision = admits ? this.#admission.decide(job.id, request, this.#random()) : { action: 'accept' as const }
    if (decision.action === 'refuse') {
      if (job.withinShare) this.#shares.record(job.load.team, -1)
      job.refusals.push({ atMs: nowMs, retryAfterSeconds: decision.retryAfterSeconds, promised: decision.promisedBy !== undefined })
      this.#admission.recordRefusal(job.id, request, decision)
      if (returning && job.refusals.length < MAX_ATTEMPTS) this.#returning.push({ job, atMs: nowMs + decision.retryAfterSeconds * 1_000 })
      return
    }
    job.acceptedMs = nowMs
    const progress = { id: job.id, acceptedAtMs: nowMs, queue: { priority: job.load.priority } } as unknown as JobProgress
    this.#admission.recordAcceptance(progress, request, decision.expectedStartMs)
    this.#waiting.push({ job, request, progress, remaining: job.load.tasks, hasStarted: false })
  }

  #place (): void {
    const { processors, cap = () => undefined } = this.#options
    for (const submission of [...this.#waiting].sort((left, right) => this.#orderOf(left) - this.#orderOf(right))) {
      const { load } = submission.job
      const limit = cap(load.team) ?? Infinity
      while (submission.remaining > 0 && this.#used() + load.taskProcessors <= processors && this.#used(load.team) + load.taskProcessors <= limit) {
        if (!submission.hasStarted) this.#admission.recordStart(submission.progress)
        submission.hasStarted = true
        submission.remaining -= 1
        this.#runs.push({ submission, startedMs: this.#clock.monotonicMs(), untilMs: this.#clock.monotonicMs() + load.runMs })
      }
    }
    this.#waiting = this.#waiting.filter(({ remaining }) => remaining > 0)
  }

  #updateOutlook (): void {
    const { processors, loads, cap = () => undefined } = this.#options
    const backlog = new Backlog()
    for (const submission of this.#waiting) {
      const { team, taskProcessors, runMs } = submission.job.load
      backlog.add('renders', team, this.#orderOf(submission), { processors: submission.remaining * taskProcessors, work: submission.remaining * taskProcessors * runMs })
    }
    const teams = new Map([...new Set(loads.map(({ team }) => team))].flatMap(team => {
      const limit = cap(team)
      if (limit === undefined) return []
      return [[team, { cap: limit, idle: this.#used(team) === 0, curve: SupplyCurve.from(withinMs => limit - this.#used(team) + this.#releasedWithin(withinMs, team)) }] as const]
    }))
    const curve = SupplyCurve.from(withinMs => processors - this.#used() + this.#releasedWithin(withinMs))
    const services = new Map([['renders', { curve, totalProcessors: processors, largestTarget: TARGET_PROCESSORS }]])
    this.#admission.update(new AdmissionOutlook({ atMs: this.#clock.monotonicMs(), urgentReserveRatio: 0, backlog, teams, services, timeUntilTargetMs: () => 0, fittingProcessors: () => Infinity }))
  }

  #orderOf ({ job, request }: Submission): number {
    return this.#clock.monotonicMs() - job.acceptedMs + job.load.runMs <= job.load.objectiveMs ? request.order : request.lateOrder
  }

  #runsOf (team: string | undefined): readonly Run[] {
    return team === undefined ? this.#runs : this.#runs.filter(({ submission }) => submission.job.load.team === team)
  }

  #used (team?: string): number {
    return this.#runsOf(team).reduce((sum, { submission }) => sum + submission.job.load.taskProcessors, 0)
  }

  #releasedWithin (withinMs: number, team?: string): number {
    const untilMs = this.#clock.monotonicMs() + withinMs
    return this.#runsOf(team).reduce((sum, { submission: { job: { load } }, startedMs }) => startedMs + load.runMs <= untilMs ? sum + load.taskProcessors : sum, 0)
  }
}

function describe ({ load, withinShare }: SimulatedJob): AdmissionRequest {
  const { team, priority, tasks, taskProcessors, runMs, objectiveMs } = load
  const processors = tasks * taskProcessors
  const work = processors * runMs
  const rank = [withinShare ? 0 : 1, 0, priority, 0, 1, work]
  return {
    service: 'renders',
    team,
    priority,
    withinShare,
    order: orderOfRank(rank, 0),
    lateOrder: orderOfRank(rank, 1),
    objectiveMs,
    lateObjectiveMs: objectiveMs * 3,
    criticalPathMs: runMs,
    unitProcessors: taskProcessors,
    largestTask: { processors: taskProcessors, memory: 0, accelerators: 0 },
    processors,
    firstWork: work,
    work
  }
}

function createRandom (): () => number {
  let state = 12_345
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}
