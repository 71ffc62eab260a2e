/** A cluster of entry instances in this process, on the in-memory adapters. */
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
const POLL_INTERVAL_MS = 100
const SETTLE_TIMEOUT_MS = 60_000
/** Instances that join later receive their targets some seconds after the first instances have taken all of them. */
const STABLE_MS = 10_000
const LIST_LAG_MS = 1_000
const INCARNATION_DIGITS = 16

export interface BenchClusterOptions {
  readonly deployment: Deployment
  readonly clock?: Clock
  /** Settings of all teams, in addition to their shares. */
  readonly teamSettings?: Readonly<Record<string, number>>
}

export interface BenchInstance {
  readonly name: string
  readonly dataCentre: string
  readonly address: string
  readonly instance: EntryInstance
  /** The instance's own clients of the store and the targets, for fault injection. */
  readonly store: FaultyStore
  readonly targetClient: MemoryTargetClient
  readonly gate: PauseGate
}

/**
 * Has an open queue for each team, named after the team, which accepts requests without a key.
 *
 * @example
 * const cell = await BenchCell.start({ deployment: KLADOSEIRA })
 */
export class BenchCluster {
  readonly clock: Clock
  readonly targets: readonly TargetInfo[]
  readonly standIns: ReadonlyMap<string, StandInTarget>
  readonly instances: BenchInstance[] = []
  readonly network: MemoryPeerNetwork
  readonly list: MemoryInstanceList
  readonly bytes = new ByteCounts()
  /** Duration of a store call in milliseconds; undefined while the store is down. */
  storeDelayMs: number | undefined = 0
  /** Store calls by method since the last reset. */
  readonly storeCalls = new Map<string, number>()
  readonly #memoryStore: MemoryStore
  readonly #deployment: Deployment
  readonly #logger = createLogger({ level: 'silent', instance: 'bench', dataCentre: 'bench', secrets: [] })

  constructor ({ deployment, clock = new SystemClock() }: BenchClusterOptions) {
    this.clock = clock
    this.#deployment = deployment
    this.targets = createTargets(deployment)
    const standIns = this.targets.map(info => new StandInTarget(info, clock))
    this.standIns = new Map(standIns.map(target => [target.info.id, target]))
    this.network = new MemoryPeerNetwork(clock)
    this.#memoryStore = new MemoryStore(clock)
    this.list = new MemoryInstanceList(clock, { instances: [], targets: this.targets }, LIST_LAG_MS)
  }

  /** Starts all instances and waits until all targets are in use. */
  static async start (options: BenchClusterOptions): Promise<BenchCluster> {
    const cluster = new BenchCluster(options)
    await cluster.#configure(options.teamSettings ?? {})
    for (let index = 0; index < options.deployment.instances; index++) await cluster.addInstance(index)
    await cluster.waitUntilStable()
    return cluster
  }

  /** Waits until all targets are in use and none has changed its owner for 10 s. */
  async waitUntilStable (): Promise<void> {
    let previousOwners = ''
    let stableMs = 0
    for (let waitedMs = 0; waitedMs < SETTLE_TIMEOUT_MS; waitedMs += POLL_INTERVAL_MS) {
      const currentOwners = this.instances.map(({ instance }) => [...instance.scheduling.pool.targets()].map(({ info }) => info.id).sort().join()).join(';')
      stableMs = currentOwners === previousOwners && this.ownedTargetCount === this.targets.length ? stableMs + POLL_INTERVAL_MS : 0
      if (stableMs >= STABLE_MS) return
      previousOwners = currentOwners
      await this.clock.sleep(POLL_INTERVAL_MS)
    }
    throw new Error(`target ownership did not become stable within 60 s; ${this.ownedTargetCount} of ${this.targets.length} are in use`)
  }

  get ownedTargetCount (): number {
    return this.instances.reduce((sum, { instance }) => sum + [...instance.scheduling.pool.targets()]
      .filter(({ info }) => instance.coordination.ownership.epochOf(info.id) !== undefined).length, 0)
  }

  async addInstance (index: number): Promise<BenchInstance> {
    const { dataCentres } = this.#deployment
    const { name: dataCentre, region } = dataCentres[index % dataCentres.length]!
    const name = `${dataCentre}-entry-${index}`
    const address = `10.${index % dataCentres.length}.0.${index}:7400`
    const incarnation = String(index).padStart(INCARNATION_DIGITS, '0')
    const gate = new PauseGate(this.clock)
    const store = new FaultyStore(this.#memoryStore, this.clock, call => this.#recordStoreCall(call))
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
    this.network.join(address, gate.wrapHandler(instance.peers))
    this.list.update(current => ({
      ...current, instances: [...current.instances, { name, incarnation, dataCentre, region, peerAddress: address, leaving: false }]
    }))
    await instance.start()
    const entry = { name, dataCentre, address, instance, store, targetClient, gate }
    this.instances.push(entry)
    return entry
  }

  /** Stops an instance without a hand-over, to simulate a crash. */
  async killInstance (entry: BenchInstance): Promise<void> {
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

  #recordStoreCall ({ method }: StoreCall): StoreFault | undefined {
    this.storeCalls.set(method, (this.storeCalls.get(method) ?? 0) + 1)
    if (this.storeDelayMs === undefined) return { type: 'down' }
    return this.storeDelayMs === 0 ? undefined : { type: 'delayAnswer', durationMs: this.storeDelayMs }
  }

  async #configure (teamSettings: Readonly<Record<string, number>>): Promise<void> {
    const operations = this.#deployment.teams.flatMap(({ team, share }): Change['operations'] => [
      { type: 'set', path: `/teams/${team}`, values: { share, ...teamSettings } },
      { type: 'set', path: `/queues/${team}`, values: { open: true, team } }
    ])
    const change: Change = { id: 'first', version: 1, baseVersion: 0, operator: 'bench', acceptedAt: 0, operations }
    await this.#memoryStore.put('configuration/change/1', JSON.stringify(change), { expectedVersion: 0 })
  }
}
