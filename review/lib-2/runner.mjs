/* eslint camelcase: ["error", { properties: "never" }] */
// Stand-in for a runner. Usage: node runner.mjs '{"id","port","store","service","zone","labels","cpu"}'
// A task's spec is JSON: {"ms", "how"}; it ends after "ms" as "how" ("done" unless given). Each start and end is one line on
// standard output. A gang's spec has its number of members as well, {"gang"}. POST /control {"mode"} changes how it answers: normal, busy (429 to run-start, nothing is done), drain.
import { createServer, request as httpRequest } from 'node:http'

const { id, port, store, service, zone, labels, cpu, killGraceMs = 100 } = JSON.parse(process.argv[2])
const HEARTBEAT_MS = 1_500
const HOLD_MAX_MS = 10_000
const MAX_LISTED = 500
const GANG_TIMEOUT_MS = 3_000
const born = Date.now()
const startedAt = performance.now()
const runs = new Map()
const ended = new Map()
const waiters = new Set()
let finished = []
let nextNumber = 1
let fence = 0
let leaseUntil = 0
let leaseTimer
let mode = 'normal'
let sequence = 0

const clock = () => Math.floor(performance.now() - startedAt)
const say = line => process.stdout.write(`${JSON.stringify({ at: Date.now(), runner: id, ...line })}\n`)

function tellPlatform (path, body) {
  const text = JSON.stringify(body)
  const [host, storePort] = store.split(':')
  return new Promise(resolve => {
    const call = httpRequest({ host, port: storePort, method: 'POST', path, headers: { 'content-length': Buffer.byteLength(text) } }, answer => {
      const chunks = []
      answer.on('data', chunk => chunks.push(chunk))
      answer.on('end', () => resolve(JSON.parse(Buffer.concat(chunks).toString())))
    })
    call.on('error', () => resolve({}))
    call.end(text)
  })
}

function checkIn () {
  sequence += 1
  const value = { service, address: `127.0.0.1:${port}`, zone, version: '1', slots: 8, state: mode === 'drain' ? 'draining' : 'ready', cold_left_ms: 0, sequence, born, capacity: { cpu, mem_mb: 65_536, gpu: 0 }, labels, ...(mode === 'drain' ? { remaining_ms: 10_000 } : {}) }
  return tellPlatform('/control/put', { key: `servers/${id}`, value })
}

/** Waits for the other members, then works; ends as soon as another member has ended otherwise. */
async function runMember (task, attempt, { ms, how = 'done', gang: size }) {
  const gang = `${task.slice(0, task.lastIndexOf('.'))}#${attempt}`
  const arrivedAt = clock()
  let beganAt
  while (runs.get(task)?.attempt === attempt) {
    const { began, broken } = await tellPlatform('/control/gang', { gang, size, member: task, state: 'present' })
    if (runs.get(task)?.attempt !== attempt) return
    if (broken) return endRun(task, 'broken')
    if (began) beganAt ??= clock()
    if (beganAt === undefined && clock() - arrivedAt >= GANG_TIMEOUT_MS) return endRun(task, 'alone')
    if (beganAt !== undefined && clock() - beganAt >= ms) return endRun(task, how)
    await new Promise(resolve => setTimeout(resolve, 50))
  }
}

function endRun (task, how) {
  const run = runs.get(task)
  if (run === undefined) return
  clearTimeout(run.timer)
  runs.delete(task)
  ended.set(task, Math.max(run.attempt, ended.get(task) ?? 0))
  finished.push([nextNumber++, task, run.attempt, how, ''])
  if (run.gang && how !== 'done') tellPlatform('/control/gang', { gang: `${task.slice(0, task.lastIndexOf('.'))}#${run.attempt}`, member: task, state: 'gone' })
  say({ event: 'ended', task, run: run.attempt, how })
  for (const wake of [...waiters]) wake()
}

function extend (deadline) {
  leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + HOLD_MAX_MS))
  clearTimeout(leaseTimer)
  leaseTimer = setTimeout(() => { for (const task of [...runs.keys()]) endRun(task, 'lapsed') }, Math.max(0, leaseUntil - clock()))
}

const refuse = reason => [409, { clock_ms: clock(), born, reason }]

function start ({ task, attempt, spec, deadline_ms: deadline }) {
  if (deadline < clock()) return refuse('late')
  extend(deadline)
  if (runs.get(task)?.attempt === attempt) return [200, { clock_ms: clock(), born }]
  if (attempt <= (ended.get(task) ?? 0) || attempt <= (runs.get(task)?.attempt ?? 0)) return refuse('old')
  const { ms, how = 'done', gang } = JSON.parse(spec)
  runs.set(task, { attempt, beganAt: clock(), ms, gang: gang !== undefined, timer: gang === undefined ? setTimeout(() => endRun(task, how), ms) : undefined })
  say({ event: 'started', task, run: attempt })
  if (gang !== undefined) runMember(task, attempt, { ms, how, gang })
  return [200, { clock_ms: clock(), born }]
}

function stop ({ task, attempt }) {
  const run = runs.get(task)
  if (run?.attempt === attempt) {
    clearTimeout(run.timer)
    run.timer = setTimeout(() => endRun(task, 'stopped'), killGraceMs)
    run.stopping = true
  } else {
    ended.set(task, Math.max(attempt, ended.get(task) ?? 0))
  }
  return [200, { clock_ms: clock(), born }]
}

async function hold ({ acked = 0, deadline_ms: deadline, wait_ms: waitMs = 0 }) {
  finished = finished.filter(([number]) => number > acked)
  if (deadline !== undefined) extend(deadline)
  if (finished.length === 0 && waitMs > 0) {
    await new Promise(resolve => {
      const done = () => {
        clearTimeout(timer)
        waiters.delete(done)
        resolve()
      }
      const timer = setTimeout(done, Math.min(waitMs, 2_000))
      waiters.add(done)
    })
  }
  const running = [...runs].map(([task, run]) => [task, run.attempt, '', Math.min(100, Math.round((clock() - run.beganAt) / run.ms * 100)), 0])
  return [200, { clock_ms: clock(), born, running, finished: finished.slice(0, MAX_LISTED) }]
}

async function handle (request, body) {
  const path = request.url
  if (path === '/control') {
    mode = body.mode
    await checkIn()
    return [200, {}]
  }
  if (path === '/healthz') return [200, {}]
  const expected = request.headers['x-agategauge-expect-instance']
  if (expected !== undefined && expected !== id) return [421, {}]
  if (path === '/-/run-start' && mode === 'busy') return [429, {}]
  const token = body.fencing_token ?? 0
  if (token < fence) return refuse('fence')
  fence = token
  if (path === '/-/run-start') return start(body)
  if (path === '/-/run-stop') return stop(body)
  if (path === '/-/hold') return await hold(body)
  return [404, {}]
}

const server = createServer((request, response) => {
  const chunks = []
  request.on('data', chunk => chunks.push(chunk))
  request.on('end', async () => {
    const text = Buffer.concat(chunks).toString()
    const [status, body] = await handle(request, text === '' ? {} : JSON.parse(text))
    const answer = JSON.stringify(body)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(answer) }).end(answer)
  })
})
server.keepAliveTimeout = 60_000
server.listen(port, '127.0.0.1', () => {
  say({ event: 'up', born })
  checkIn()
  setInterval(checkIn, HEARTBEAT_MS)
})
