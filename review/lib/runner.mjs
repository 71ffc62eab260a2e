/**
 * Stand-in for a runner, as PROTOCOL.md describes it: runs, leases, fencing tokens and the list of ends, of which an
 * answer holds at most 500. The spec of a task is JSON with `ms`, the time for which the task works.
 */
/* eslint camelcase: ["error", { properties: "never" }] -- names on the wire are the platform's */
import { createServer } from 'node:http'
import { answerJson, listen, readJson } from './http.mjs'

const ENDS_PER_ANSWER = 500
const LONGEST_LEASE_MS = 10_000
/** Below `kill_grace_ms`. */
const STOP_MS = 50

export class Runner {
  #options
  #server
  #runs = new Map()
  #ends = []
  #nextEnd = 1
  #highestEnded = new Map()
  #fence = 0
  #leaseUntilMs = 0
  #leaseTimer
  #startedMs = performance.now()
  #waiters = new Set()
  #up = true
  address = ''
  born = Date.now()
  acked = 0
  /** Whether the entry of the runner says that it drains. */
  draining = false
  /** Whether every start is refused with 503, as by an unhealthy runner. */
  unhealthy = false

  /** `onEvent` is called with each start, end and acknowledgement. */
  constructor (options) {
    this.#options = options
  }

  get id () {
    return this.#options.id
  }

  get labels () {
    return this.#options.labels
  }

  get up () {
    return this.#up
  }

  get running () {
    return [...this.#runs.values()]
  }

  async start () {
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy())
    })
    this.#server.keepAliveTimeout = 60_000
    this.address = await listen(this.#server)
  }

  stop () {
    clearTimeout(this.#leaseTimer)
    for (const run of this.#runs.values()) clearTimeout(run.timer)
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** Loses everything, and accepts no channel until `restart`. */
  crash () {
    this.#up = false
    clearTimeout(this.#leaseTimer)
    for (const run of this.#runs.values()) {
      clearTimeout(run.timer)
      this.#emit('ended', run, 'crashed')
    }
    this.#runs.clear()
    for (const wake of [...this.#waiters]) wake()
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** Begins a new life under the same id, which knows nothing of the earlier one. */
  async restart () {
    this.#ends = []
    this.#nextEnd = 1
    this.#highestEnded.clear()
    this.#fence = 0
    this.#leaseUntilMs = 0
    this.#startedMs = performance.now()
    this.acked = 0
    this.born = Math.max(this.born + 1, Date.now())
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy())
    })
    this.#server.keepAliveTimeout = 60_000
    await listen(this.#server, Number(this.address.split(':')[1]))
    this.#up = true
  }

  get #clockMs () {
    return Math.floor(performance.now() - this.#startedMs)
  }

  async #serve (request, response) {
    const body = await readJson(request)
    const expected = request.headers['x-agategauge-expect-instance']
    if (expected !== undefined && expected !== this.id) return this.#answer(response, 421, {})
    if ((body.fencing_token ?? 0) < this.#fence) return this.#answer(response, 409, { reason: 'fence' })
    switch (request.url) {
      case '/-/run-start': return this.#begin(response, body)
      case '/-/run-stop': return this.#end(response, body)
      case '/-/hold': return await this.#hold(response, body)
    }
    this.#answer(response, 404, {})
  }

  #answer (response, status, body) {
    answerJson(response, status, { clock_ms: this.#clockMs, born: this.born, ...body })
  }

  #begin (response, { task, attempt, spec, deadline_ms: deadlineMs, fencing_token: fence = 0 }) {
    if (this.unhealthy) return this.#answer(response, 503, {})
    this.#fence = fence
    if (deadlineMs < this.#clockMs) return this.#answer(response, 409, { reason: 'late' })
    this.#extendLease(deadlineMs)
    const key = `${task}#${attempt}`
    if (this.#runs.has(key)) return this.#answer(response, 200, {})
    if (attempt <= (this.#highestEnded.get(task) ?? 0)) return this.#answer(response, 409, { reason: 'old' })
    const { ms = 100 } = JSON.parse(spec)
    const run = { key, task, attempt, beganMs: Date.now(), ms }
    run.timer = setTimeout(() => this.#finish(run, 'done'), ms)
    this.#runs.set(key, run)
    this.#emit('started', run)
    this.#answer(response, 200, {})
  }

  #end (response, { task, attempt, fencing_token: fence = 0 }) {
    this.#fence = fence
    this.#highestEnded.set(task, Math.max(attempt, this.#highestEnded.get(task) ?? 0))
    const run = this.#runs.get(`${task}#${attempt}`)
    if (run !== undefined) {
      clearTimeout(run.timer)
      run.timer = setTimeout(() => this.#finish(run, 'stopped'), STOP_MS)
    }
    this.#answer(response, 200, {})
  }

  async #hold (response, { acked = 0, deadline_ms: deadlineMs, wait_ms: waitMs = 0, fencing_token: fence = 0 }) {
    this.#fence = fence
    this.acked = Math.max(this.acked, acked)
    for (const [number, task, attempt, how] of this.#ends) if (number <= acked) this.#options.onEvent({ type: 'acked', runner: this.id, task, attempt, how })
    this.#ends = this.#ends.filter(([number]) => number > acked)
    if (deadlineMs !== undefined) this.#extendLease(deadlineMs)
    const last = this.#nextEnd
    if (waitMs > 0 && this.#ends.length === 0 && last === this.#nextEnd) await this.#waitForEnd(waitMs)
    if (response.destroyed) return
    this.#answer(response, 200, {
      running: this.running.map(run => [run.task, run.attempt, '', Math.min(100, Math.floor((Date.now() - run.beganMs) * 100 / run.ms)), 0]),
      finished: this.#ends.slice(0, ENDS_PER_ANSWER)
    })
  }

  async #waitForEnd (waitMs) {
    await new Promise(resolve => {
      const waiters = this.#waiters
      const timer = setTimeout(wake, waitMs)
      function wake () {
        clearTimeout(timer)
        waiters.delete(wake)
        resolve()
      }
      waiters.add(wake)
    })
  }

  #extendLease (deadlineMs) {
    const untilMs = Math.min(deadlineMs, this.#clockMs + LONGEST_LEASE_MS)
    if (untilMs <= this.#leaseUntilMs) return
    this.#leaseUntilMs = untilMs
    clearTimeout(this.#leaseTimer)
    this.#leaseTimer = setTimeout(() => {
      this.#options.onEvent({ type: 'lease lapsed', runner: this.id, task: '-', attempt: 0 })
      for (const run of this.running) this.#finish(run, 'lapsed')
    }, untilMs - this.#clockMs)
  }

  #finish (run, how) {
    clearTimeout(run.timer)
    if (!this.#runs.delete(run.key)) return
    this.#highestEnded.set(run.task, Math.max(run.attempt, this.#highestEnded.get(run.task) ?? 0))
    this.#ends.push([this.#nextEnd++, run.task, run.attempt, how, ''])
    this.#emit('ended', run, how)
    for (const wake of [...this.#waiters]) wake()
  }

  #emit (type, { task, attempt }, how) {
    this.#options.onEvent({ type, runner: this.id, task, attempt, ...(how === undefined ? {} : { how }) })
  }
}
