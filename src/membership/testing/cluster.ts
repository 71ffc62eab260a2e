/** A test cluster on one manual clock that simulates partitions, paused processes and store outages. */
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { SeededRandom } from '../../adapters/random/seededRandom.ts'
import { MemoryStore } from '../../configuration/testing/memoryStore.ts'
import { createNode } from '../../configuration/testing/testNode.ts'
import type { TestNode } from '../../configuration/testing/testNode.ts'
import type { Clock } from '../../ports/clock.ts'
import type { ListSnapshot } from '../../ports/instanceList.ts'
import type { PeerClient } from '../../ports/peerClient.ts'
import { ExchangeLoop } from '../exchangeLoop.ts'
import { ListLoop } from '../listLoop.ts'

export const KEY_GRACE_MS = 5_000

export interface ClusterNode extends TestNode {
  readonly loop: ExchangeLoop
  readonly listLoop: ListLoop
  /** `paused` is set while the process is paused. */
  readonly pauseGate: { paused?: Promise<void>, resume: () => void }
  /** Names of the reachable peers; undefined if there is no partition. */
  reachable?: ReadonlySet<string>
}

function unsupported (): never {
  throw new Error('not used by these tests')
}

export class Cluster {
  readonly clock = new ManualClock(1_000)
  readonly store = new MemoryStore()
  readonly nodes: ClusterNode[] = []

  /** Starts instances, each named after its data centre and its index, such as `howrah-0`. */
  async start (sizes: Readonly<Record<string, number>>): Promise<void> {
    for (const [dataCentre, size] of Object.entries(sizes)) {
      for (let index = 0; index < size; index++) await this.addNode(`${dataCentre}-${index}`, dataCentre)
    }
    await this.clock.advance(20_000)
  }

  async addNode (name: string, dataCentre: string): Promise<ClusterNode> {
    const pauseGate: ClusterNode['pauseGate'] = { resume: () => {} }
    const node = createNode(this.store, this.#createClock(pauseGate), name, dataCentre, String(this.nodes.length))
    const { log, registry, table, tracker, ref } = node
    const clock = this.#createClock(pauseGate)
    const read = (): Promise<ListSnapshot> => Promise.resolve(this.#list())
    const listLoop = new ListLoop({
      list: { read },
      clock,
      onSnapshot: async ({ instances }, startedAt) => {
        table.mergeList(instances, startedAt)
        registry.observeList(instances, startedAt)
        await registry.maintain()
      }
    })
    const created = { ...node, pauseGate, listLoop } as unknown as { -readonly [Key in keyof ClusterNode]: ClusterNode[Key] }
    created.loop = new ExchangeLoop({
      clock,
      random: new SeededRandom(this.nodes.length),
      peers: this.#createPeers(created),
      table,
      tracker,
      log,
      registry,
      describeSelf: node.describe,
      seeds: [],
      readList: () => listLoop.snapshot,
      keyGraceMs: () => KEY_GRACE_MS
    })
    this.nodes.push(created)
    await log.load()
    await registry.register({ ref, dataCentre, peerAddress: `${name}:1` })
    await listLoop.start()
    await created.loop.start()
    return created
  }

  async stop (node: ClusterNode): Promise<void> {
    this.nodes.splice(this.nodes.indexOf(node), 1)
    node.log.close()
    node.pauseGate.resume()
    await Promise.all([node.loop.stop(), node.listLoop.stop()])
  }

  async stopAll (): Promise<void> {
    for (const node of [...this.nodes]) await this.stop(node)
  }

  setStoreDown (down: boolean, dataCentre?: string): void {
    for (const node of this.nodes) if (dataCentre === undefined || node.dataCentre === dataCentre) node.client.down = down
  }

  /** Starts or ends a partition of a data centre from the store and the other data centres. */
  setPartitioned (dataCentre: string, isCut: boolean): void {
    this.setStoreDown(isCut, dataCentre)
    const inside = this.nodes.filter(node => node.dataCentre === dataCentre).map(node => node.ref.name)
    const outside = this.nodes.filter(node => node.dataCentre !== dataCentre).map(node => node.ref.name)
    for (const node of this.nodes) {
      node.reachable = isCut ? new Set(node.dataCentre === dataCentre ? inside : outside) : undefined
    }
  }

  pause (node: ClusterNode): void {
    node.pauseGate.paused = new Promise(resolve => {
      node.pauseGate.resume = () => {
        node.pauseGate.paused = undefined
        resolve()
      }
    })
  }

  /** Advances the clock in steps of 100 ms and runs the check after each step. */
  async advanceAndCheck (durationMs: number, check: () => void): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += 100) {
      await this.clock.advance(100)
      check()
    }
  }

  #list (): ListSnapshot {
    const instances = this.nodes.map(({ ref, dataCentre }) =>
      ({ ...ref, dataCentre, region: 'east', peerAddress: `${ref.name}:1`, leaving: false }))
    return { instances, targets: [] }
  }

  #createClock (pauseGate: ClusterNode['pauseGate']): Clock {
    return {
      monotonicMs: () => this.clock.monotonicMs(),
      wallMs: () => this.clock.wallMs(),
      sleep: async (durationMs, signal) => {
        await this.clock.sleep(durationMs, signal)
        await pauseGate.paused
      }
    }
  }

  #createPeers (from: Pick<ClusterNode, 'ref' | 'pauseGate' | 'reachable'>): PeerClient {
    const call = async <Result>(address: string, action: (to: ClusterNode) => Result): Promise<Result> => {
      const to = this.nodes.find(node => `${node.ref.name}:1` === address)
      const isCut = from.reachable?.has(to?.ref.name ?? '') === false || to?.reachable?.has(from.ref.name) === false
      if (to === undefined || isCut) throw new Error(`${address} can not be reached`)
      await to.pauseGate.paused
      const result = structuredClone(action(to))
      await from.pauseGate.paused
      return result
    }
    return {
      exchange: (address, sender, registering) =>
        call(address, to => to.loop.answer(structuredClone(sender), registering)),
      fetchChanges: (address, after) => call(address, to => to.log.fetchChanges(after)),
      run: unsupported,
      cancel: unsupported,
      find: unsupported,
      transferAllotment: unsupported,
      claim: unsupported,
      handOver: unsupported
    }
  }
}
