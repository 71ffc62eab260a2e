/** Stand-in for a target of the platform, for tests. Simulates runs with timers under a lease. */
import { setTimeout as delay } from 'node:timers/promises'
import type { RouteResponse, Route } from '../../adapters/http/routes.ts'

interface Run {
  readonly task: string
  readonly attempt: number
  readonly endsAtMs: number
  readonly startedAtMs: number
  timer: NodeJS.Timeout
  stopping: boolean
}

interface FinishedRun {
  readonly number: number
  readonly task: string
  readonly attempt: number
  readonly end: string
  /** Whether the lease has lapsed since the end, so that an acknowledgement is no longer final. */
  hasLapsed: boolean
}

/** The start or end of a run, as reported to tests. */
export interface WorkerEvent {
  readonly type: 'started' | 'ended'
  readonly atMs: number
  readonly task: string
  readonly attempt: number
  readonly worker: string
  /** How the run ended; `crashed` if the worker crashed. */
  readonly end?: string
}

/**
 * `silent` accepts calls without answering, `silent-from-start` from the next start on; `late` executes calls after a
 * delay without answering, on the incarnation that is up then, and `late-starts` only starts; `refusing` answers 503.
 */
export type WorkerFault = 'none' | 'silent' | 'silent-from-start' | 'late' | 'late-starts' | 'refusing'

export const MAX_LEASE_MS = 10_000
/** How long a ticket of the placement advisor is accepted. */
export const TICKET_VALIDITY_MS = 2_000
/** Later finished runs are listed when earlier ones have been acknowledged. */
const MAX_FINISHED_PER_ANSWER = 500
/** Delay of calls during the fault `late`, unless another is chosen. */
export const DEFAULT_LATE_MS = 600
/** Time from the start of a task that crashes its target to the crash. */
const CRASH_DELAY_MS = 10

export interface StandInWorkerOptions {
  readonly id: string
  readonly bornMs: number
  /** Speed of the clock that measures leases, relative to real time; 1 is exact. */
  readonly clockRate?: number
  /** What the clock of an incarnation shows at its start, given what the earlier one's would show then; 0 by default. */
  readonly initialClockMs?: (earlierClockMs?: number) => number
  /** Duration of a run, in milliseconds. */
  readonly workMs: (task: string, attempt: number) => number
  /** How a run ends if it is not stopped. */
  readonly endOf?: (task: string, attempt: number) => 'done' | 'failed'
  /** Whether the task crashes the worker soon after its start. */
  readonly crashesWorker?: (task: string) => boolean
  /** Called when a task crashes the worker. */
  readonly onCrash?: () => void
  /** Time that a stopped run takes to end, in milliseconds; it ends at once by default. */
  readonly stopMs?: number
  readonly onEvent: (event: WorkerEvent) => void
  /** Called for each finished run that was acknowledged before the lease lapsed, by whichever call. */
  readonly onAcknowledged?: (task: string, attempt: number) => void
}

export class StandInWorker {
  readonly #options: StandInWorkerOptions
  readonly #runs = new Map<string, Run>()
  /** Highest attempt of each task that has been stopped or has ended. */
  readonly #lastEndedAttempts = new Map<string, number>()
  readonly #waiters = new Set<() => void>()
  #startedAtMs = Date.now()
  #initialClockMs: number
  #bornMs: number
  #finishedRuns: FinishedRun[] = []
  #nextFinishedNumber = 1
  #fencingToken = 0
  #leaseUntilMs = 0
  #leaseTimer: NodeJS.Timeout | undefined
  /** Calls that the next incarnation executes once it is up; undefined while the worker is up. */
  #heldCalls: (() => void)[] | undefined
  #darkCrashes = 0
  #isClosed = false
  fault: WorkerFault = 'none'
  /** Delay of calls that arrive during the fault `late` or `late-starts`, in milliseconds. */
  lateMs = DEFAULT_LATE_MS

  constructor (options: StandInWorkerOptions) {
    this.#options = options
    this.#bornMs = options.bornMs
    this.#initialClockMs = options.initialClockMs?.() ?? 0
  }

  /** Start time of the current incarnation, in milliseconds since the Unix epoch. */
  get bornMs (): number {
    return this.#bornMs
  }

  /** Issues a ticket, with which tasks may be started on the current incarnation for a while. */
  issueTicket (): string {
    return `${this.#bornMs}/${Date.now()}`
  }

  /** Accepts starts without a ticket, since the worker does not know which queues have an advisor. */
  #acceptsTicket (ticket: string | undefined): boolean {
    if (ticket === undefined) return true
    const [bornMs, issuedAtMs = 0] = ticket.split('/').map(Number)
    return bornMs === this.#bornMs && Date.now() <= issuedAtMs + TICKET_VALIDITY_MS
  }

  get running (): readonly string[] {
    return [...this.#runs.keys()]
  }

  close (): void {
    this.#isClosed = true
    clearTimeout(this.#leaseTimer)
    for (const { timer } of this.#runs.values()) clearTimeout(timer)
  }

  /** Loses all runs and state, and starts a new incarnation under the same id. */
  crash (): void {
    this.#loseState()
    this.#beginIncarnation()
  }

  /**
   * Crashes without closing connections. Calls that are open or arrive before the next incarnation is up get no answer;
   * it executes those that arrive. Resolves when it is up.
   *
   * @example
   * await worker.crashDark(600)
   */
  async crashDark (darkMs: number): Promise<void> {
    this.#loseState()
    this.#darkCrashes += 1
    this.#heldCalls ??= []
    const crash = this.#darkCrashes
    await delay(darkMs)
    // Another crash may have begun or ended the darkness.
    if (this.#darkCrashes === crash && this.#heldCalls !== undefined) this.#beginIncarnation()
  }

  #loseState (): void {
    for (const run of this.#runs.values()) {
      clearTimeout(run.timer)
      this.#emit('ended', run, 'crashed')
    }
    clearTimeout(this.#leaseTimer)
    this.#runs.clear()
    this.#lastEndedAttempts.clear()
    this.#finishedRuns = []
    this.#nextFinishedNumber = 1
    this.#fencingToken = 0
    this.#leaseUntilMs = 0
  }

  #beginIncarnation (): void {
    this.#initialClockMs = this.#options.initialClockMs?.(this.#clockMs) ?? 0
    this.#startedAtMs = Date.now()
    this.#bornMs = Math.max(this.#bornMs + 1, this.#startedAtMs)
    const calls = this.#heldCalls ?? []
    this.#heldCalls = undefined
    for (const call of calls) call()
  }

  /** Executes a call without an answer, on the next incarnation if none is up. */
  #executeUnanswered (call: () => void): void {
    if (this.#isClosed) return
    if (this.#heldCalls !== undefined) this.#heldCalls.push(call)
    else call()
  }

  get routes (): readonly Route[] {
    return [
      this.#route('/-/run-start', async body => this.#start(body)),
      this.#route('/-/run-stop', async body => this.#stop(body)),
      this.#route('/-/hold', async body => await this.#renew(body))
    ]
  }

  #route (pattern: string, handle: (body: Body) => Promise<RouteResponse | undefined>): Route {
    const isStart = pattern === '/-/run-start'
    return {
      method: 'POST',
      pattern,
      handle: async ({ body, signal }) => {
        if (this.fault === 'silent-from-start' && isStart) this.fault = 'silent'
        const { fault } = this
        if (fault === 'refusing') return { status: 503, body: {} }
        const isLate = fault === 'late' || (fault === 'late-starts' && isStart)
        if (fault !== 'silent' && !isLate && this.#heldCalls === undefined) return await handle(body as Body) ?? await leaveUnanswered(signal)
        const execute = (): void => { handle({ ...body as Body, wait_ms: 0 }).catch(() => {}) }
        if (isLate) setTimeout(() => this.#executeUnanswered(execute), this.lateMs).unref()
        else if (fault !== 'silent') this.#executeUnanswered(execute)
        return await leaveUnanswered(signal)
      }
    }
  }

  get #clockMs (): number {
    return this.#initialClockMs + (Date.now() - this.#startedAtMs) * (this.#options.clockRate ?? 1)
  }

  #emit (type: WorkerEvent['type'], { task, attempt }: { readonly task: string, readonly attempt: number }, end?: string): void {
    this.#options.onEvent({ type, atMs: Date.now(), task, attempt, worker: this.#options.id, ...(end === undefined ? {} : { end }) })
  }

  #refuse (reason: string): RouteResponse {
    return { status: 409, body: { clock_ms: Math.floor(this.#clockMs), reason } }
  }

  /** Like the platform's, an answer to a start or a stop does not name the incarnation. */
  get #accepted (): RouteResponse {
    return { status: 200, body: { clock_ms: Math.floor(this.#clockMs) } }
  }

  #acceptFencingToken (token = 0): boolean {
    if (token < this.#fencingToken) return false
    this.#fencingToken = token
    return true
  }

  #start ({ task = '', attempt = 0, deadline_ms: deadlineMs = 0, fencing_token: token, ticket }: Body): RouteResponse {
    if (!this.#acceptFencingToken(token)) return this.#refuse('fence')
    if (deadlineMs < this.#clockMs) return this.#refuse('late')
    if (!this.#acceptsTicket(ticket)) return this.#refuse('ticket')
    this.#extendLease(deadlineMs)
    if (this.#runs.get(task)?.attempt === attempt) return this.#accepted
    if (attempt <= (this.#lastEndedAttempts.get(task) ?? 0)) return this.#refuse('old')
    const { workMs, endOf } = this.#options
    const durationMs = workMs(task, attempt)
    const timer = setTimeout(() => this.#endRun(task, endOf?.(task, attempt) ?? 'done'), durationMs)
    this.#runs.set(task, { task, attempt, startedAtMs: Date.now(), endsAtMs: Date.now() + durationMs, timer, stopping: false })
    this.#emit('started', { task, attempt })
    if (this.#options.crashesWorker?.(task) === true) setTimeout(() => this.#options.onCrash?.(), CRASH_DELAY_MS)
    return this.#accepted
  }

  #stop ({ task = '', attempt = 0, fencing_token: token }: Body): RouteResponse {
    if (!this.#acceptFencingToken(token)) return this.#refuse('fence')
    this.#lastEndedAttempts.set(task, Math.max(attempt, this.#lastEndedAttempts.get(task) ?? 0))
    if (this.#runs.get(task)?.attempt === attempt) this.#stopRun(task)
    return this.#accepted
  }

  #stopRun (task: string): void {
    const { stopMs = 0 } = this.#options
    const run = this.#runs.get(task)
    if (stopMs === 0 || run === undefined) return this.#endRun(task, 'stopped')
    if (run.stopping) return
    clearTimeout(run.timer)
    run.stopping = true
    run.timer = setTimeout(() => this.#endRun(task, 'stopped'), stopMs)
  }

  async #renew ({ fencing_token: token, acked = 0, deadline_ms: deadlineMs, wait_ms: waitMs = 0 }: Body): Promise<RouteResponse | undefined> {
    const darkCrashes = this.#darkCrashes
    if (!this.#acceptFencingToken(token)) return this.#refuse('fence')
    for (const { number, task, attempt, hasLapsed } of this.#finishedRuns) {
      if (number <= acked && !hasLapsed) this.#options.onAcknowledged?.(task, attempt)
    }
    this.#finishedRuns = this.#finishedRuns.filter(({ number }) => number > acked)
    if (deadlineMs !== undefined) this.#extendLease(deadlineMs)
    if (this.#finishedRuns.length === 0 && waitMs > 0) await this.#waitForFinishedRun(waitMs)
    if (this.#darkCrashes !== darkCrashes) return undefined
    return {
      status: 200,
      body: {
        clock_ms: Math.floor(this.#clockMs),
        born: this.#bornMs,
        running: [...this.#runs.values()].map(run => [run.task, run.attempt, '', percentOf(run)]),
        finished: this.#finishedRuns.slice(0, MAX_FINISHED_PER_ANSWER).map(({ number, task, attempt, end }) => [number, task, attempt, end, ''])
      }
    }
  }

  async #waitForFinishedRun (waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const waiters = this.#waiters
      const timer = setTimeout(done, waitMs)
      function done (): void {
        clearTimeout(timer)
        waiters.delete(done)
        resolve()
      }
      waiters.add(done)
    })
  }

  #extendLease (deadlineMs: number): void {
    this.#leaseUntilMs = Math.max(this.#leaseUntilMs, Math.min(deadlineMs, this.#clockMs + MAX_LEASE_MS))
    clearTimeout(this.#leaseTimer)
    this.#leaseTimer = setTimeout(() => {
      for (const run of this.#finishedRuns) run.hasLapsed = true
      for (const task of [...this.#runs.keys()]) this.#endRun(task, 'lapsed')
    }, (this.#leaseUntilMs - this.#clockMs) / (this.#options.clockRate ?? 1))
  }

  #endRun (task: string, end: string): void {
    const run = this.#runs.get(task)
    if (run === undefined) return
    clearTimeout(run.timer)
    this.#runs.delete(task)
    this.#lastEndedAttempts.set(task, Math.max(run.attempt, this.#lastEndedAttempts.get(task) ?? 0))
    this.#finishedRuns.push({ number: this.#nextFinishedNumber++, task, attempt: run.attempt, end, hasLapsed: false })
    this.#emit('ended', run, end)
    for (const wake of [...this.#waiters]) wake()
  }
}

interface Body {
  readonly task?: string
  readonly attempt?: number
  readonly deadline_ms?: number
  readonly fencing_token?: number
  readonly acked?: number
  readonly wait_ms?: number
  readonly ticket?: string
}

/** Waits until the caller gives up. */
async function leaveUnanswered (signal: AbortSignal): Promise<undefined> {
  if (!signal.aborted) await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve(), { once: true }))
  return undefined
}

function percentOf ({ startedAtMs, endsAtMs }: Run): number {
  const total = Math.max(1, endsAtMs - startedAtMs)
  return Math.min(100, Math.round((Date.now() - startedAtMs) / total * 100))
}
