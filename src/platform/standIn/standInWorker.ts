/** A target of the platform as a stand-in for tests: runs tasks as timers under a lease. */
import type { RouteResponse, Route } from '../../adapters/http/routes.ts'

interface Run {
  readonly task: string
  readonly attempt: number
  readonly endsAtMs: number
  readonly startedAtMs: number
  timer: NodeJS.Timeout
}

interface End {
  readonly number: number
  readonly task: string
  readonly attempt: number
  readonly end: string
}

/** What callers and tests see of each start and end. */
export interface WorkerEvent {
  readonly type: 'started' | 'ended'
  readonly atMs: number
  readonly task: string
  readonly attempt: number
  readonly worker: string
  /** Of the run; `crashed` if the worker lost it. */
  readonly end?: string
}

/** `silent` accepts calls and does not answer; `late` carries starts out after a delay and does not answer. */
export type WorkerFault = 'none' | 'silent' | 'late'

const LONGEST_LEASE_MS = 10_000
const LATE_MS = 600

export interface StandInWorkerOptions {
  readonly id: string
  readonly bornMs: number
  /** Speed of the clock by which leases are measured; 1 is right. */
  readonly clockRate?: number
  /** Work of a task, milliseconds. */
  readonly workMs: (task: string, attempt: number) => number
  /** How a run ends that is not stopped. */
  readonly endOf?: (task: string, attempt: number) => 'done' | 'failed'
  readonly onEvent: (event: WorkerEvent) => void
  /** An end that will not be reported again. */
  readonly onAcknowledged?: (task: string, attempt: number) => void
}

export class StandInWorker {
  readonly #options: StandInWorkerOptions
  readonly #runs = new Map<string, Run>()
  /** Highest attempt that was stopped or ended, by task. */
  readonly #over = new Map<string, number>()
  readonly #waiting = new Set<() => void>()
  #startedAtMs = Date.now()
  #bornMs: number
  #ends: End[] = []
  #nextEnd = 1
  #fence = 0
  #leaseUntilMs = 0
  #leaseTimer: NodeJS.Timeout | undefined
  fault: WorkerFault = 'none'

  constructor (options: StandInWorkerOptions) {
    this.#options = options
    this.#bornMs = options.bornMs
  }

  /** When the present life began, Unix milliseconds. */
  get bornMs (): number {
    return this.#bornMs
  }

  get running (): readonly string[] {
    return [...this.#runs.keys()]
  }

  close (): void {
    clearTimeout(this.#leaseTimer)
    for (const { timer } of this.#runs.values()) clearTimeout(timer)
  }

  /** Loses all that it holds and knows, and starts again under its identity. */
  crash (): void {
    for (const run of this.#runs.values()) {
      clearTimeout(run.timer)
      this.#emit('ended', run, 'crashed')
    }
    clearTimeout(this.#leaseTimer)
    this.#runs.clear()
    this.#over.clear()
    this.#ends = []
    this.#nextEnd = 1
    this.#fence = 0
    this.#leaseUntilMs = 0
    this.#startedAtMs = Date.now()
    this.#bornMs = Math.max(this.#bornMs + 1, this.#startedAtMs)
  }

  get routes (): readonly Route[] {
    return [
      this.#route('/-/run-start', async body => this.#start(body)),
      this.#route('/-/run-stop', async body => this.#stop(body)),
      this.#route('/-/hold', async body => await this.#hold(body))
    ]
  }

  #route (pattern: string, handle: (body: Body) => Promise<RouteResponse>): Route {
    return {
      method: 'POST',
      pattern,
      handle: async ({ body, signal }) => {
        const { fault } = this
        if (fault === 'late' && pattern === '/-/run-start') setTimeout(() => { this.#start(body as Body) }, LATE_MS)
        if (fault === 'silent' || (fault === 'late' && pattern === '/-/run-start')) {
          await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve(), { once: true }))
          return undefined
        }
        return await handle(body as Body)
      }
    }
  }

  get #clockMs (): number {
    return (Date.now() - this.#startedAtMs) * (this.#options.clockRate ?? 1)
  }

  #emit (type: WorkerEvent['type'], { task, attempt }: { readonly task: string, readonly attempt: number }, end?: string): void {
    this.#options.onEvent({ type, atMs: Date.now(), task, attempt, worker: this.#options.id, ...(end === undefined ? {} : { end }) })
  }

  #refuse (reason: string): RouteResponse {
    return { status: 409, body: { clock_ms: Math.floor(this.#clockMs), born: this.#bornMs, reason } }
  }

  get #accepted (): RouteResponse {
    return { status: 200, body: { clock_ms: Math.floor(this.#clockMs), born: this.#bornMs } }
  }

  #raiseFence (token = 0): boolean {
    if (token < this.#fence) return false
    this.#fence = token
    return true
  }

  #start ({ task = '', attempt = 0, deadline_ms: deadlineMs = 0, fencing_token: token }: Body): RouteResponse {
    if (!this.#raiseFence(token)) return this.#refuse('fence')
    if (deadlineMs < this.#clockMs) return this.#refuse('late')
    this.#extend(deadlineMs)
    if (this.#runs.get(task)?.attempt === attempt) return this.#accepted
    if (attempt <= (this.#over.get(task) ?? 0)) return this.#refuse('old')
    const { workMs, endOf } = this.#options
    const work = workMs(task, attempt)
    const timer = setTimeout(() => this.#end(task, endOf?.(task, attempt) ?? 'done'), work)
    this.#runs.set(task, { task, attempt, startedAtMs: Date.now(), endsAtMs: Date.now() + work, timer })
    this.#emit('started', { task, attempt })
    return this.#accepted
  }

  #stop ({ task = '', attempt = 0, fencing_token: token }: Body): RouteResponse {
    if (!this.#raiseFence(token)) return this.#refuse('fence')
    this.#over.set(task, Math.max(attempt, this.#over.get(task) ?? 0))
    if (this.#runs.get(task)?.attempt === attempt) this.#end(task, 'stopped')
    return this.#accepted
  }

  async #hold ({ fencing_token: token, acked = 0, deadline_ms: deadlineMs, wait_ms: waitMs = 0 }: Body): Promise<RouteResponse> {
    if (!this.#raiseFence(token)) return this.#refuse('fence')
    for (const { number, task, attempt } of this.#ends) {
      if (number <= acked) this.#options.onAcknowledged?.(task, attempt)
    }
    this.#ends = this.#ends.filter(({ number }) => number > acked)
    if (deadlineMs !== undefined) this.#extend(deadlineMs)
    if (this.#ends.length === 0 && waitMs > 0) await this.#nextEndOrTimeout(waitMs)
    return {
      status: 200,
      body: {
        clock_ms: Math.floor(this.#clockMs),
        born: this.#bornMs,
        running: [...this.#runs.values()].map(run => [run.task, run.attempt, '', percentOf(run)]),
        finished: this.#ends.map(({ number, task, attempt, end }) => [number, task, attempt, end, ''])
      }
    }
  }

  async #nextEndOrTimeout (waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const waiting = this.#waiting
      const timer = setTimeout(done, waitMs)
      function done (): void {
        clearTimeout(timer)
        waiting.delete(done)
        resolve()
      }
      waiting.add(done)
    })
  }

  #extend (deadlineMs: number): void {
    this.#leaseUntilMs = Math.max(this.#leaseUntilMs, Math.min(deadlineMs, this.#clockMs + LONGEST_LEASE_MS))
    clearTimeout(this.#leaseTimer)
    this.#leaseTimer = setTimeout(() => {
      for (const task of [...this.#runs.keys()]) this.#end(task, 'lapsed')
    }, (this.#leaseUntilMs - this.#clockMs) / (this.#options.clockRate ?? 1))
  }

  #end (task: string, end: string): void {
    const run = this.#runs.get(task)
    if (run === undefined) return
    clearTimeout(run.timer)
    this.#runs.delete(task)
    this.#over.set(task, Math.max(run.attempt, this.#over.get(task) ?? 0))
    this.#ends.push({ number: this.#nextEnd++, task, attempt: run.attempt, end })
    this.#emit('ended', run, end)
    for (const wake of [...this.#waiting]) wake()
  }
}

interface Body {
  readonly task?: string
  readonly attempt?: number
  readonly deadline_ms?: number
  readonly fencing_token?: number
  readonly acked?: number
  readonly wait_ms?: number
}

function percentOf ({ startedAtMs, endsAtMs }: Run): number {
  const total = Math.max(1, endsAtMs - startedAtMs)
  return Math.min(100, Math.round((Date.now() - startedAtMs) / total * 100))
}
