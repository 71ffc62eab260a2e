/** One entry instance of the simulated cell. Each restart creates a new process under the same name. */
import { pino } from 'pino'
import type { MemoryInstanceList } from '../../src/adapters/list/memoryInstanceList.ts'
import type { MemoryPeerNetwork } from '../../src/adapters/peer/memoryPeerNetwork.ts'
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import { EntryInstance } from '../../src/instance/entryInstance.ts'
import type { Location } from '../../src/model/identity.ts'
import { Metrics } from '../../src/observability/metrics.ts'
import type { Clock } from '../../src/ports/clock.ts'
import type { PeerClient, PeerHandler } from '../../src/ports/peerClient.ts'
import type { Store } from '../../src/ports/store.ts'
import type { TargetClient } from '../../src/ports/targetClient.ts'
import { Gate } from './gate.ts'
import type { CallObserver } from './gate.ts'

/** Ports that the cell provides to the processes of one instance. */
export interface NodePorts {
  readonly clock: Clock
  readonly network: MemoryPeerNetwork
  readonly list: Pick<MemoryInstanceList, 'read'>
  readonly store: Store
  readonly targetClient: TargetClient
  readonly seeds: readonly string[]
  readonly random: SeededRandom
  /** Throws if the peer is unreachable now. */
  readonly assertReachable: (peer: string) => void
  /** Called with each new process, before it starts. */
  readonly beforeStart: (instance: EntryInstance) => void
  readonly observe: CallObserver
}

const STOP_TIMEOUT_MS = 30_000

const logger = pino({ level: 'silent' })
const metrics = new Metrics()

export class Node {
  readonly name: string
  readonly location: Location
  readonly #ports: NodePorts
  #gate = new Gate()
  #instance: EntryInstance
  #incarnation = 0
  #started = false
  #drained: Promise<void> | undefined
  /** Monotonic time of the last start or resume; Infinity after a crash. */
  startedAt = Infinity

  constructor (name: string, location: Location, ports: NodePorts) {
    this.name = name
    this.location = location
    this.#ports = ports
    this.#instance = this.#create()
  }

  get instance (): EntryInstance {
    return this.#instance
  }

  get gate (): Gate {
    return this.#gate
  }

  /** Unique name of the current process. */
  get process (): string {
    return `${this.name}#${this.#incarnation}`
  }

  /** Whether it accepts connections. A paused process accepts them but does not answer. */
  get listens (): boolean {
    return this.#started && !this.#gate.crashed.aborted
  }

  get serves (): boolean {
    return this.listens && !this.#gate.paused && this.#instance.state === 'serving'
  }

  async start (): Promise<void> {
    if (this.listens) return
    this.#gate = new Gate()
    this.#incarnation++
    this.#instance = this.#create()
    this.#ports.beforeStart(this.#instance)
    this.#started = true
    this.#drained = undefined
    this.#ports.network.join(this.name, this.#handler())
    await this.#instance.start()
    this.startedAt = this.#ports.clock.monotonicMs()
  }

  crash (): void {
    this.startedAt = Infinity
    this.#gate.crash()
    this.#ports.network.leave(this.name)
  }

  pause (): void {
    this.#gate.pause()
  }

  resume (): void {
    this.#gate.resume()
    if (this.listens) this.startedAt = this.#ports.clock.monotonicMs()
  }

  /** Performs the planned stop of the command: drains, then stops whether or not the drain completed. */
  async drain (): Promise<void> {
    this.#drained ??= this.#drain(this.#instance, this.#gate)
    await this.#drained
  }

  async #drain (instance: EntryInstance, gate: Gate): Promise<void> {
    const timeout = new AbortController()
    gate.clock(this.#ports.clock).sleep(STOP_TIMEOUT_MS).then(() => timeout.abort(new Error('the stop time-out expired')), () => {})
    await instance.drain(timeout.signal).catch(() => {})
    await instance.stop()
    if (gate === this.#gate) this.crash()
  }

  #create (): EntryInstance {
    const { clock, list, store, targetClient, seeds, random, observe } = this.#ports
    return new EntryInstance({
      self: { name: this.name, incarnation: `i${random.integer(2 ** 30)}` },
      location: this.location,
      peerAddress: this.name,
      seeds,
      store: this.#gate.wrap(store, observe),
      list: this.#gate.wrap(list),
      targetClient: this.#gate.wrap(targetClient, observe),
      peerClient: this.#createPeerClient(),
      clock: this.#gate.clock(clock),
      random: new SeededRandom(random.integer(2 ** 30)),
      logger,
      metrics
    })
  }

  #createPeerClient (): PeerClient {
    const gate = this.#gate
    const { network, assertReachable } = this.#ports
    const client = network.createClient(this.name)
    const wrapped = gate.wrap(client)
    return new Proxy(wrapped, {
      get: (target, name) => name === 'run'
        ? (...[address, forwarded, signal]: Parameters<PeerClient['run']>) => {
            const open = AbortSignal.any([gate.crashed, ...signal === undefined ? [] : [signal]])
            return gate.readStream(client.run(address, forwarded, open), () => assertReachable(address))
          }
        : Reflect.get(target, name)
    })
  }

  #handler (): PeerHandler {
    const gate = this.#gate
    const { peers } = this.#instance
    const wrapped = gate.wrap(peers)
    return new Proxy(wrapped, {
      get: (target, name) => name === 'run'
        ? (...args: Parameters<PeerHandler['run']>) => gate.serveStream(peers.run(...args))
        : Reflect.get(target, name)
    })
  }
}
