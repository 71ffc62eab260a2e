/** Stand-ins for all platform services that an instance uses, in one process. */
import { setTimeout as delay } from 'node:timers/promises'
import murmurhash from 'murmurhash'
import { JsonServer } from '../../adapters/http/jsonServer.ts'
import { SeededRandom } from '../../adapters/random/seededRandom.ts'
import { IncarnationClocks } from './incarnationClocks.ts'
import { StandInStore } from './standInStore.ts'
import type { StoreFault } from './standInStore.ts'
import { StandInWorker, TICKET_VALIDITY_MS } from './standInWorker.ts'
import type { StandInWorkerOptions, WorkerEvent } from './standInWorker.ts'

export interface StandInQueue {
  readonly name: string
  readonly prefix: string
  readonly priority?: number
  readonly maximumAttempts?: number
  /** Response time of the placement advisor in milliseconds, for a queue that requires advice. */
  readonly adviceMs?: number
}

export interface StandInPlatformOptions {
  readonly workers: number
  readonly queues: readonly StandInQueue[]
  readonly teams?: readonly { readonly name: string, readonly key: string, readonly weight?: number, readonly cap?: number }[]
  readonly workMs?: StandInWorkerOptions['workMs']
  readonly endOf?: StandInWorkerOptions['endOf']
  readonly stopMs?: StandInWorkerOptions['stopMs']
  readonly crashesWorker?: StandInWorkerOptions['crashesWorker']
  /** Clock rate of each worker, by its number. */
  readonly clockRate?: (worker: number) => number
  readonly shortestLeaseMs?: number
  /** Returns the address at which instances reach a worker; defaults to the worker's own address. */
  readonly exposeWorker?: (id: string, address: string) => Promise<string>
  /** From which the clocks of the workers' incarnations are drawn. */
  readonly seed?: number
}

export const STAND_IN_HOST = 'jobs.example'
export const STAND_IN_KEY = 'key-of-weavers'
const SERVICE = 'renders'
/** How long a target is down after a task has crashed it. */
const CRASH_DOWNTIME_MS = 600
/** In the platform's format. */
const WORKER_CAPACITY = { cpu: 64_000, mem_mb: 262_144, gpu: 0 }

/** A change of a target's capacity, in millicores. */
export interface CapacityChange {
  readonly worker: string
  readonly atMs: number
  readonly processors: number
}

/** One of a job's consecutive steps; `processors` is in millicores. */
export interface StandInStep {
  readonly count: number
  readonly processors: number
  readonly estimateMs: number
  readonly gang?: boolean
  readonly lasting?: boolean
}

/** Encodes the request body with which a caller submits a job. */
export function encodeJob (spec: string, steps: readonly StandInStep[]): string {
  return JSON.stringify({
    spec,
    phases: steps.map(({ count, processors, estimateMs, gang = false, lasting = false }, position) =>
      ({ count, cpu: processors, mem_mb: 64, estimate_ms: estimateMs, ...(gang ? { gang } : {}), ...(lasting ? { long_running: true } : {}), ...(position === 0 ? {} : { after: [position - 1] }) }))
  })
}

/** Returns the headers of a call that is authenticated by a key. */
export function encodeHeaders (key: string): Readonly<Record<string, string>> {
  return { host: STAND_IN_HOST, 'x-api-key': key, 'content-type': 'application/json' }
}

/**
 * Starts the store, the targets and the placement advisor, each on its own port.
 *
 * @example
 * const platform = await StandInPlatform.start({ workers: 3, queues: [{ name: 'checks', prefix: '/checks/' }] })
 * const text = platform.settingsFor('entry-1', 7400)
 */
export class StandInPlatform {
  readonly store = new StandInStore()
  readonly events: WorkerEvent[] = []
  readonly capacityChanges: CapacityChange[] = []
  /** Acknowledged finished runs, as TASK#ATTEMPT. */
  readonly acknowledged = new Set<string>()
  readonly workers = new Map<string, StandInWorker>()
  readonly #servers: JsonServer[] = []
  readonly #options: StandInPlatformOptions
  #storeAddress = ''
  #advisorAddress = ''
  #desiredStateVersion = 0

  private constructor (options: StandInPlatformOptions) {
    this.#options = options
    this.store.shortestLeaseMs = options.shortestLeaseMs ?? 0
  }

  static async start (options: StandInPlatformOptions): Promise<StandInPlatform> {
    const platform = new StandInPlatform(options)
    platform.#storeAddress = await platform.#serve('store', platform.store.createRoutes())
    platform.#advisorAddress = await platform.#serve('advisor', [{
      method: 'POST', pattern: '/-/advise', handle: async ({ body }) => await platform.#advise(body as AdviceBody)
    }])
    platform.configure()
    for (let number = 1; number <= options.workers; number++) await platform.#addWorker(number)
    return platform
  }

  /** Writes a new version of the desired state; teams and queues default to those of the options. */
  configure (teams = this.#options.teams ?? [{ name: 'weavers', key: STAND_IN_KEY }], queues = this.#options.queues): void {
    this.#desiredStateVersion += 1
    this.store.put('op/config', {
      version: this.#desiredStateVersion,
      routes: queues.map(({ name, prefix, priority = 0, maximumAttempts = 3, adviceMs }) => ({
        name,
        host: STAND_IN_HOST,
        prefix,
        service: SERVICE,
        priority,
        max_attempts: maximumAttempts,
        stretch_factor: 2,
        target_latency_ms: 1_000,
        timeout_ms: 3_000,
        ...(adviceMs === undefined ? {} : { recommendation: { decision_ms: adviceMs, period_ms: 0.1, validity_ms: TICKET_VALIDITY_MS } })
      })),
      services: [{ name: SERVICE }],
      limits: { max_body_bytes: 262_144 },
      tenants: teams.map(({ name, key, weight = 100, cap = 0 }) => ({ name, api_keys: [key], weight, cap: { cpu: cap, mem_mb: 0, gpu: 0 } }))
    })
  }

  /** Returns the text of a settings file for an instance that listens on the port and the following ones. */
  settingsFor (instance: string, port: number, storeAddress = this.#storeAddress, host = '127.0.0.1'): string {
    return [
      `node_name = "${instance}"`,
      `ip = "${host}"`,
      'zone = "attica-a"',
      `internal_ports = [${port + 2}, ${port + 9}]`,
      `recommendation = "${this.#advisorAddress}"`,
      '[listen_addrs]',
      `frontend = "${host}:${port}"`,
      `ready = "${host}:${port + 1}"`,
      '[bounds]',
      'grace_s = 6',
      'hold_max_ms = 10000',
      'kill_grace_ms = 200',
      '[platform]',
      `address = "${storeAddress}"`
    ].join('\n')
  }

  /** Opens another endpoint of the store, whose faults do not affect the other endpoints. */
  async openStoreEndpoint (fault: () => StoreFault): Promise<string> {
    return await this.#serve('store endpoint', this.store.createRoutes(fault))
  }

  /** Marks a target as draining. */
  drain (id: string): void {
    this.#updateEntry(id, { state: 'draining' })
  }

  /** Changes the capacity of a target, in millicores, while it runs. */
  resize (id: string, processors: number): void {
    this.capacityChanges.push({ worker: id, atMs: Date.now(), processors })
    this.#updateEntry(id, { capacity: { ...WORKER_CAPACITY, cpu: processors } })
  }

  /** Crashes a worker and restarts it under the same id, at once or after a downtime in milliseconds. */
  crash (id: string, downMs = 0): void {
    const worker = this.workers.get(id)
    if (worker === undefined) return
    worker.crash()
    if (downMs === 0) return this.#updateEntry(id, { state: 'ready', born: worker.bornMs })
    worker.fault = 'refusing'
    setTimeout(() => {
      worker.fault = 'none'
      this.#updateEntry(id, { state: 'ready', born: worker.bornMs })
    }, downMs).unref()
  }

  /** Crashes a worker silently; its next incarnation executes the calls that arrive until it is up. Resolves when it is up. */
  async crashDark (id: string, darkMs: number): Promise<void> {
    const worker = this.workers.get(id)
    await worker?.crashDark(darkMs)
    this.#updateEntry(id, { state: 'ready', born: worker?.bornMs })
  }

  /** Overwrites fields of a target's entry, as the target would. */
  #updateEntry (id: string, fields: object): void {
    const entry = this.store.read(`servers/${id}`)[0]
    if (entry !== undefined) this.store.put(`servers/${id}`, { ...JSON.parse(entry[1]), ...fields })
  }

  /** Highest number of tasks that ran at the same time, on one target or on all. */
  mostRunning (id?: string): number {
    let running = 0
    return this.events.filter(({ worker }) => id === undefined || worker === id).reduce((most, { type }) => {
      running += type === 'started' ? 1 : -1
      return Math.max(most, running)
    }, 0)
  }

  async stop (): Promise<void> {
    this.store.close()
    for (const worker of this.workers.values()) worker.close()
    await Promise.all(this.#servers.map(async server => await server.stop()))
  }

  async #addWorker (number: number): Promise<void> {
    const id = `worker-${number}`
    const bornMs = Date.now()
    const { workMs = () => 50, endOf, stopMs, crashesWorker, clockRate = () => 1, exposeWorker = async (_id, address) => address, seed = 0 } = this.#options
    const clocks = new IncarnationClocks(new SeededRandom(murmurhash.v3(`${seed} clocks ${id}`)))
    const worker = new StandInWorker({ id, bornMs, clockRate: clockRate(number), initialClockMs: earlierMs => clocks.draw(earlierMs), workMs, endOf, stopMs, crashesWorker, onCrash: () => this.crash(id, CRASH_DOWNTIME_MS), onEvent: event => this.events.push(event), onAcknowledged: (task, attempt) => this.acknowledged.add(`${task}#${attempt}`) })
    this.workers.set(id, worker)
    const address = await exposeWorker(id, await this.#serve(id, worker.routes))
    this.store.put(`servers/${id}`, {
      service: SERVICE,
      address,
      zone: 'attica-a',
      state: 'ready',
      capacity: WORKER_CAPACITY,
      labels: ['a', `r-${number % 4}`],
      born: bornMs,
      sequence: 1
    })
  }

  async #serve (name: string, routes: ConstructorParameters<typeof JsonServer>[0]['routes']): Promise<string> {
    const server = new JsonServer({ name, listen: '127.0.0.1:0', routes })
    await server.start()
    this.#servers.push(server)
    return server.address
  }

  async #advise ({ workers }: AdviceBody): Promise<{ status: number, body: unknown }> {
    const adviceMs = Math.max(0, ...this.#options.queues.map(queue => queue.adviceMs ?? 0))
    await delay(adviceMs)
    return { status: 200, body: { allowed: workers.map(id => [id, this.workers.get(id)?.issueTicket() ?? '']), validity_ms: TICKET_VALIDITY_MS } }
  }
}

interface AdviceBody {
  readonly workers: readonly string[]
}
