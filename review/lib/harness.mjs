/** Starts a small deployment of the project's program on stand-ins, and keeps the record of what was sent, answered and run. */
/* eslint camelcase: ["error", { properties: "never" }] -- names on the wire are the platform's */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, Agent } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join, resolve as resolvePath } from 'node:path'
import { answerJson, call, listen, readJson } from './http.mjs'
import { Runner } from './runner.mjs'
import { Store } from './store.mjs'

export const HOST = 'wreaths.example'
export const SERVICE = 'wreath-orders'
/** Bounds of the small site. */
export const BOUNDS = { contactMs: 4_000, ackMs: 5_000, visibleMs: 3_000, finishMs: 14_000, heartbeatMs: 1_500 }
const ROOT = resolvePath(import.meta.dirname, '..', '..')
const PROGRAM = join(ROOT, 'target', 'agategauge')
const ZONES = ['attica-a', 'attica-b', 'macedonia-a']
const RACK_SIZE = 8
const PORTS_PER_INSTANCE = 20

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** The case could not run: exit code 2. */
export class CannotRun extends Error {}

export class Deployment {
  store = new Store()
  runners = []
  instances = []
  #options
  #beganMs = Date.now()
  #lines = []
  #folder = mkdtempSync(join(tmpdir(), 'review-'))
  #advisor
  #heartbeats = []
  #agent = new Agent({ keepAlive: true, maxSockets: 256 })
  #version = 0
  /** Of the instances: a loopback address of its own, so that deployments that run at the same time don't share ports. */
  #host = `127.${randomByte()}.${randomByte()}.${randomByte()}`
  #onRun = []

  /** `runners`: number; `queues`: name, prefix, priority, maxAttempts; `tenants`: name, key, weight, cpuCap; `labels(n)`. */
  constructor (options) {
    this.#options = options
  }

  get nowMs () {
    return Date.now() - this.#beganMs
  }

  record (line) {
    this.#lines.push(`${(this.nowMs / 1_000).toFixed(3).padStart(8)} ${line}`)
  }

  say (line) {
    this.record(line)
    console.log(line)
  }

  onRun (listener) {
    this.#onRun.push(listener)
  }

  async start () {
    await this.store.start()
    this.#advisor = createServer(async (request, response) => {
      const { workers = [] } = await readJson(request)
      answerJson(response, 200, { allowed: workers.map(id => [id, id]) })
    })
    const advisorAddress = await listen(this.#advisor)
    this.configure(this.#options.tenants)
    for (let number = 1; number <= this.#options.runners; number++) await this.#addRunner(number)
    for (let number = 1; number <= (this.#options.instances ?? 3); number++) await this.#addInstance(number, advisorAddress)
    await this.#awaitReady()
  }

  /** Writes a new version of the desired state, as the operator does. */
  configure (tenants) {
    this.#version += 1
    this.store.put('op/config', {
      version: this.#version,
      routes: this.#options.queues.map(({ name, prefix, priority = 1, maxAttempts = 3 }) => ({
        name, host: HOST, prefix, service: SERVICE, priority, max_attempts: maxAttempts, stretch_factor: 2, target_latency_ms: 1_000, timeout_ms: 3_000
      })),
      services: [{ name: SERVICE, admission_control: false }],
      limits: { max_body_bytes: 262_144 },
      tenants: tenants.map(({ name, key, weight = 100, cpuCap = 0 }) => ({ name, api_keys: [key], weight, cap: { cpu: cpuCap, mem_mb: 0, gpu: 0 } }))
    })
    this.record(`operator: desired state ${this.#version}: ${JSON.stringify(tenants)}`)
    return this.#version
  }

  async #addRunner (number) {
    const id = `i-${String(number).padStart(4, '0')}`
    const labels = this.#options.labels?.(number) ?? [number % 2 === 0 ? 'a' : 'b', `r-${Math.floor((number - 1) / RACK_SIZE)}`]
    const runner = new Runner({ id, labels, onEvent: event => this.#handleRun(event) })
    await runner.start()
    this.runners.push(runner)
    let sequence = 0
    const zone = ZONES[number % ZONES.length]
    const register = () => {
      if (!runner.up || this.store.down) return
      sequence += 1
      this.store.put(`servers/${id}`, {
        service: SERVICE,
        address: runner.address,
        zone,
        version: '1',
        slots: 8,
        state: runner.draining ? 'draining' : 'ready',
        cold_left_ms: 0,
        sequence,
        born: runner.born,
        capacity: { cpu: 64_000, mem_mb: 262_144, gpu: 0 },
        labels
      })
    }
    runner.register = register
    register()
    this.#heartbeats.push(setInterval(register, BOUNDS.heartbeatMs))
  }

  #handleRun (event) {
    const { type, runner, task, attempt, how = '' } = event
    this.record(`runner ${runner}: ${type} ${task} run ${attempt} ${how}`)
    for (const listener of this.#onRun) listener({ ...event, atMs: this.nowMs })
  }

  /** The runner crashes, and is back with nothing after `downMs`; its entry goes after three check-ins of silence. */
  crash (runner, downMs) {
    this.record(`runner ${runner.id}: crash, with ${runner.running.map(({ key }) => key).join(' ') || 'nothing'}`)
    runner.crash()
    const silence = setTimeout(() => { if (!runner.up) this.store.remove(`servers/${runner.id}`) }, BOUNDS.heartbeatMs * 3)
    setTimeout(() => {
      clearTimeout(silence)
      runner.restart().then(() => {
        this.record(`runner ${runner.id}: up again, born ${runner.born}`)
        runner.register()
      }, error => this.record(`runner ${runner.id}: could not restart: ${error}`))
    }, downMs)
  }

  /** The runner drains for `drainMs`, then leaves for good, and its entry with it. */
  async leave (runner, drainMs) {
    this.record(`runner ${runner.id}: draining`)
    runner.draining = true
    runner.register()
    await sleep(drainMs)
    this.record(`runner ${runner.id}: leaves, with ${runner.running.map(({ key }) => key).join(' ') || 'nothing'}`)
    runner.crash()
    this.store.remove(`servers/${runner.id}`)
  }

  async #addInstance (number, advisorAddress) {
    const base = await findFreePorts(this.#host, PORTS_PER_INSTANCE)
    const name = `edge-${ZONES[(number - 1) % ZONES.length]}-${number}`
    const frontend = `${this.#host}:${base}`
    const ready = `${this.#host}:${base + 1}`
    const path = join(this.#folder, `${name}.toml`)
    writeFileSync(path, settingsText({ name, host: this.#host, zone: ZONES[(number - 1) % ZONES.length], base, frontend, ready, store: this.store.address, advisor: advisorAddress }))
    const instance = { name, frontend, ready, path, log: join(this.#folder, `${name}.log`), process: undefined }
    this.instances.push(instance)
    this.#spawn(instance)
  }

  #spawn (instance) {
    const log = openSync(instance.log, 'a')
    const { PATH, HOME, LANG } = process.env
    instance.process = spawn(PROGRAM, ['serve', '--platform'], { cwd: ROOT, env: { PATH, HOME, LANG, AGATEGAUGE_CONFIG: instance.path }, stdio: ['ignore', log, log] })
    instance.process.on('error', error => this.record(`${instance.name}: ${error}`))
    instance.process.on('exit', (code, signal) => this.record(`${instance.name}: exit ${code ?? signal}`))
    if (process.env.PIDS_FILE !== undefined) appendFileSync(process.env.PIDS_FILE, `${instance.process.pid}\n`)
    this.record(`${instance.name}: started`)
  }

  /** SIGKILL; the platform restarts the process after `downMs`. */
  kill (instance, downMs) {
    if (instance.process === undefined) return
    this.record(`${instance.name}: SIGKILL`)
    instance.process.kill('SIGKILL')
    instance.process = undefined
    setTimeout(() => this.#spawn(instance), downMs)
  }

  /** The instance that last wrote to the store under a condition. */
  get leader () {
    const name = this.store.read('agategauge/coordinator')?.instance
    return this.instances.find(instance => instance.name === name)
  }

  async #awaitReady () {
    const untilMs = Date.now() + 20_000
    for (const { ready, name } of this.instances) {
      for (;;) {
        const { status } = await call({ address: ready, method: 'GET', path: '/-/readyz', timeoutMs: 500 })
        if (status === 200) break
        if (Date.now() > untilMs) throw new CannotRun(`${name} is not ready`)
        await sleep(100)
      }
    }
    await sleep(1_500)
    this.record('all instances are ready')
  }

  /** One call of a client at one instance. */
  async call (instance, method, path, { key, body, deadlineMs = 3_000 }) {
    const headers = { host: HOST, 'x-api-key': key, 'x-agategauge-deadline-ms': String(deadlineMs) }
    const answer = await call({ address: instance.frontend, method, path, headers, body, timeoutMs: deadlineMs, agent: this.#agent })
    this.record(`client at ${instance.name}: ${method} ${path} -> ${answer.status === 0 ? 'no answer' : answer.status} ${answer.status === 200 ? JSON.stringify(answer.body) : ''}`)
    return answer
  }

  /** Submits until an answer settles it, at another instance each time; returns whether it was accepted. */
  async submit (path, { key, body, retries = 4 }) {
    const first = Math.floor(Math.random() * this.instances.length)
    for (let attempt = 0; attempt <= retries; attempt++) {
      const { status } = await this.call(this.instances[(first + attempt) % this.instances.length], 'POST', path, { key, body })
      if (status === 200) return true
      await sleep(status === 429 || status === 503 ? 1_000 : 100)
    }
    return false
  }

  /** Ends all processes, and writes the record. */
  stop (file) {
    for (const timer of this.#heartbeats) clearInterval(timer)
    for (const { process: child } of this.instances) {
      child?.removeAllListeners('exit')
      child?.kill('SIGKILL')
    }
    for (const runner of this.runners) if (runner.up) runner.stop()
    this.#advisor?.closeAllConnections()
    this.#advisor?.close()
    this.store.stop()
    this.#agent.destroy()
    writeFileSync(file, `${this.#lines.join('\n')}\n`)
    if (process.env.KEEP_LOGS === '1') console.log(`logs in ${this.#folder}`)
    else rmSync(this.#folder, { recursive: true, force: true })
  }
}

/** Exit codes of a case, which run.sh translates: a program that fails for another reason must not look like a broken rule. */
const HELD = 0
const BROKEN = 10
const CANNOT_RUN = 2
const LONGEST_RUN_MS = 115_000

/** Runs a case: `play` gets the deployment and whether there is trouble, and returns the reasons why the rule was broken. */
export async function runCase ({ folder, options, play }) {
  const trouble = process.env.TROUBLE !== '0'
  const deployment = new Deployment(options)
  const end = code => {
    deployment.stop(join(folder, 'record.txt'))
    process.exit(code)
  }
  const fail = reason => {
    deployment.say(`CANNOT RUN: ${reason}`)
    end(CANNOT_RUN)
  }
  // The shell that started this has gone.
  const parent = process.ppid
  setInterval(() => { if (process.ppid !== parent) fail('the parent has ended') }, 200)
  setTimeout(() => fail(`longer than ${LONGEST_RUN_MS} ms`), LONGEST_RUN_MS)
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => fail(signal))
  for (const event of ['uncaughtException', 'unhandledRejection']) process.on(event, error => fail(error?.stack ?? String(error)))
  try {
    await deployment.start()
    const broken = await play(deployment, trouble)
    for (const reason of broken) deployment.say(`BROKEN: ${reason}`)
    if (broken.length === 0) deployment.say('HELD')
    end(broken.length === 0 ? HELD : BROKEN)
  } catch (error) {
    fail(error instanceof CannotRun ? error.message : error.stack)
  }
}

/** The body of a submission with one step, whose tasks work for `ms`; `cpu` is in thousandths of a core. */
export function submission ({ ms, count = 1, cpu, memory = 1_000, label = '', perRunner = 0, lasting = false, text = '' }) {
  return {
    spec: JSON.stringify({ ms, ...(text === '' ? {} : { text }) }),
    phases: [{
      count,
      cpu,
      mem_mb: memory,
      estimate_ms: ms,
      ...(label === '' ? {} : { constraints: label }),
      ...(perRunner === 0 ? {} : { anti_affinity: perRunner }),
      ...(lasting ? { long_running: true } : {})
    }]
  }
}

let nextId = Math.floor(Math.random() * 0xffff_ffff)
const PREFIX = Math.floor(Math.random() * 0xffff_ffff).toString(16).padStart(8, '0')

/** A submission's ID: 16 hexadecimal digits. */
export function newId () {
  nextId = (nextId + 1) % 0xffff_ffff
  return PREFIX + nextId.toString(16).padStart(8, '0')
}

function randomByte () {
  return 1 + Math.floor(Math.random() * 250)
}

async function findFreePorts (host, count) {
  for (let attempt = 0; attempt < 100; attempt++) {
    const base = 20_000 + Math.floor(Math.random() * 500) * count
    const free = await Promise.all(Array.from({ length: count }, (_, offset) => isFree(host, base + offset)))
    if (free.every(Boolean)) return base
  }
  throw new CannotRun('no free ports')
}

async function isFree (host, port) {
  const server = createTcpServer()
  return await new Promise(resolve => {
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** The settings file of DEPLOY.md, with the figures of the small site. */
function settingsText ({ name, host, zone, base, frontend, ready, store, advisor }) {
  return `node_name = "${name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "${host}"
zone = "${zone}"
region = "${zone.split('-')[0]}"
internal_ports = [${base + 2}, ${base + 17}]
bootstrap = true
discovery = "platform"
heartbeat_ms = 1500
control_mode = "invocation"
recommendation = "${advisor}"
[zones]
attica-a = "attica"
attica-b = "attica"
macedonia-a = "macedonia"
[listen_addrs]
frontend = "${frontend}"
ready = "${ready}"
[limits]
cpu_quota = 0.675
cpu_cores = 1
memory_mb = 350
max_fds = 4200
bandwidth_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 4000
ack_ms = 5000
drain_ms = 2500
grace_s = 6
config_apply_ms = 2500
hold_max_ms = 10000
kill_grace_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
[platform]
address = "${store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`
}
