/** A target on a manual clock that follows the platform's protocol, for model-based tests. */
import type { ManualClock } from '../../adapters/clock/manualClock.ts'
import { resources } from '../../model/resources.ts'
import type { FinishedRun, JobTargetClient, RenewOrder, RenewOutcome, RunEnd, StartOutcome, StopOrder, StopOutcome, TargetIncarnation, TaskOrder } from '../../ports/jobTarget.ts'
import type { RecordedRun, RunRecorder } from './runRecorder.ts'
import type { SimulatedGangs } from './simulatedGangs.ts'

export const TARGET_CAPACITY = resources({ processors: 8_000, memory: 8_000 })
/** Transit time of a request, and of an answer, unless a test sets others. */
const DEFAULT_TRANSIT: CallTransit = { requestMs: 3, answerMs: 0 }
const ORDER_TIMEOUT_MS = 1_000
/** Time limit of a renewal in addition to the time for which the target may delay its answer. */
const RENEWAL_MARGIN_MS = 1_200
/** Interval at which a delayed report looks for the end of a run. */
const REPORT_CHECK_INTERVAL_MS = 50
const STOP_MS = 120
const MAX_LEASE_MS = 10_000

/** `cut` loses orders, `deaf` executes them and loses the answers, `late` executes them seconds later, on the incarnation that is up then; `refusing` answers 503. */
export const TARGET_FAULTS = ['none', 'cut', 'deaf', 'late', 'refusing'] as const
export type TargetFault = typeof TARGET_FAULTS[number]

/** Applies to requests that are sent, and to answers that are given, from then on: later ones may overtake earlier ones. */
export interface CallTransit {
  readonly requestMs: number
  readonly answerMs: number
}

/** How the next incarnation of a target begins. */
export interface IncarnationStart {
  /** What its clock shows at its start; 0 by default. */
  readonly clockMs?: number
  /** What its clock shows at its start minus what the clock of the earlier incarnation shows then; replaces `clockMs`. */
  readonly clockDifferenceMs?: number
  /** Speed of its clock; 1 by default. */
  readonly clockRate?: number
  /** Its `born` minus that of the earlier incarnation; 1 by default. A value that an earlier one has had is passed over. */
  readonly bornDifferenceMs?: number
}

export interface SimulatedTargetOptions {
  readonly id: string
  readonly clock: ManualClock
  /** Duration of a run in milliseconds; infinite for lasting tasks. */
  readonly workMs: (task: string) => number
  readonly endOf: (task: string, attempt: number) => RunEnd
  readonly lateMs: number
  /** Records the runs of all targets. */
  readonly recorder: RunRecorder
  /** Lets the members of gangs on all targets work and end together; without it they work each for itself. */
  readonly gangs?: SimulatedGangs
  /** Validity of the tickets that a task needs, in milliseconds; undefined for tasks that need none, as all do by default. */
  readonly ticketValidityMs?: (task: string) => number | undefined
  /** What the clock of the first incarnation shows at its start; 0 by default. */
  readonly initialClockMs?: number
  /** Speed of the clock of the first incarnation; 1 by default. */
  readonly initialClockRate?: number
  /** `born` of the first incarnation; 1 by default. */
  readonly initialBornMs?: number
}

interface Run { readonly task: string, readonly attempt: number, readonly record: RecordedRun, stopping: boolean }

export class SimulatedTarget {
  readonly #options: SimulatedTargetOptions
  bornMs: number
  fault: TargetFault = 'none'
  /** Delay of orders that arrive during the fault `late`. */
  lateMs: number
  transit: CallTransit = DEFAULT_TRANSIT
  listed = true
  draining = false
  capacity = TARGET_CAPACITY
  /** Number of runs that were started, in all incarnations. */
  starts = 0
  #fence = 0
  #runs = new Map<string, Run>()
  #finished: FinishedRun[] = []
  #nextNumber = 1
  #endedAttempts = new Map<string, number>()
  /** On the clock of this incarnation. */
  #leaseUntilMs = 0
  #startedAtMs: number
  /** What the clock of this incarnation showed at its start. */
  #initialClockMs: number
  #clockRate: number
  /** `born` of all incarnations until now. */
  readonly #usedBornMs = new Set<number>()
  /** Renewals that wait for a change. */
  readonly #waiting = new Set<() => void>()
  /** Records of the finished runs, by number, whose acknowledgement would be final. */
  #acknowledgeable = new Map<number, RecordedRun>()

  constructor (options: SimulatedTargetOptions) {
    this.#options = options
    this.lateMs = options.lateMs
    this.#startedAtMs = options.clock.monotonicMs()
    this.#initialClockMs = options.initialClockMs ?? 0
    this.#clockRate = options.initialClockRate ?? 1
    this.bornMs = options.initialBornMs ?? 1
    this.#usedBornMs.add(this.bornMs)
  }

  get #clockMs (): number {
    return Math.floor((this.#options.clock.monotonicMs() - this.#startedAtMs) * this.#clockRate) + this.#initialClockMs
  }

  get running (): readonly string[] {
    return [...this.#runs.keys()]
  }

  /** Loses all runs, and starts a new incarnation under the same id, which executes the orders in transit. */
  restart ({ clockMs = 0, clockDifferenceMs, clockRate = 1, bornDifferenceMs = 1 }: IncarnationStart = {}): void {
    const { clock, recorder, gangs } = this.#options
    const initialClockMs = clockDifferenceMs === undefined ? clockMs : Math.max(0, this.#clockMs + clockDifferenceMs)
    for (const { record, task, attempt } of this.#runs.values()) {
      recorder.end(record, 'crashed')
      gangs?.leave(task, attempt)
    }
    this.bornMs = this.#nextBornMs(bornDifferenceMs)
    this.#startedAtMs = clock.monotonicMs()
    this.#initialClockMs = initialClockMs
    this.#clockRate = clockRate
    this.#acknowledgeable = new Map()
    this.#fence = this.#leaseUntilMs = 0
    this.#nextNumber = 1
    this.#runs = new Map()
    this.#finished = []
    this.#endedAttempts = new Map()
    this.#wake()
  }

  #nextBornMs (differenceMs: number): number {
    let bornMs = this.bornMs + differenceMs
    while (this.#usedBornMs.has(bornMs)) bornMs += Math.sign(differenceMs) || 1
    this.#usedBornMs.add(bornMs)
    return bornMs
  }

  /**
   * Issues a ticket for starts on the current incarnation.
   *
   * @example
   * await client.start({ ...order, ticket: target.issueTicket() })
   */
  issueTicket (): string {
    return `${this.bornMs}@${this.#clockMs}`
  }

  connect (_incarnation: TargetIncarnation): JobTargetClient {
    return {
      start: async order => await this.#call<StartOutcome>(() => this.#start(order), { outcome: 'unknown', message: 'no answer' }, { outcome: 'refused', refusal: 'unhealthy' }),
      stop: async order => await this.#call<StopOutcome>(() => this.#stop(order), 'unknown', 'unknown'),
      renew: async order => await this.#renew(order),
      close: async () => {}
    }
  }

  endFaults (): void {
    this.fault = 'none'
    this.transit = DEFAULT_TRANSIT
    this.listed = true
  }

  async #call<Outcome> (execute: () => Outcome, unanswered: Outcome, refused: Outcome): Promise<Outcome> {
    const limitMs = this.#options.clock.monotonicMs() + ORDER_TIMEOUT_MS
    const outcome = await this.#receive(execute, unanswered, refused, limitMs)
    return outcome === unanswered || await this.#answer(limitMs) ? outcome : unanswered
  }

  /** Returns the outcome when the target gives its answer, or `unanswered` once the sender has given up. */
  async #receive<Outcome> (execute: () => Outcome, unanswered: Outcome, refused: Outcome, limitMs: number): Promise<Outcome> {
    const { clock } = this.#options
    const { requestMs } = this.transit
    if (clock.monotonicMs() + requestMs >= limitMs) {
      clock.schedule(requestMs, () => { this.#execute(execute, refused) })
      await clock.sleep(limitMs - clock.monotonicMs())
      return unanswered
    }
    await clock.sleep(requestMs)
    const outcome = this.#execute(execute, refused)
    if (outcome !== undefined) return outcome
    await clock.sleep(ORDER_TIMEOUT_MS)
    return unanswered
  }

  /** Executes a request that arrives now, at once or late; returns undefined if it will not be answered. */
  #execute<Outcome> (execute: () => Outcome, refused: Outcome): Outcome | undefined {
    if (this.fault === 'none') return execute()
    if (this.fault === 'refusing') return refused
    if (this.fault === 'deaf') execute()
    if (this.fault === 'late') this.#options.clock.schedule(this.lateMs, execute)
    return undefined
  }

  /** Resolves when the answer that is given now arrives, or the sender has given up; returns whether it has arrived. */
  async #answer (limitMs: number): Promise<boolean> {
    const { clock } = this.#options
    const { answerMs } = this.transit
    const waitMs = limitMs - clock.monotonicMs()
    if (answerMs > 0) await clock.sleep(Math.min(answerMs, waitMs))
    return answerMs <= waitMs
  }

  #start ({ task, attempt, leaseUntilTargetMs, fencingToken, ticket }: TaskOrder): StartOutcome {
    const { id, clock, workMs, endOf, recorder, gangs } = this.#options
    const clockMs = this.#clockMs
    if (fencingToken < this.#fence) return { outcome: 'refused', refusal: 'fenced' }
    this.#fence = fencingToken
    if (leaseUntilTargetMs < clockMs) return { outcome: 'refused', refusal: 'too-late' }
    if (!this.#acceptsTicket(task, ticket)) return { outcome: 'refused', refusal: 'ticket' }
    this.#extendLease(leaseUntilTargetMs)
    if (this.#runs.get(task)?.attempt === attempt) return { outcome: 'started', clockMs }
    if (attempt <= (this.#endedAttempts.get(task) ?? 0) || this.#runs.has(task)) return { outcome: 'refused', refusal: 'superseded' }
    const run: Run = { task, attempt, record: recorder.start(task, attempt, `${id}/${this.bornMs}`), stopping: false }
    this.#runs.set(task, run)
    this.starts += 1
    const work = (): void => {
      const durationMs = workMs(task)
      if (Number.isFinite(durationMs)) clock.schedule(durationMs, () => { if (!run.stopping) this.#end(run, endOf(task, attempt)) })
    }
    if (gangs?.join({ task, attempt, begin: work, end: how => this.#end(run, how) }) !== true) work()
    return { outcome: 'started', clockMs }
  }

  #acceptsTicket (task: string, ticket: string | undefined): boolean {
    const validityMs = this.#options.ticketValidityMs?.(task)
    if (validityMs === undefined) return true
    const [bornMs, issuedMs] = (ticket ?? '').split('@').map(Number)
    return bornMs === this.bornMs && issuedMs !== undefined && this.#clockMs <= issuedMs + validityMs
  }

  #stop ({ task, attempt, fencingToken }: StopOrder): StopOutcome {
    if (fencingToken < this.#fence) return 'fenced'
    this.#fence = fencingToken
    this.#endedAttempts.set(task, Math.max(attempt, this.#endedAttempts.get(task) ?? 0))
    const run = this.#runs.get(task)
    if (run === undefined || run.attempt > attempt || run.stopping) return 'stopping'
    run.stopping = true
    this.#options.clock.schedule(STOP_MS, () => this.#end(run, 'stopped'))
    return 'stopping'
  }

  async #renew ({ fencingToken, acknowledged, leaseUntilTargetMs, waitMs }: RenewOrder): Promise<RenewOutcome> {
    const { clock } = this.#options
    const limitMs = clock.monotonicMs() + waitMs + RENEWAL_MARGIN_MS
    const accepted = await this.#receive<boolean | undefined>(() => {
      if (fencingToken < this.#fence) return false
      this.#fence = fencingToken
      this.#acknowledge(acknowledged)
      if (leaseUntilTargetMs !== undefined) this.#extendLease(leaseUntilTargetMs)
      return true
    }, undefined, undefined, limitMs)
    if (accepted === undefined) return { outcome: 'failed', message: 'no answer' }
    const outcome: RenewOutcome = accepted ? await this.#waitForReport(waitMs) : { outcome: 'fenced' }
    return outcome.outcome === 'failed' || await this.#answer(limitMs) ? outcome : { outcome: 'failed', message: 'no answer' }
  }

  async #waitForReport (waitMs: number): Promise<RenewOutcome> {
    const { clock } = this.#options
    const untilMs = clock.monotonicMs() + waitMs
    const { bornMs } = this
    while (this.#finished.length === 0 && this.bornMs === bornMs && clock.monotonicMs() < untilMs) await this.#waitForChange(untilMs)
    if (this.fault !== 'none' || this.bornMs !== bornMs) return { outcome: 'failed', message: 'no answer' }
    const running = [...this.#runs.values()].map(({ task, attempt }) => ({ task, attempt, checkpoint: '', percent: 0 }))
    return { outcome: 'report', report: { bornMs: this.bornMs, clockMs: this.#clockMs, running, finished: this.#finished.slice(0, 500), mayOmitFinished: this.#finished.length >= 500 } }
  }

  /** Resolves at the next check after a run has ended or the target has restarted, or at the given time. */
  async #waitForChange (untilMs: number): Promise<void> {
    const { clock } = this.#options
    const sinceMs = clock.monotonicMs()
    await new Promise<void>(resolve => {
      const wake = (): void => {
        cancel()
        this.#waiting.delete(wake)
        const elapsedMs = clock.monotonicMs() - sinceMs
        clock.schedule(Math.ceil(elapsedMs / REPORT_CHECK_INTERVAL_MS) * REPORT_CHECK_INTERVAL_MS - elapsedMs, resolve)
      }
      const cancel = clock.schedule(untilMs - sinceMs, wake)
      this.#waiting.add(wake)
    })
  }

  #wake (): void {
    for (const wake of [...this.#waiting]) wake()
  }

  #acknowledge (acknowledged: number): void {
    this.#finished = this.#finished.filter(({ number }) => number > acknowledged)
    for (const [number, record] of this.#acknowledgeable) {
      if (number > acknowledged) continue
      this.#options.recorder.acknowledge(record)
      this.#acknowledgeable.delete(number)
    }
  }

  /** Accepts a deadline on the clock of an earlier incarnation as well, since nothing tells them apart. */
  #extendLease (deadlineMs: number): void {
    const untilMs = Math.min(deadlineMs, this.#clockMs + MAX_LEASE_MS)
    if (untilMs <= this.#leaseUntilMs) return
    this.#leaseUntilMs = untilMs
    const { bornMs } = this
    this.#options.clock.schedule(Math.ceil((untilMs - this.#clockMs) / this.#clockRate), () => {
      if (this.#leaseUntilMs === untilMs && this.bornMs === bornMs) this.#lapse()
    })
  }

  #lapse (): void {
    for (const run of [...this.#runs.values()]) this.#end(run, 'lapsed')
    this.#acknowledgeable.clear()
  }

  #end (run: Run, end: RunEnd): void {
    const { task, attempt, record } = run
    if (this.#runs.get(task) !== run) return
    this.#runs.delete(task)
    this.#endedAttempts.set(task, Math.max(attempt, this.#endedAttempts.get(task) ?? 0))
    this.#options.recorder.end(record, end)
    if (end !== 'done') this.#options.gangs?.leave(task, attempt)
    this.#acknowledgeable.set(this.#nextNumber, record)
    this.#finished.push({ number: this.#nextNumber++, task, attempt, end, checkpoint: '' })
    this.#wake()
  }
}
