/** A cell of entry instances in this process over the memory adapters. */
import { SystemClock } from '../src/adapters/clock/systemClock.ts'
import { MemoryInstanceList } from '../src/adapters/list/memoryInstanceList.ts'
import { MemoryPeerNetwork } from '../src/adapters/peer/memoryPeerNetwork.ts'
import { SeededRandom } from '../src/adapters/random/seededRandom.ts'
import { FaultyStore } from '../src/adapters/store/faultyStore.ts'
import type { StoreCall, StoreFault } from '../src/adapters/store/faultyStore.ts'
import { MemoryStore } from '../src/adapters/store/memoryStore.ts'
import { MemoryTargetClient } from '../src/adapters/target/memoryTargetClient.ts'
import { StandInTarget } from '../src/adapters/target/standInTarget.ts'
import { EntryInstance } from '../src/instance/entryInstance.ts'
import type { Change } from '../src/model/change.ts'
import type { TargetInfo } from '../src/model/target.ts'
import { createLogger } from '../src/observability/logger.ts'
import { Metrics } from '../src/observability/metrics.ts'
import type { Clock } from '../src/ports/clock.ts'
import { ByteCounts } from './byteCounts.ts'
import { countBytes } from './countedPeers.ts'
import { createTargets } from './deployments.ts'
import type { Deployment } from './deployments.ts'
import { PauseGate } from './pauseGate.ts'

export const SEED = 42
const SETTLE_POLL_MS = 100
const SETTLE_LIMIT_MS = 60_000
/** Instances that joined get their targets some seconds after the first ones have taken all. */
const SETTLED_MS = 10_000
const LIST_LAG_MS = 1_000
const INCARNATION_DIGITS = 16

export interface CellOptions {
  readonly deployment: Deployment
  readonly clock?: Clock
  /** Settings of all teams beside their shares. */
  readonly teamValues?: Readonly<Record<string, number>>
}

export interface CellInstance {
  readonly name: string
  readonly dataCentre: string
  readonly address: string
  readonly instance: EntryInstance
  /** The instance's own ways to the store and the targets, for faults. */
  readonly store: FaultyStore
  readonly targetClient: MemoryTargetClient
  readonly gate: PauseGate
}

/**
 * Open queues named after their teams take requests without a key.
 *
 * @example
 * const cell = await BenchCell.start({ deployment: KLADOSEIRA })
 */
export class BenchCell {
  readonly clock: Clock
  readonly targets: readonly TargetInfo[]
  readonly standIns: ReadonlyMap<string, StandInTarget>
  readonly instances: CellInstance[] = []
  readonly network: MemoryPeerNetwork
  readonly list: MemoryInstanceList
  readonly bytes = new ByteCounts()
  /** Milliseconds that a store call takes; undefined while the store is down. */
  storeDelayMs: number | undefined = 0
  /** Calls by method since the last reset. */
  readonly storeCalls = new Map<string, number>()
  readonly #memory: MemoryStore
  readonly #deployment: Deployment
  readonly #logger = createLogger({ level: 'silent', instance: 'bench', dataCentre: 'bench', secrets: [] })

  constructor ({ deployment, clock = new SystemClock() }: CellOptions) {
    this.clock = clock
    this.#deployment = deployment
    this.targets = createTargets(deployment)
    const standIns = this.targets.map(info => new StandInTarget(info, clock))
    this.standIns = new Map(standIns.map(target => [target.info.id, target]))
    this.network = new MemoryPeerNetwork(clock)
    this.#memory = new MemoryStore(clock)
    this.list = new MemoryInstanceList(clock, { instances: [], targets: this.targets }, LIST_LAG_MS)
  }

  /** Starts every instance and waits until all targets are in use. */
  static async start (options: CellOptions): Promise<BenchCell> {
    const cell = new BenchCell(options)
    await cell.#configure(options.teamValues ?? {})
    for (let index = 0; index < options.deployment.instances; index++) await cell.add(index)
    await cell.settle()
    return cell
  }

  /** Waits until all targets are in use and none has moved for some seconds. */
  async settle (): Promise<void> {
    let owners = ''
    let sinceMs = 0
    for (let waited = 0; waited < SETTLE_LIMIT_MS; waited += SETTLE_POLL_MS) {
      const now = this.instances.map(({ instance }) => [...instance.scheduling.pool.targets()].map(({ info }) => info.id).sort().join()).join(';')
      sinceMs = now === owners && this.usableTargets === this.targets.length ? sinceMs + SETTLE_POLL_MS : 0
      if (sinceMs >= SETTLED_MS) return
      owners = now
      await this.clock.sleep(SETTLE_POLL_MS)
    }
    throw new Error(`the targets still move; ${this.usableTargets} of ${this.targets.length} are in use`)
  }

  get usableTargets (): number {
    return this.instances.reduce((sum, { instance }) => sum + [...instance.scheduling.pool.targets()]
      .filter(({ info }) => instance.coordination.ownership.epochOf(info.id) !== undefined).length, 0)
  }

  async add (index: number): Promise<CellInstance> {
    const { dataCentres } = this.#deployment
    const { name: dataCentre, region } = dataCentres[index % dataCentres.length]!
    const name = `${dataCentre}-entry-${index}`
    const address = `10.${index % dataCentres.length}.0.${index}:7400`
    const incarnation = String(index).padStart(INCARNATION_DIGITS, '0')
    const gate = new PauseGate(this.clock)
    const store = new FaultyStore(this.#memory, this.clock, call => this.#takeStoreCall(call))
    const targetClient = new MemoryTargetClient(gate.clock, this.standIns.values())
    const instance = new EntryInstance({
      self: { name, incarnation },
      location: { dataCentre, region },
      peerAddress: address,
      seeds: [],
      store,
      list: this.list,
      targetClient,
      peerClient: countBytes(this.network.createClient(address), this.bytes),
      clock: gate.clock,
      random: new SeededRandom(SEED + index),
      logger: this.#logger,
      metrics: new Metrics()
    })
    this.network.join(address, gate.guard(instance.peers))
    this.list.update(current => ({
      ...current, instances: [...current.instances, { name, incarnation, dataCentre, region, peerAddress: address, leaving: false }]
    }))
    await instance.start()
    const entry = { name, dataCentre, address, instance, store, targetClient, gate }
    this.instances.push(entry)
    return entry
  }

  /** Ends an instance without a hand-over, as a crash does. */
  async kill (entry: CellInstance): Promise<void> {
    this.network.leave(entry.address)
    this.instances.splice(this.instances.indexOf(entry), 1)
    this.list.update(current => ({ ...current, instances: current.instances.filter(({ name }) => name !== entry.name) }))
    await entry.instance.stop()
  }

  resetCounts (): void {
    this.bytes.clear()
    this.storeCalls.clear()
  }

  async stop (): Promise<void> {
    await Promise.all(this.instances.map(async ({ instance }) => await instance.stop()))
  }

  #takeStoreCall ({ method }: StoreCall): StoreFault | undefined {
    this.storeCalls.set(method, (this.storeCalls.get(method) ?? 0) + 1)
    if (this.storeDelayMs === undefined) return { type: 'down' }
    return this.storeDelayMs === 0 ? undefined : { type: 'delayAnswer', durationMs: this.storeDelayMs }
  }

  async #configure (teamValues: Readonly<Record<string, number>>): Promise<void> {
    const operations = this.#deployment.teams.flatMap(({ team, share }): Change['operations'] => [
      { type: 'set', path: `/teams/${team}`, values: { share, ...teamValues } },
      { type: 'set', path: `/queues/${team}`, values: { open: true, team } }
    ])
    const change: Change = { id: 'first', version: 1, baseVersion: 0, operator: 'bench', acceptedAt: 0, operations }
    await this.#memory.put('configuration/change/1', JSON.stringify(change), { expectedVersion: 0 })
  }
}
