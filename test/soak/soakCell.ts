/** Runs the real program as separate processes against the platform's stand-ins, with a fault-injecting link before each component. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { StandInPlatform } from '../../src/platform/standIn/standInPlatform.ts'
import type { StandInPlatformOptions } from '../../src/platform/standIn/standInPlatform.ts'
import type { StoreFault } from '../../src/platform/standIn/standInStore.ts'
import { DEFAULT_LATE_MS } from '../../src/platform/standIn/standInWorker.ts'
import { ManagedProcess } from '../processes/childProcess.ts'
import { TcpForwarder } from '../processes/tcpForwarder.ts'
import type { DarkCrash, Fault } from './faultPlan.ts'
import { ProcessorShare } from './processorShare.ts'

/** The platform's `grace_s`: time after SIGTERM at which a process that still runs is killed. */
const GRACE_MS = 6_000
/** Delay before a process that exited unexpectedly is restarted. */
const RESTART_DELAY_MS = 300
const FIRST_PORT = 7_400
const PORTS_PER_INSTANCE = 10
/** Time for which a draining worker keeps serving before it leaves; it returns under a new incarnation. */
const DRAIN_DURATION_MS = 3_000
/** Time before a dark crash in which calls become late; several holds and, under load, several starts. */
const LATE_BEFORE_CRASH_MS = 400

export interface SoakCellOptions extends StandInPlatformOptions {
  readonly instances: number
  /** Capacity of each target, in millicores. */
  readonly workerCpu: number
  /** Loopback host of the instances and links. */
  readonly host: string
  /** The program with its leading arguments. */
  readonly program: readonly string[]
  /** Whether all components are reached without links; faults of links have no effect then. */
  readonly direct?: boolean
  /** Shares of a processor that the instances have in turn; all of it by default. */
  readonly processorShares?: readonly number[]
}

/** A disruption of one instance, or of all without `instance`; `untilMs` is the end of its immediate effect. */
export interface Disruption {
  readonly planned: boolean
  readonly what: string
  readonly instance?: number
  readonly atMs: number
  untilMs: number
}

interface Instance {
  readonly number: number
  readonly file: string
  readonly port: number
  readonly storeLink: TcpForwarder | undefined
  readonly callerLink: TcpForwarder | undefined
  process: ManagedProcess
  /** Delay before the restart after a requested termination; undefined if none was requested. */
  restartDelayMs: number | undefined
}

export class SoakCell {
  readonly platform: StandInPlatform
  /** Unexpected exits of processes, and stops that exceeded the grace period. */
  readonly violations: string[] = []
  readonly disruptions: Disruption[] = []
  readonly #options: SoakCellOptions
  readonly #directory: string
  readonly #instances: Instance[] = []
  readonly #workerLinks: TcpForwarder[]
  readonly #storeFaults: StoreFault[]
  /** Share of the store's calls that the current fault affects. */
  #storeFaultShare = 1
  #coordinator = 0
  #capFactor = 1
  readonly #lines: string[] = []
  #closing = false
  readonly #paused = new Set<number>()
  readonly #share: ProcessorShare

  private constructor (options: SoakCellOptions, directory: string, platform: StandInPlatform, workerLinks: TcpForwarder[]) {
    this.#options = options
    this.#directory = directory
    this.platform = platform
    this.#workerLinks = workerLinks
    this.#storeFaults = Array.from({ length: options.instances }, () => 'none')
    const { processorShares = [1] } = options
    this.#share = new ProcessorShare({
      shares: Array.from({ length: options.instances }, (_, number) => processorShares[number % processorShares.length] as number),
      processes: () => this.#instances.map(({ number, process }) => this.#paused.has(number) ? undefined : process)
    })
  }

  /** Starts the stand-ins, then every instance. */
  static async start (options: SoakCellOptions): Promise<SoakCell> {
    const workerLinks: TcpForwarder[] = []
    const platform = await StandInPlatform.start({
      ...options,
      exposeWorker: async (_id, address) => {
        if (options.direct === true) return address
        const link = await openLink(address, options.host)
        workerLinks.push(link)
        return link.address
      }
    })
    const cell = new SoakCell(options, await mkdtemp(join(tmpdir(), 'agategauge-soak-')), platform, workerLinks)
    for (let number = 0; number < options.instances; number++) await cell.#addInstance(number)
    cell.#share.start()
    return cell
  }

  /** Addresses at which callers reach the instances. */
  get callerAddresses (): readonly string[] {
    return this.#instances.map(({ port, callerLink }) => callerLink?.address ?? `${this.#options.host}:${port}`)
  }

  /** Latest factor of the teams' caps. */
  get capFactor (): number {
    return this.#capFactor
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
      case 'coordinator':
        if (fault.how === 'pause') return await this.#pause(this.#coordinator, fault.forMs)
        return this.#kill(this.#coordinator, fault.forMs)
      case 'terminate-again': return this.#terminateAgain(fault.instance)
      case 'caps': return this.#scaleCaps(fault.factor)
      case 'stop': return await this.#stop(fault.instance, fault.forMs)
      case 'pause': return await this.#pause(fault.instance, fault.forMs)
      case 'hangup': return this.#hangUp(fault.instance)
      case 'store': return await this.#failStore(fault.fault, fault.instances, fault.forMs, fault.share)
      case 'store-link': return await disruptLink(this.#instance(fault.instance).storeLink, fault.fault, fault.forMs)
      case 'caller-link': return await disruptLink(this.#instance(fault.instance).callerLink, fault.fault, fault.forMs)
      case 'worker-link': return await disruptLink(this.#workerLinks[fault.worker], fault.fault, fault.forMs)
      case 'worker-late': return await this.#delayOrders(workerId(fault.worker), fault.forMs)
      case 'worker-crash': return this.platform.crash(workerId(fault.worker))
      case 'worker-dark-crash': {
        await Promise.all(fault.workers.map(async worker => await this.#crashDark(worker, fault)))
        return
      }
      case 'worker-drain': return await this.#drain(workerId(fault.worker))
      case 'compaction': return this.platform.store.compact()
      case 'configuration': return this.#scaleCaps(1)
      case 'worker-shrink': return await this.#shrink(workerId(fault.worker), fault.processors, fault.forMs)
    }
  }

  async stop (): Promise<void> {
    this.#closing = true
    this.#share.stop()
    await Promise.all(this.#instances.map(async ({ process }) => {
      process.signal('SIGCONT')
      await process.kill()
    }))
    const links = [...this.#workerLinks, ...this.#instances.flatMap(({ storeLink, callerLink }) => [storeLink, callerLink])]
    await Promise.all(links.map(async link => await link?.stop()))
    await this.platform.stop()
    await rm(this.#directory, { recursive: true, force: true })
  }

  #instance (number: number): Instance {
    return this.#instances[number] as Instance
  }

  async #addInstance (number: number): Promise<void> {
    const { host } = this.#options
    const port = FIRST_PORT + number * PORTS_PER_INSTANCE
    const front = await this.platform.openStoreEndpoint(() => Math.random() < this.#storeFaultShare ? this.#storeFaults[number] as StoreFault : 'none')
    const [storeLink, callerLink] = this.#options.direct === true ? [] : [await openLink(front, host), await openLink(`${host}:${port}`, host)]
    const file = join(this.#directory, `entry-${number}.toml`)
    await writeFile(file, this.platform.settingsFor(`entry-${number}`, port, storeLink?.address ?? front, host))
    const instance: Instance = { number, file, port, storeLink, callerLink, process: this.#launch(number, file), restartDelayMs: undefined }
    this.#instances.push(instance)
    this.#superviseInstance(instance).catch(error => this.violations.push(`ENDED: entry-${number} could not be started: ${error}`))
  }

  #launch (number: number, file: string): ManagedProcess {
    return new ManagedProcess(`entry-${number}`, [...this.#options.program, 'serve', '--platform'], {
      environment: { AGATEGAUGE_CONFIG: file }, onLine: line => this.#recordLine(number, line)
    })
  }

  #recordLine (number: number, line: string): void {
    this.#lines.push(line)
    if (line.includes('"elected as coordinator"')) this.#coordinator = number
  }

  #recordDisruption (planned: boolean, what: string, instance: number | undefined, forMs: number): void {
    const atMs = Date.now()
    this.disruptions.push({ planned, what, instance, atMs, untilMs: atMs + forMs })
  }

  /** Only a stop that goes on gets a second signal; a process that has been started since would end unasked. */
  #terminateAgain (number: number): void {
    const { process, restartDelayMs } = this.#instance(number)
    if (restartDelayMs !== undefined) process.signal('SIGTERM')
  }

  #hangUp (number: number): void {
    this.#recordDisruption(true, 'SIGHUP', number, 0)
    this.#instance(number).process.signal('SIGHUP')
  }

  #scaleCaps (factor: number): void {
    this.#recordDisruption(true, 'desired state', undefined, 0)
    this.#capFactor = factor
    this.platform.configure(this.#options.teams?.map(team => ({ ...team, cap: (team.cap ?? 0) * factor })))
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
    this.#recordDisruption(false, 'kill', number, forMs)
    instance.restartDelayMs = forMs
    instance.process.signal('SIGKILL')
  }

  async #stop (number: number, forMs: number): Promise<void> {
    const instance = this.#instance(number)
    const { process } = instance
    this.#recordDisruption(true, 'SIGTERM', number, 0)
    instance.restartDelayMs = forMs
    process.signal('SIGTERM')
    const inTime = await Promise.race([process.ended.then(() => true), sleep(GRACE_MS, false)])
    if (!inTime && !process.wasPaused) this.violations.push(`STOP: entry-${number} did not stop within ${GRACE_MS} ms`)
    process.signal('SIGKILL')
  }

  async #pause (number: number, forMs: number): Promise<void> {
    const { process } = this.#instance(number)
    this.#recordDisruption(false, 'pause', number, forMs)
    this.#paused.add(number)
    process.signal('SIGSTOP')
    await sleep(forMs)
    process.signal('SIGCONT')
    this.#paused.delete(number)
  }

  async #failStore (fault: StoreFault, instances: readonly number[], forMs: number, share = 1): Promise<void> {
    this.#recordDisruption(false, `store ${fault}`, instances.length === 1 ? instances[0] : undefined, forMs)
    this.#storeFaultShare = share
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

  async #crashDark (number: number, { darkMs, lateMs, partition }: DarkCrash): Promise<void> {
    const worker = this.platform.workers.get(workerId(number))
    if (worker !== undefined && lateMs !== undefined) {
      worker.lateMs = lateMs
      await this.#delayOrders(workerId(number), LATE_BEFORE_CRASH_MS)
      worker.lateMs = DEFAULT_LATE_MS
    }
    await this.platform.crashDark(workerId(number), darkMs)
    if (partition === undefined) return
    await sleep(partition.afterMs)
    await disruptLink(this.#workerLinks[number], 'silent', partition.forMs)
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

async function disruptLink (link: TcpForwarder | undefined, fault: Parameters<TcpForwarder['startFault']>[0], forMs: number): Promise<void> {
  link?.startFault(fault)
  await sleep(forMs)
  link?.clearFault()
}
