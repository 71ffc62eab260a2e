/** Simulated callers: submit jobs, poll their states, cancel, and retry at other instances over persistent connections. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import { encodeHeaders, encodeJob } from '../../src/platform/standIn/standInPlatform.ts'
import type { SoakJob } from './soakChecker.ts'

/** Client time-out on the users' platform. */
const CALL_TIMEOUT_MS = 3_000
const MAX_ATTEMPTS = 5
const RETRY_DELAY_MS = 400
const MEAN_INTERVAL_MS = 90
const POLL_INTERVAL_MS = 900
/** Fraction of the jobs that is cancelled shortly after acceptance. */
const CANCELLED_FRACTION = 0.12
/** Fraction of the jobs whose caller leaves before the answer to the submission, and cancels the job at other instances. */
const LEAVING_FRACTION = 0.08
const MAX_LEAVE_MS = 150
/** Makes the callers that leave independent of the other random choices, which are those of earlier versions for a seed. */
const LEAVING_SEED_OFFSET = 1_000_003
/** Fraction of the submissions that is preceded by a call with a key that no desired state ever contained. */
const WRONG_KEY_FRACTION = 0.03
const MAX_TASKS_PER_STEP = 6
const TASK_CPU = 6_000
const ESTIMATE_MS = 300

export interface SoakTeam {
  readonly name: string
  readonly key: string
}

export interface SoakCallersOptions {
  readonly seed: number
  readonly teams: readonly SoakTeam[]
  readonly prefixes: readonly string[]
  readonly addresses: () => readonly string[]
  /** Whether the first task of the job crashes its targets. */
  readonly isDeadly: (job: string) => boolean
}

/** A job and the planned behaviour of its caller. */
interface PlannedJob extends SoakJob {
  readonly path: string
  readonly key: string
  readonly cancelAfterMs: number | undefined
}

/** Answer to one call; without a status if the connection broke or the call timed out. */
interface Answer {
  readonly status?: number
  readonly state?: string
}

export class SoakCallers {
  readonly jobs = new Map<string, SoakJob>()
  /** Calls with an unknown key that were served. */
  readonly violations: string[] = []
  calls = 0
  readonly #options: SoakCallersOptions
  readonly #random: SeededRandom
  readonly #leaving: SeededRandom
  readonly #agent = new Agent({ pipelining: 1, keepAliveTimeout: 60_000 })
  readonly #jobRuns: Promise<void>[] = []
  #stopped = false
  #settleTimeExpired = false

  constructor (options: SoakCallersOptions) {
    this.#options = options
    this.#random = new SeededRandom(options.seed)
    this.#leaving = new SeededRandom(options.seed + LEAVING_SEED_OFFSET)
  }

  /** Submits jobs until `stop`. */
  async run (): Promise<void> {
    while (!this.#stopped) {
      const jobRun = this.#runJob(this.#createJob())
      this.#jobRuns.push(jobRun)
      await sleep(MEAN_INTERVAL_MS * 2 * this.#random.next())
    }
  }

  /** Stops submitting; resolves when every accepted job has reported its outcome or `settleMs` has elapsed. */
  async stop (settleMs: number): Promise<void> {
    this.#stopped = true
    const timer = setTimeout(() => { this.#settleTimeExpired = true }, settleMs)
    await Promise.all(this.#jobRuns)
    clearTimeout(timer)
    await this.#agent.destroy()
  }

  #createJob (): PlannedJob {
    const { teams, prefixes } = this.#options
    const team = teams[this.#random.integer(teams.length)] as SoakTeam
    const id = (this.jobs.size + 1).toString(16).padStart(16, '0')
    const job = {
      id,
      team: team.name,
      key: team.key,
      path: `${prefixes[this.#random.integer(prefixes.length)]}${id}`,
      steps: Array.from({ length: 1 + this.#random.integer(2) }, () => 1 + this.#random.integer(MAX_TASKS_PER_STEP)),
      cpu: TASK_CPU,
      deadly: this.#options.isDeadly(id),
      outcomeUnknown: false,
      cancelSent: false,
      cancelAfterMs: this.#random.next() < CANCELLED_FRACTION ? this.#random.integer(2_000) : undefined,
      shownStates: []
    }
    this.jobs.set(id, job)
    return job
  }

  async #runJob (job: PlannedJob): Promise<void> {
    if (this.#leaving.next() < LEAVING_FRACTION) return await this.#submitAndLeave(job)
    await this.#submit(job)
    if (job.acceptedAtMs === undefined) return
    if (job.cancelAfterMs !== undefined) {
      await sleep(job.cancelAfterMs)
      await this.#cancel(job)
    }
    while (!this.#settleTimeExpired) {
      await sleep(POLL_INTERVAL_MS)
      const atMs = Date.now()
      const { status, state } = await this.#call('GET', job.path, job.key)
      if (status === 410) job.shownStates.push({ atMs, state: 'no-job' })
      if (status === 200 && state !== undefined) job.shownStates.push({ atMs: Date.now(), state })
      if (state === 'completed' || state === 'failed' || state === 'cancelled') return
    }
  }

  async #submit (job: PlannedJob): Promise<void> {
    const body = this.#encode(job)
    if (this.#random.next() < WRONG_KEY_FRACTION) {
      const { status = 0 } = await this.#call('GET', job.path, 'a key of nobody')
      if (status >= 200 && status < 300) this.violations.push(`ROUTE: a call with an unknown key was answered ${status}`)
    }
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const { status } = await this.#call('POST', job.path, job.key, body)
      if (status === 200) {
        job.acceptedAtMs = Date.now()
        return
      }
      if (status !== 429 && status !== 503) job.outcomeUnknown = true
      await sleep(RETRY_DELAY_MS)
    }
  }

  /** The submission may arrive after the cancel, which its instance may be too slow to see. */
  async #submitAndLeave (job: PlannedJob): Promise<void> {
    const { status } = await this.#call('POST', job.path, job.key, this.#encode(job), 1 + this.#leaving.integer(MAX_LEAVE_MS))
    if (status === 200) job.acceptedAtMs = Date.now()
    else job.outcomeUnknown = true
    await this.#cancel(job)
  }

  #encode ({ id, steps, cpu }: PlannedJob): string {
    return encodeJob(id, steps.map(count => ({ count, processors: cpu, estimateMs: ESTIMATE_MS })))
  }

  async #cancel (job: PlannedJob): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      job.cancelSent = true
      const { status } = await this.#call('DELETE', job.path, job.key)
      if (status === 200 || (status === 410 && job.acceptedAtMs === undefined)) {
        job.cancelledAtMs = Date.now()
        return
      }
      await sleep(RETRY_DELAY_MS)
    }
  }

  async #call (method: 'GET' | 'POST' | 'DELETE', path: string, key: string, body?: string, timeoutMs = CALL_TIMEOUT_MS): Promise<Answer> {
    const addresses = this.#options.addresses()
    const address = addresses[this.#random.integer(addresses.length)] as string
    this.calls += 1
    try {
      const answer = await request(`http://${address}${path}`, {
        method,
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(timeoutMs),
        headers: encodeHeaders(key),
        body
      })
      const { state } = await answer.body.json() as { state?: string }
      return { status: answer.statusCode, state }
    } catch {
      // The connection broke or the call timed out, so the call may have been executed.
      return {}
    }
  }
}
