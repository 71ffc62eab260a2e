/** A cluster of instances in this process, on the stand-ins of the platform, for tests. */
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { listenOn } from '../../adapters/network.ts'
import { chooseHost } from '../../../test/processes/topology.ts'
import { STAND_IN_HOST, STAND_IN_KEY, StandInPlatform } from '../standIn/standInPlatform.ts'
import type { StandInPlatformOptions } from '../standIn/standInPlatform.ts'
import { startOnPlatform } from '../startOnPlatform.ts'
import type { PlatformInstance } from '../startOnPlatform.ts'
import { TARGET_PREFIX } from '../targetEntry.ts'

const PORTS_PER_INSTANCE = 10
/** The ports for callers, readiness, peers and metrics. */
const USED_PORTS_PER_INSTANCE = 4
const WAIT_TIMEOUT_MS = 25_000
/** Host address that only this process uses, so that its ports are not taken by other listeners or connections. */
const HOST = chooseHost()
let nextPort = 23_000

interface Answer {
  readonly status: number
  readonly body: { readonly state?: string, readonly pending?: number }
}

export class Cluster {
  readonly platform: StandInPlatform
  readonly ports: readonly number[]
  readonly #settingsFiles: string[] = []
  readonly instances: PlatformInstance[] = []
  /** Numbers of the instances whose calls the store refuses. */
  readonly withoutStore = new Set<number>()

  private constructor (platform: StandInPlatform, count: number) {
    this.platform = platform
    this.ports = Array.from({ length: count }, () => (nextPort += PORTS_PER_INSTANCE))
  }

  static async start (count: number, options: Partial<StandInPlatformOptions> = {}): Promise<Cluster> {
    const platform = await StandInPlatform.start({ workers: 3, queues: [{ name: 'checks', prefix: '/checks/' }], ...options })
    const cluster = new Cluster(platform, count)
    for (const number of cluster.ports.keys()) await cluster.startInstance(number)
    await cluster.waitUntil('every instance is ready', async () => (await Promise.all(cluster.ports.map(async port => await cluster.#isReady(port)))).every(Boolean))
    return cluster
  }

  async startInstance (number: number): Promise<void> {
    const file = join(mkdtempSync(join(tmpdir(), 'jobs-')), 'local.toml')
    this.#settingsFiles[number] = file
    const storeAddress = await this.platform.openStoreEndpoint(() => this.withoutStore.has(number) ? 'refusing' : 'none')
    writeFileSync(file, this.platform.settingsFor(`entry-${number}`, this.#port(number), storeAddress, HOST))
    await this.waitUntil(`the ports of instance ${number} are free`, async () => await this.#hasFreePorts(number))
    this.instances[number] = await startOnPlatform(file, process.env['LEVEL'] === undefined ? 'silent' : 'info')
  }

  /** Moves the instance to another store address; the store refuses calls at the previous one. */
  async moveStore (number: number): Promise<void> {
    const file = this.#settingsFiles[number] as string
    const storeAddress = await this.platform.openStoreEndpoint(() => 'none')
    writeFileSync(file, this.platform.settingsFor(`entry-${number}`, this.#port(number), storeAddress, HOST))
    this.instances[number]?.reload('test')
    this.withoutStore.add(number)
  }

  async call (number: number, method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown, key = STAND_IN_KEY): Promise<Answer> {
    const answer = await request(`http://${HOST}:${this.#port(number)}${path}`, {
      method,
      headers: { host: STAND_IN_HOST, 'x-api-key': key, 'content-type': 'application/json' },
      ...(body === undefined ? {} : { body: JSON.stringify(body) })
    })
    return { status: answer.statusCode, body: await answer.body.json() as Answer['body'] }
  }

  /** Repeats a call until it is served, as callers would: there may be no coordinator for a moment, so 503 and 504 settle nothing. */
  async callUntilServed (number: number, method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown, key = STAND_IN_KEY): Promise<Answer> {
    let answer = await this.call(number, method, path, body, key)
    const untilMs = Date.now() + WAIT_TIMEOUT_MS
    while ((answer.status === 503 || answer.status === 504) && Date.now() < untilMs) {
      await delay(200)
      answer = await this.call(number, method, path, body, key)
    }
    return answer
  }

  async waitUntil (description: string, condition: () => Promise<boolean> | boolean): Promise<void> {
    const untilMs = Date.now() + WAIT_TIMEOUT_MS
    while (!await condition()) {
      if (Date.now() > untilMs) throw new Error(`timed out waiting until ${description}`)
      await delay(30)
    }
  }

  async waitForState (number: number, path: string, state: string): Promise<void> {
    await this.waitUntil(`${path} is ${state}`, async () => (await this.call(number, 'GET', path)).body.state === state)
  }

  startedTasks (job: string): readonly string[] {
    return this.platform.events.filter(event => event.type === 'started' && event.task.startsWith(job)).map(event => event.task)
  }

  /** Returns the number of the instance that is coordinator, or -1 if there is none. */
  coordinator (): number {
    const text = this.platform.store.read('agategauge/coordinator')[0]?.[1]
    return text === undefined ? -1 : Number((JSON.parse(text) as { instance: string }).instance.split('-')[1])
  }

  /**
   * Waits until an instance is coordinator and returns its number. Instances that were ready may be without a coordinator
   * since: on a busy machine an election ends when its renewal is late.
   */
  async awaitCoordinator (): Promise<number> {
    await this.waitUntil('an instance coordinates', () => this.coordinator() >= 0)
    return this.coordinator()
  }

  /** Waits until the coordinator has applied the present entries of the targets: it has, once its second listing from now on begins. */
  async awaitTargetListing (): Promise<void> {
    const count = (): number => this.platform.store.rangeReads.get(TARGET_PREFIX) ?? 0
    const before = count()
    await this.waitUntil('the coordinator has listed the targets', () => count() >= before + 2)
  }

  async stop (): Promise<void> {
    await Promise.all(this.instances.map(async instance => await instance.stop()))
    await this.platform.stop()
  }

  async #isReady (port: number): Promise<boolean> {
    const answer = await request(`http://${HOST}:${port + 1}/-/readyz`).catch(() => undefined)
    await answer?.body.dump()
    return answer?.statusCode === 200
  }

  /** False while listeners of the previous process of an instance remain: a stop that has used up its time does not wait for them. */
  async #hasFreePorts (number: number): Promise<boolean> {
    const listeners = Array.from({ length: USED_PORTS_PER_INSTANCE }, (_, offset) => canListen(this.#port(number) + offset))
    return (await Promise.all(listeners)).every(Boolean)
  }

  #port (number: number): number {
    const port = this.ports[number]
    if (port === undefined) throw new Error(`the cluster has no instance ${number}`)
    return port
  }
}

async function canListen (port: number): Promise<boolean> {
  const server = createServer()
  const listens = await listenOn(server, `${HOST}:${port}`).then(() => true, () => false)
  if (listens) await new Promise(resolve => server.close(resolve))
  return listens
}
