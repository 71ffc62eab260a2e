/** Runs the real program as separate processes against the platform's stand-ins, with a fault-injecting link before each component. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { StandInPlatform } from '../../src/platform/standIn/standInPlatform.ts'
import type { StandInPlatformOptions } from '../../src/platform/standIn/standInPlatform.ts'
import type { StoreFault } from '../../src/platform/standIn/standInStore.ts'
import { ManagedProcess } from '../processes/childProcess.ts'
import { TcpForwarder } from '../processes/tcpForwarder.ts'
import type { Fault } from './faultPlan.ts'

/** The platform's `grace_s`: time after SIGTERM at which a process that still runs is killed. */
const GRACE_MS = 6_000
/** Delay before a process that exited unexpectedly is restarted. */
const RESTART_DELAY_MS = 300
const FIRST_PORT = 7_400
const PORTS_PER_INSTANCE = 10
/** Time for which a draining worker keeps serving before it leaves; it returns under a new incarnation. */
const DRAIN_DURATION_MS = 3_000

export interface SoakCellOptions extends StandInPlatformOptions {
  readonly instances: number
  /** Capacity of each target, in millicores. */
  readonly workerCpu: number
  /** Loopback host of the instances and links. */
  readonly host: string
  /** The program with its leading arguments. */
  readonly program: readonly string[]
}

interface Instance {
  readonly number: number
  readonly file: string
  readonly port: number
  readonly storeLink: TcpForwarder
  readonly callerLink: TcpForwarder
  process: ManagedProcess
  /** Delay before the restart after a requested termination; undefined if none was requested. */
  restartDelayMs: number | undefined
}

export class SoakCell {
  readonly platform: StandInPlatform
  /** Unexpected exits of processes, and stops that exceeded the grace period. */
  readonly violations: string[] = []
  readonly #options: SoakCellOptions
  readonly #directory: string
  readonly #instances: Instance[] = []
  readonly #workerLinks: TcpForwarder[]
  readonly #storeFaults: StoreFault[]
  readonly #lines: string[] = []
  #closing = false

  private constructor (options: SoakCellOptions, directory: string, platform: StandInPlatform, workerLinks: TcpForwarder[]) {
    this.#options = options
    this.#directory = directory
    this.platform = platform
    this.#workerLinks = workerLinks
    this.#storeFaults = Array.from({ length: options.instances }, () => 'none')
  }

  /** Starts the stand-ins, then every instance. */
  static async start (options: SoakCellOptions): Promise<SoakCell> {
    const workerLinks: TcpForwarder[] = []
    const platform = await StandInPlatform.start({
      ...options,
      exposeWorker: async (_id, address) => {
        const link = await openLink(address, options.host)
        workerLinks.push(link)
        return link.address
      }
    })
    const cell = new SoakCell(options, await mkdtemp(join(tmpdir(), 'agategauge-soak-')), platform, workerLinks)
    for (let number = 0; number < options.instances; number++) await cell.#addInstance(number)
    return cell
  }

  /** Addresses at which callers reach the instances. */
  get callerAddresses (): readonly string[] {
    return this.#instances.map(({ callerLink }) => callerLink.address)
  }

  /** Output lines of the instances. */
  get lines (): readonly string[] {
    return this.#lines
  }

  /** Injects a fault; resolves when it has ended. A kill and other instantaneous faults resolve at once. */
  async injectFault (fault: Fault): Promise<void> {
    switch (fault.type) {
      case 'kill':
        for (const number of fault.instances) this.#kill(number, fault.forMs)
        return
      case 'stop': return await this.#stop(fault.instance, fault.forMs)
      case 'pause': return await this.#pause(fault.instance, fault.forMs)
      case 'hangup': return this.#instance(fault.instance).process.signal('SIGHUP')
      case 'store': return await this.#failStore(fault.fault, fault.instances, fault.forMs)
      case 'store-link': return await disruptLink(this.#instance(fault.instance).storeLink, fault.fault, fault.forMs)
      case 'caller-link': return await disruptLink(this.#instance(fault.instance).callerLink, fault.fault, fault.forMs)
      case 'worker-link': return await disruptLink(this.#workerLinks[fault.worker] as TcpForwarder, fault.fault, fault.forMs)
      case 'worker-late': return await this.#delayOrders(workerId(fault.worker), fault.forMs)
      case 'worker-crash': return this.platform.crash(workerId(fault.worker))
      case 'worker-drain': return await this.#drain(workerId(fault.worker))
      case 'compaction': return this.platform.store.compact()
      case 'configuration': return this.platform.configure()
      case 'worker-shrink': return await this.#shrink(workerId(fault.worker), fault.processors, fault.forMs)
    }
  }

  async stop (): Promise<void> {
    this.#closing = true
    await Promise.all(this.#instances.map(async ({ process }) => {
      process.signal('SIGCONT')
      await process.kill()
    }))
    const links = [...this.#workerLinks, ...this.#instances.flatMap(({ storeLink, callerLink }) => [storeLink, callerLink])]
    await Promise.all(links.map(async link => await link.stop()))
    await this.platform.stop()
    await rm(this.#directory, { recursive: true, force: true })
  }

  #instance (number: number): Instance {
    return this.#instances[number] as Instance
  }

  async #addInstance (number: number): Promise<void> {
    const { host } = this.#options
    const port = FIRST_PORT + number * PORTS_PER_INSTANCE
    const front = await this.platform.openStoreEndpoint(() => this.#storeFaults[number] as StoreFault)
    const storeLink = await openLink(front, host)
    const callerLink = await openLink(`${host}:${port}`, host)
    const file = join(this.#directory, `entry-${number}.toml`)
    await writeFile(file, this.platform.settingsFor(`entry-${number}`, port, storeLink.address, host))
    const instance: Instance = { number, file, port, storeLink, callerLink, process: this.#launch(number, file), restartDelayMs: undefined }
    this.#instances.push(instance)
    this.#superviseInstance(instance).catch(error => this.violations.push(`ENDED: entry-${number} could not be started: ${error}`))
  }

  #launch (number: number, file: string): ManagedProcess {
    return new ManagedProcess(`entry-${number}`, [...this.#options.program, 'serve', '--platform'], {
      environment: { AGATEGAUGE_CONFIG: file }, onLine: line => this.#lines.push(line)
    })
  }

  /** Restarts the process whenever it exits; an exit that was not requested is a violation. */
  async #superviseInstance (instance: Instance): Promise<void> {
    for (;;) {
      const { code, signal } = await instance.process.ended
      if (this.#closing) return
      if (instance.restartDelayMs === undefined) this.violations.push(`ENDED: entry-${instance.number} exited unexpectedly with ${code ?? signal}`)
      await sleep(instance.restartDelayMs ?? RESTART_DELAY_MS)
      if (this.#closing) return
      instance.restartDelayMs = undefined
      instance.process = this.#launch(instance.number, instance.file)
    }
  }

  #kill (number: number, forMs: number): void {
    const instance = this.#instance(number)
    instance.restartDelayMs = forMs
    instance.process.signal('SIGKILL')
  }

  async #stop (number: number, forMs: number): Promise<void> {
    const instance = this.#instance(number)
    const { process } = instance
    instance.restartDelayMs = forMs
    process.signal('SIGTERM')
    const inTime = await Promise.race([process.ended.then(() => true), sleep(GRACE_MS, false)])
    if (!inTime && !process.wasPaused) this.violations.push(`STOP: entry-${number} did not stop within ${GRACE_MS} ms`)
    process.signal('SIGKILL')
  }

  async #pause (number: number, forMs: number): Promise<void> {
    const { process } = this.#instance(number)
    process.signal('SIGSTOP')
    await sleep(forMs)
    process.signal('SIGCONT')
  }

  async #failStore (fault: StoreFault, instances: readonly number[], forMs: number): Promise<void> {
    for (const number of instances) this.#storeFaults[number] = fault
    await sleep(forMs)
    for (const number of instances) this.#storeFaults[number] = 'none'
  }

  async #delayOrders (id: string, forMs: number): Promise<void> {
    const worker = this.platform.workers.get(id)
    if (worker === undefined) return
    worker.fault = 'late'
    await sleep(forMs)
    worker.fault = 'none'
  }

  async #shrink (id: string, processors: number, forMs: number): Promise<void> {
    this.platform.resize(id, processors)
    await sleep(forMs)
    this.platform.resize(id, this.#options.workerCpu)
  }

  async #drain (id: string): Promise<void> {
    this.platform.drain(id)
    await sleep(DRAIN_DURATION_MS)
    this.platform.crash(id)
  }
}

function workerId (number: number): string {
  return `worker-${number + 1}`
}

async function openLink (destination: string, host: string): Promise<TcpForwarder> {
  const link = new TcpForwarder(destination)
  await link.start(host)
  return link
}

async function disruptLink (link: TcpForwarder, fault: Parameters<TcpForwarder['startFault']>[0], forMs: number): Promise<void> {
  link.startFault(fault)
  await sleep(forMs)
  link.clearFault()
}
