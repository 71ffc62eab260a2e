/** A cluster of separate processes on loopback addresses: the platform's stand-ins and the entry instances. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import { HttpStore } from '../../src/adapters/store/httpStore.ts'
import type { TargetInfo } from '../../src/model/target.ts'
import type { TaskHistory } from '../../src/adapters/target/standInTask.ts'
import type { StatusReport } from '../../src/observability/operatorApi.ts'
import { ManagedProcess, runToCompletion } from './childProcess.ts'
import type { CommandResult } from './childProcess.ts'
import { TcpForwarder } from './tcpForwarder.ts'
import { createTargets, assignAddresses, createInstances } from './topology.ts'
import type { DataCentreLayout, InstanceAddresses, InstanceInfo } from './topology.ts'
import { waitUntil } from './waitUntil.ts'

export const OPERATOR_TOKEN = 'cluster-operator-token'
const PEER_SECRET = 'cluster-peer-secret'

export interface ClusterOptions {
  readonly layout: readonly DataCentreLayout[]
  /** Loopback host used in every address. */
  readonly host: string
  /** The program with its leading arguments, such as `['dist/agategauge']`. */
  readonly program: readonly string[]
  /** Returns the addresses of an instance. By default they are ports of `host`, which no other process may use then. */
  readonly addressOf?: (place: InstanceInfo, index: number) => InstanceAddresses
  readonly stopTimeout?: string
  /** Starts each process in its own process group, so that Ctrl-C in the terminal does not reach it. */
  readonly ownGroups?: boolean
}

/** One entry instance. A restart keeps the identity and addresses and replaces the process. */
export interface ClusterInstance extends InstanceInfo {
  readonly addresses: InstanceAddresses
  process: ManagedProcess
}

/** Records of a stand-in target. */
export interface TargetRecords {
  readonly epoch: number
  readonly target: string
  readonly capacity: Readonly<Record<string, number>>
  readonly highestReserved: Readonly<Record<string, number>>
  readonly history: readonly TaskHistory[]
}

interface PlatformLinks {
  readonly store: TcpForwarder
  readonly list: TcpForwarder
}

export class Cluster {
  readonly instances: ClusterInstance[] = []
  readonly #options: ClusterOptions
  readonly #directory: string
  readonly #links = new Map<string, PlatformLinks>()
  readonly #standIns: ManagedProcess[] = []
  readonly #unlistedInstances = new Set<string>()
  #targets: readonly TargetInfo[] = []
  #store!: ManagedProcess
  #listAddress = ''
  #storeAddress = ''
  #controlAddress = ''

  private constructor (options: ClusterOptions, directory: string) {
    this.#options = options
    this.#directory = directory
  }

  /**
   * Starts every process and waits until each instance is serving and every target has an owner.
   *
   * @example
   * const cluster = await Cluster.start({ layout: SEVEN_INSTANCES, host: '127.0.0.1', program: ['dist/agategauge'] })
   */
  static async start (options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options, await mkdtemp(join(tmpdir(), 'agategauge-')))
    try {
      cluster.#assignAddresses()
      await cluster.#startPlatform()
      for (const instance of cluster.instances) await cluster.#startInstance(instance)
      await cluster.awaitAllTargetsOwned()
    } catch (error) {
      await cluster.stop()
      throw error
    }
    return cluster
  }

  get targets (): readonly TargetInfo[] {
    return this.#targets
  }

  get store (): ManagedProcess {
    return this.#store
  }

  /** Address of the control interface of the stand-in targets, which returns their records and sets their states. */
  get controlAddress (): string {
    return this.#controlAddress
  }

  instance (name: string): ClusterInstance {
    const found = this.instances.find(instance => instance.name === name)
    if (found === undefined) throw new Error(`there is no instance ${name}`)
    return found
  }

  links (dataCentre: string): PlatformLinks {
    const links = this.#links.get(dataCentre)
    if (links === undefined) throw new Error(`there is no data centre ${dataCentre}`)
    return links
  }

  /** Runs a command-line command against one instance. */
  async runCommand (instance: ClusterInstance, ...args: readonly string[]): Promise<CommandResult> {
    const environment = { AGATEGAUGE_OPERATOR: instance.addresses.operator, AGATEGAUGE_TOKEN: OPERATOR_TOKEN }
    return await runToCompletion([...this.#options.program, ...args], environment)
  }

  async readStatus (instance: ClusterInstance): Promise<StatusReport> {
    return await callJson(instance.addresses.operator, 'GET', '/v1/status', undefined, OPERATOR_TOKEN) as StatusReport
  }

  async readRecords (): Promise<readonly TargetRecords[]> {
    return await callJson(this.#controlAddress, 'GET', '/v1/targets') as readonly TargetRecords[]
  }

  /** Returns the value that the store holds for the key. */
  async readStoreValue (key: string): Promise<string> {
    const store = new HttpStore({ address: this.#storeAddress })
    try {
      const entry = await store.get(key)
      if (entry === undefined) throw new Error(`the store has no entry ${key}`)
      return entry.value
    } finally {
      await store.stop()
    }
  }

  /** Waits until each target, or each of the data centre given, is in use by a running instance. */
  async awaitAllTargetsOwned (dataCentre?: string): Promise<void> {
    const wanted = this.#targets.filter(target => dataCentre === undefined || target.dataCentre === dataCentre).map(({ id }) => id)
    const running = this.instances.filter(({ process }) => !process.hasEnded)
    await waitUntil('every target is in use', async () => {
      const reports = await Promise.all(running.map(instance => this.readStatus(instance)))
      const used = new Set(reports.flatMap(report => report.targets.filter(({ state }) => state === 'in-use').map(({ id }) => id)))
      return wanted.every(id => used.has(id))
    })
  }

  /** Starts a new process for the instance once the old one has exited. */
  async restart (instance: ClusterInstance): Promise<void> {
    await instance.process.ended
    await this.setListed(instance, true)
    await this.#startInstance(instance)
  }

  /** Adds the instance to the platform's list or removes it. */
  async setListed (instance: InstanceInfo, listed: boolean): Promise<void> {
    if (listed) this.#unlistedInstances.delete(instance.name)
    else this.#unlistedInstances.add(instance.name)
    await callJson(this.#listAddress, 'PUT', '/v1/list', this.#createInstanceList())
  }

  /** Kills every process and removes the temporary files. */
  async stop (): Promise<void> {
    await Promise.all(this.instances.map(async ({ process }) => await process?.kill()))
    for (const links of this.#links.values()) await Promise.all([links.store.stop(), links.list.stop()])
    await Promise.all(this.#standIns.map(async process => await process.kill()))
    await rm(this.#directory, { recursive: true, force: true })
  }

  /** Stops every instance gracefully, then kills the stand-ins. */
  async stopGracefully (): Promise<void> {
    await Promise.all(this.instances.map(async ({ process }) => await process.stop()))
    await this.stop()
  }

  #assignAddresses (): void {
    const { layout, host, addressOf } = this.#options
    const places = createInstances(layout)
    const free = addressOf === undefined ? assignAddresses(host, places.length * 3) : []
    for (const [index, place] of places.entries()) {
      const [caller = '', operator = '', peer = ''] = free.slice(index * 3, index * 3 + 3)
      const addresses = addressOf?.(place, index) ?? { caller, operator, peer }
      this.instances.push({ ...place, addresses, process: undefined as unknown as ManagedProcess })
    }
  }

  async #startPlatform (): Promise<void> {
    const { layout, host } = this.#options
    const listen = ['--listen', `${host}:0`]
    const targets = createTargets(layout, host)
    const started = await this.#startStandIn('targets', ...listen, '--file', await this.#writeFile('targets.json', JSON.stringify(targets)))
    this.#controlAddress = started.listening
    this.#targets = targets.map(target => ({ ...target, address: started.targets?.[target.id] ?? '' }))
    const listFile = await this.#writeFile('list.json', JSON.stringify(this.#createInstanceList()))
    this.#listAddress = (await this.#startStandIn('list', ...listen, '--instances', listFile)).listening
    this.#storeAddress = (await this.#startStandIn('store', ...listen)).listening
    this.#store = this.#standIns.at(-1)!
    for (const { name } of layout) {
      const links = { store: new TcpForwarder(this.#storeAddress), list: new TcpForwarder(this.#listAddress) }
      await Promise.all([links.store.start(host), links.list.start(host)])
      this.#links.set(name, links)
    }
  }

  async #startStandIn (part: string, ...args: readonly string[]): Promise<{ readonly listening: string, readonly targets?: Readonly<Record<string, string>> }> {
    const process = new ManagedProcess(part, [...this.#options.program, 'stand-in', part, ...args], { ownGroup: this.#options.ownGroups })
    this.#standIns.push(process)
    return JSON.parse(await process.waitForLine(line => line.startsWith('{"listening"')))
  }

  async #startInstance (instance: ClusterInstance): Promise<void> {
    const file = await this.#writeFile(`${instance.name}.ini`, this.#formatSettings(instance))
    instance.process = new ManagedProcess(instance.name, [...this.#options.program, 'serve', '--settings', file], { ownGroup: this.#options.ownGroups })
    await instance.process.waitForLine(line => line.includes('the instance is serving'))
    await waitUntil(`${instance.name} is ready`, async () => {
      const response = await request(`http://${instance.addresses.operator}/ready`)
      await response.body.dump()
      return response.statusCode === 200
    })
  }

  async #writeFile (name: string, text: string): Promise<string> {
    const file = join(this.#directory, name)
    await writeFile(file, text)
    return file
  }

  #createInstanceList (): unknown {
    const instances = this.instances.filter(({ name }) => !this.#unlistedInstances.has(name)).map(({ name, dataCentre, region, addresses }) =>
      ({ name, dataCentre, region, peerAddress: addresses.peer, leaving: false }))
    return { instances, targets: this.#targets }
  }

  #formatSettings ({ name, dataCentre, region, addresses }: ClusterInstance): string {
    const links = this.links(dataCentre)
    const settings = {
      name,
      dataCentre,
      region,
      callerAddress: addresses.caller,
      operatorAddress: addresses.operator,
      peerAddress: addresses.peer,
      storeAddress: links.store.address,
      listAddress: links.list.address,
      peerSecret: PEER_SECRET,
      operatorToken: OPERATOR_TOKEN,
      stopTimeout: this.#options.stopTimeout ?? '30 s'
    }
    return Object.entries(settings).map(([field, value]) => `${field} = ${value}\n`).join('')
  }
}

async function callJson (address: string, method: 'GET' | 'PUT', path: string, body?: unknown, token?: string): Promise<unknown> {
  const response = await request(`http://${address}${path}`, {
    method,
    headers: { 'content-type': 'application/json', ...(token === undefined ? {} : { authorization: `Bearer ${token}` }) },
    body: body === undefined ? undefined : JSON.stringify(body)
  })
  const answer = await response.body.json()
  if (response.statusCode !== 200) throw new Error(`${method} ${path} at ${address} answered ${response.statusCode}: ${JSON.stringify(answer)}`)
  return answer
}
