/* eslint camelcase: ["error", { properties: "never" }] */
// Starts a small deployment as separate processes: the store, runners, and instances of target/agategauge. Used by the scripts.
import { spawn } from 'node:child_process'
import { appendFileSync, createWriteStream, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { request as httpRequest } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

const LIBRARY = dirname(fileURLToPath(import.meta.url))
const ROOT = dirname(dirname(LIBRARY))
const KILL_AFTER_MS = 110_000
export const HOST = 'orders.example'
export const TROUBLE = process.env.TROUBLE !== '0'

/** Bounds and queues as on the users' small deployments. */
const ROUTES = [
  { name: 'batch-plan', host: HOST, prefix: '/plan/', service: 'order-desk', priority: 1, max_attempts: 2, stretch_factor: 2.2, target_latency_ms: 1_200, timeout_ms: 3_000 },
  { name: 'restock-list', host: HOST, prefix: '/restock/', service: 'order-desk', priority: 2, max_attempts: 4, stretch_factor: 4, target_latency_ms: 3_000, timeout_ms: 3_000 },
  { name: 'stock-check', host: HOST, prefix: '/check/', service: 'order-desk', priority: 0, max_attempts: 3, stretch_factor: 1.5, target_latency_ms: 500, timeout_ms: 3_000 }
]

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** A case could not run: the exit code is 2. */
export class CannotRunError extends Error {}

/** Free ports below those that the system gives to outgoing connections, which would take them again. */
async function freePorts (count) {
  const ports = []
  for (let port = 20_000 + Math.floor(Math.random() * 10_000); ports.length < count && port < 32_000; port++) {
    const server = createServer()
    const isFree = await new Promise(resolve => server.once('error', () => resolve(false)).listen(port, '127.0.0.1', () => resolve(true)))
    if (!isFree) continue
    await new Promise(resolve => server.close(resolve))
    ports.push(port)
  }
  if (ports.length < count) throw new CannotRunError('not enough free ports')
  return ports
}

/** Sends one HTTP call; resolves with the status 0 if there is no answer. */
export function call ({ address, method, path, body, headers = {}, timeoutMs = 3_000, signal }) {
  const [host, port] = address.split(':')
  const text = body === undefined ? '' : JSON.stringify(body)
  return new Promise(resolve => {
    const outgoing = httpRequest({ host, port, method, path, signal, agent: false, headers: { ...headers, ...(text === '' ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }) } }, answer => {
      const chunks = []
      answer.on('data', chunk => chunks.push(chunk))
      answer.on('end', () => resolve({ status: answer.statusCode, text: Buffer.concat(chunks).toString() }))
      answer.on('error', () => resolve({ status: 0, text: '' }))
    })
    outgoing.setTimeout(timeoutMs, () => outgoing.destroy())
    outgoing.on('error', () => resolve({ status: 0, text: '' }))
    outgoing.end(text)
  })
}

export class Deployment {
  folder = mkdtempSync(join(tmpdir(), 'agategauge-review-'))
  instances = []
  runners = new Map()
  elections = 0
  /** What runners began and ended. */
  events = []
  #children = new Set()
  #record
  #logs
  #store = ''
  #closing = false
  #version = 0

  constructor (caseFolder) {
    this.#record = createWriteStream(join(caseFolder, 'record.txt'))
    this.#logs = createWriteStream(join(this.folder, 'instances.log'))
    this.startedAt = Date.now()
    setTimeout(() => {
      this.note('the script took too long')
      this.#killAll()
      process.exit(2)
    }, KILL_AFTER_MS).unref()
  }

  note (text) {
    const line = `${((Date.now() - this.startedAt) / 1_000).toFixed(3).padStart(8)} ${text}`
    this.#record.write(`${line}\n`)
    if (process.env.VERBOSE === '1') console.log(line)
  }

  #spawn (name, command, args, env, onLine) {
    const child = spawn(command, args, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME ?? '/', LANG: 'C', ...env }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#children.add(child)
    // Read by run.sh if this process is killed.
    if (process.env.PIDS !== undefined) appendFileSync(process.env.PIDS, `${child.pid}\n`)
    const gone = new Promise(resolve => child.once('exit', (code, signal) => {
      this.#children.delete(child)
      if (!this.#closing) this.note(`process ${name} ended: ${signal ?? code}`)
      resolve()
    }))
    createInterface({ input: child.stdout }).on('line', onLine)
    createInterface({ input: child.stderr }).on('line', line => this.#logs.write(`${name} ${line}\n`))
    return { name, child, gone }
  }

  async start ({ instances, runners, tenants, routes = ROUTES }) {
    let ready
    const listening = new Promise(resolve => { ready = resolve })
    this.#spawn('store', process.execPath, [join(LIBRARY, 'store.mjs')], {}, line => ready(JSON.parse(line).address))
    this.#store = await listening
    await this.configure({ routes, tenants })
    const ports = await freePorts(runners.length + instances * 5)
    for (const runner of runners) await this.startRunner({ zone: 'howrah', cpu: 32_000, labels: ['a', 'r0'], port: ports.shift(), ...runner })
    for (let number = 1; number <= instances; number++) await this.#startInstance(number, ports.splice(0, 5))
    const untilMs = Date.now() + 20_000
    while (Date.now() < untilMs) {
      const probes = await Promise.all(this.instances.map(instance => call({ address: instance.ready, method: 'GET', path: '/-/readyz' })))
      if (probes.every(({ status }) => status === 200)) {
        // The target list has been read, and all runners have answered.
        await sleep(2_000)
        return this.note('all instances are ready')
      }
      await sleep(100)
    }
    throw new CannotRunError(`instances are not ready: ${this.instances.map(({ name, child }) => `${name} ${child.exitCode ?? 'runs'}`)}`)
  }

  async configure ({ routes = ROUTES, tenants }) {
    this.#version += 1
    const value = { version: this.#version, routes, services: [{ name: 'order-desk', admission_control: false }], limits: { max_body_bytes: 262_144 }, tenants }
    await this.#put('op/config', value)
    this.note(`desired state ${this.#version} is confirmed`)
  }

  async #put (key, value) {
    const { status } = await call({ address: this.#store, method: 'POST', path: '/control/put', body: { key, value } })
    if (status !== 200) throw new CannotRunError('the store can not be written')
  }

  /** Name of the runner with the id. */
  nameOf (id) {
    return [...this.runners.values()].find(runner => runner.id === id).name
  }

  /** Starts a life of a runner on a port; a new life has another id. */
  async startRunner (options) {
    const runner = { life: 1, ...options }
    const id = `i-${runner.name}-${runner.life}`
    const argument = JSON.stringify({ id, port: runner.port, store: this.#store, service: 'order-desk', zone: runner.zone, labels: runner.labels, cpu: runner.cpu })
    let up
    const isUp = new Promise(resolve => { up = resolve })
    const process_ = this.#spawn(id, process.execPath, [join(LIBRARY, 'runner.mjs'), argument], {}, line => {
      const event = JSON.parse(line)
      this.events.push(event)
      this.note(`runner ${id}: ${event.event}${event.task === undefined ? '' : ` ${event.task} run ${event.run}`}${event.how === undefined ? '' : ` ${event.how}`}`)
      if (event.event === 'up') up()
    })
    this.runners.set(runner.name, { ...runner, id, child: process_.child, gone: process_.gone })
    await isUp
  }

  async setRunnerMode (name, mode) {
    this.note(`runner ${this.runners.get(name).id} is now ${mode}`)
    await call({ address: `127.0.0.1:${this.runners.get(name).port}`, method: 'POST', path: '/control', body: { mode } })
  }

  /** Empties a runner and takes it away: it drains, and some seconds later it has left. */
  async removeRunner (name, drainMs) {
    const runner = this.runners.get(name)
    await this.setRunnerMode(name, 'drain')
    await sleep(drainMs)
    this.note(`runner ${runner.id} leaves`)
    runner.child.kill('SIGKILL')
    await runner.gone
    await this.#put(`servers/${runner.id}`, null)
  }

  /** Crashes a runner for good. */
  async loseRunner (name) {
    const runner = this.runners.get(name)
    this.note(`SIGKILL to runner ${runner.id}`)
    this.events.push({ at: Date.now(), runner: runner.id, event: 'crashed' })
    runner.child.kill('SIGKILL')
    await runner.gone
    return runner
  }

  /** Crashes a runner; a new life of it is up after `downMs`, of the same kind unless other labels are given. */
  async crashRunner (name, downMs, newLabels) {
    const runner = await this.loseRunner(name)
    await sleep(downMs)
    const { zone, cpu, labels, port, life } = runner
    await this.startRunner({ name, zone, cpu, labels: newLabels ?? labels, port, life: life + 1 })
  }

  async #startInstance (number, [frontend, ready, ...internal]) {
    const name = `edge-howrah-${number}`
    const path = join(this.folder, `${name}.toml`)
    writeFileSync(path, [
      `node_name = "${name}"`, 'role = "entry"', 'machine_class = "edge"', 'serves = ["edge"]', 'ip = "127.0.0.1"', 'zone = "howrah"', 'region = "kolkata"',
      `internal_ports = [${internal[0]}, ${internal[0] + 1}]`, 'seed_nodes = []', 'bootstrap = true', 'discovery = "platform"', 'entrypoint = "virtual_ip"',
      'heartbeat_ms = 1500', 'control_mode = "invocation"', '[zones]', 'howrah = "kolkata"',
      '[listen_addrs]', `frontend = "127.0.0.1:${frontend}"`, `ready = "127.0.0.1:${ready}"`,
      '[limits]', 'cpu_quota = 0.675', 'cpu_cores = 1', 'memory_mb = 350', 'max_fds = 4100', 'bandwidth_mbps = 1000.0', 'disk_mb = 0',
      '[bounds]', 'contact_ms = 4000', 'ack_ms = 5000', 'grace_s = 6', 'config_apply_ms = 2500', 'hold_max_ms = 10000', 'kill_grace_ms = 900', 'gang_timeout_ms = 3000',
      'cancel_ms = 3000', 'visible_ms = 3000', 'finish_s = 14', 'status_s = 120', 'remote_factor = 2', 'lease_ms = 3000',
      '[platform]', `address = "${this.#store}"`, 'form = "kv"', 'writes_per_s = 400', 'reads_per_s = 2000', 'history_s = 20', 'value_bytes = 1048576', 'ttl_min_ms = 1000'
    ].join('\n'))
    const instance = { name, path, frontend: `127.0.0.1:${frontend}`, ready: `127.0.0.1:${ready}` }
    this.instances.push(instance)
    this.#runInstance(instance)
  }

  #runInstance (instance) {
    Object.assign(instance, this.#spawn(instance.name, join(ROOT, 'target/agategauge'), ['serve', '--platform'], { AGATEGAUGE_CONFIG: instance.path }, line => {
      this.#logs.write(`${line}\n`)
      if (!line.includes('elected as coordinator')) return
      this.coordinator = instance
      this.elections += 1
    }))
  }

  /** Kills an instance; the platform starts it again after `downMs`. */
  async killInstance (instance, downMs) {
    this.note(`SIGKILL to ${instance.name}`)
    instance.child.kill('SIGKILL')
    await instance.gone
    sleep(downMs).then(() => {
      if (!this.#closing) this.#runInstance(instance)
    })
  }

  /** Stops an instance as planned; the platform starts it again when it has ended. */
  async restartInstance (instance) {
    this.note(`SIGTERM to ${instance.name}`)
    instance.child.kill('SIGTERM')
    await instance.gone
    if (!this.#closing) this.#runInstance(instance)
  }

  /** Sends a client's call to an instance, and records it with its answer. */
  async send (instance, { method, path, key, body, timeoutMs = 3_000, shown = body, signal }) {
    this.note(`client -> ${instance.name} ${method} ${path}${shown === undefined ? '' : ` ${typeof shown === 'string' ? shown : JSON.stringify(shown)}`}`)
    const answer = await call({ address: instance.frontend, method, path, body, timeoutMs, signal, headers: { host: HOST, 'x-api-key': key, 'x-agategauge-deadline-ms': String(timeoutMs) } })
    this.note(`client <- ${instance.name} ${method} ${path} ${answer.status === 0 ? 'no answer' : answer.status} ${answer.text.slice(0, 200)}`)
    return answer
  }

  /** Submits like a client that makes four retries, at other instances; returns whether the submission was accepted. */
  async submit (path, key, body, shown) {
    for (let attempt = 0; attempt < 5; attempt++) {
      const { status } = await this.send(this.instances[attempt % this.instances.length], { method: 'POST', path, key, body, shown })
      if (status >= 200 && status < 300) return true
      await sleep(1_000)
    }
    return false
  }

  #killAll () {
    this.#closing = true
    for (const child of this.#children) child.kill('SIGKILL')
  }

  async close () {
    this.#killAll()
    await sleep(200)
    await new Promise(resolve => this.#record.end(resolve))
    await new Promise(resolve => this.#logs.end(resolve))
    if (process.env.KEEP !== '1') rmSync(this.folder, { recursive: true, force: true })
    else console.log(this.folder)
  }
}

/** Runs a case: `play` returns what broke the rule, or undefined. */
export async function runCase (caseFolder, play) {
  const deployment = new Deployment(caseFolder)
  let code = 2
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
    process.on(signal, async () => {
      deployment.note(`the case could not run: ${signal}`)
      await deployment.close()
      process.exit(2)
    })
  }
  process.on('uncaughtException', async error => {
    deployment.note(`the case could not run: ${error.stack}`)
    await deployment.close()
    process.exit(2)
  })
  try {
    const broken = await play(deployment)
    deployment.note(broken === undefined ? 'the rule held' : `BROKEN: ${broken}`)
    code = broken === undefined ? 0 : 1
  } catch (error) {
    deployment.note(`the case could not run: ${error.stack}`)
  }
  await deployment.close()
  process.exit(code)
}
