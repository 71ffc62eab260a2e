/** A simulated cell of seven entry instances in three data centres and two regions, driven by one manual clock. */
import { ManualClock } from '../../src/adapters/clock/manualClock.ts'
import { MemoryInstanceList } from '../../src/adapters/list/memoryInstanceList.ts'
import { MemoryPeerNetwork, PeerLostError } from '../../src/adapters/peer/memoryPeerNetwork.ts'
import type { PeerFault } from '../../src/adapters/peer/memoryPeerNetwork.ts'
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import { FaultyStore } from '../../src/adapters/store/faultyStore.ts'
import type { StoreFault } from '../../src/adapters/store/faultyStore.ts'
import { MemoryStore } from '../../src/adapters/store/memoryStore.ts'
import { MemoryTargetClient } from '../../src/adapters/target/memoryTargetClient.ts'
import { StandInTarget } from '../../src/adapters/target/standInTarget.ts'
import type { ChooseTargetFault } from '../../src/adapters/target/targetFault.ts'
import type { Operation } from '../../src/model/change.ts'
import type { EntryInstance } from '../../src/instance/entryInstance.ts'
import { incarnationKey } from '../../src/model/identity.ts'
import type { CallerHandler } from '../../src/ports/callerHandler.ts'
import type { Store } from '../../src/ports/store.ts'
import type { TargetClient } from '../../src/ports/targetClient.ts'
import { collectAnswer } from './answers.ts'
import { CoalescingClock } from './gate.ts'
import type { Phase } from './gate.ts'
import { ALPHA_LIMIT, createInitialChange, createRequest, createTargets, DATA_CENTRES, WRONG_KEY } from './layout.ts'
import type { CallerRequest } from './layout.ts'
import { Node } from './node.ts'
import type { CallerRecord, ChangeRecord, Observations } from './observations.ts'

export type Step = 'claim' | 'admit' | 'place' | 'send' | 'run' | 'answer' | 'release' | 'hand over' | 'reconfigure' | 'drain' | 'leave'

/** Replaces parts of the cell by defective ones, for tests of the checker. */
export interface Defects {
  store? (store: Store): Store
  targetClient? (client: TargetClient): TargetClient
  callers? (callers: CallerHandler): CallerHandler
  target? (target: StandInTarget): StandInTarget
  /** Called with each new process, before it starts. */
  node? (instance: EntryInstance): void
}

const REQUEST_INTERVAL_MS = 80
const SAMPLE_INTERVAL_MS = 500
const LIST_LAG_MS = 2_000
const CROSS_REGION_LATENCY_MS = 20
/** Time after which a task that was sent is running. */
const RUNNING_AFTER_MS = 30
/** After this time without faults an instance must learn of changes within the checker's bound. */
const CONTACT_PERIOD_MS = 10_000

export class Cell {
  readonly time = new ManualClock()
  readonly clock = new CoalescingClock(this.time)
  readonly random: SeededRandom
  readonly network = new MemoryPeerNetwork(this.clock)
  readonly list: MemoryInstanceList
  readonly targets: readonly StandInTarget[]
  readonly nodes: readonly Node[]
  readonly observations: Observations
  /** Data centres partitioned from all others, and those partitioned from the store and the list. */
  readonly partitionedFromPeers = new Set<string>()
  readonly partitionedFromStore = new Set<string>()
  chooseStoreFault: () => StoreFault | undefined = () => undefined
  choosePeerFault: () => PeerFault | undefined = () => undefined
  chooseTargetFault: ChooseTargetFault = () => undefined
  onStep: (step: Step, node: Node, phase: Phase) => void = () => {}
  /** Monotonic time of the end of the latest fault, or Infinity during a fault. */
  lastFaultAt = -Infinity
  readonly #defects: Defects
  #requests = 0
  #changes = 1
  #sendsRequests = false

  constructor (seed: number, defects: Defects = {}) {
    this.#defects = defects
    this.random = new SeededRandom(seed)
    const infos = createTargets()
    this.targets = infos.map(info => defects.target?.(new StandInTarget(info, this.clock)) ?? new StandInTarget(info, this.clock))
    const store = new MemoryStore(this.clock)
    store.put('configuration/change/1', JSON.stringify(createInitialChange()), { expectedVersion: 0 }).catch(() => {})
    const instances = DATA_CENTRES.flatMap(({ dataCentre, region, instances: names }) =>
      names.map(name => ({ name, dataCentre, region, peerAddress: name, leaving: false })))
    this.list = new MemoryInstanceList(this.clock, { instances, targets: infos }, LIST_LAG_MS)
    this.network.chooseFault = ({ from, to }) => this.#choosePeerFault(from, to)
    this.nodes = instances.map(({ name, dataCentre, region }) => this.#createNode(name, { dataCentre, region }, store, instances.map(other => other.name)))
    this.observations = {
      targets: this.targets,
      callers: [],
      changes: [],
      versions: [],
      limits: [{ team: 'alpha', slots: ALPHA_LIMIT, since: 0, acceptedAt: 0 }],
      withdrawnKeys: new Map([[WRONG_KEY, -Infinity]]),
      leavingTargets: new Map(),
      faultsPreserveOpenRequests: true,
      finalChangeIds: [],
      notRecovered: []
    }
  }

  /** Starts every instance and, after `settleMs`, the callers. */
  async start (settleMs: number): Promise<void> {
    for (const node of this.nodes) node.start().catch(() => {})
    this.#repeat(SAMPLE_INTERVAL_MS, () => this.#sampleVersions())
    await this.time.advance(settleMs)
    this.#sendsRequests = true
    this.#repeat(REQUEST_INTERVAL_MS, () => { if (this.#sendsRequests) this.#submitNext() })
  }

  stopRequests (): void {
    this.#sendsRequests = false
  }

  /** Restarts the time allowed to learn of leaving targets, since instances could not learn of them during the fault. */
  resetLeavingTimes (): void {
    for (const target of this.observations.leavingTargets.keys()) this.observations.leavingTargets.set(target, this.clock.wallMs())
  }

  node (name: string): Node {
    return this.nodes.find(node => node.name === name)!
  }

  neighbours (node: Node): readonly Node[] {
    return this.nodes.filter(other => other !== node && other.location.dataCentre === node.location.dataCentre)
  }

  /** Sends a request as a caller and collects its answer. */
  async submit (node: Node, { team, key, body }: CallerRequest): Promise<CallerRecord> {
    const { id, kind, tasks, repeatable } = body
    const record: CallerRecord = {
      requestId: id, team, kind, key, tasks, repeatable, instance: node.name, submittedAt: this.clock.wallMs(), outcome: { type: 'open' }
    }
    this.observations.callers.push(record)
    this.onStep('admit', node, 'before')
    const callers = this.#defects.callers?.(node.instance.callers) ?? node.instance.callers
    record.outcome = await collectAnswer(node.gate.serveStream(callers.run(key, body, new AbortController().signal)), step => this.onStep(step, node, 'before'))
    record.endedAt = this.clock.wallMs()
    return record
  }

  /** Submits a change as an operator. */
  async change (node: Node, operations: readonly Operation[], id = `change-${++this.#changes}`): Promise<ChangeRecord> {
    const { version } = await node.instance.operators.readConfiguration()
    const record: ChangeRecord = {
      submission: { id, baseVersion: version, operator: `operator of ${node.name}`, operations }, instance: node.name, submittedAt: this.clock.wallMs()
    }
    this.observations.changes.push(record)
    const limits = operations.flatMap(operation => operation.type === 'set' && operation.path === '/teams/alpha' && typeof operation.values.limitSlots === 'number'
      ? [{ team: 'alpha', slots: operation.values.limitSlots, since: this.clock.wallMs(), acceptedAt: undefined as number | undefined }]
      : [])
    this.observations.limits.push(...limits)
    const gate = node.gate
    record.answer = await node.instance.operators.submitChange(record.submission, new AbortController().signal)
    if (gate.crashed.aborted) return record
    record.answeredAt = this.clock.wallMs()
    if (record.answer.outcome === 'accepted') for (const limit of limits) limit.acceptedAt = record.answeredAt
    return record
  }

  /** Performs a planned stop, then removes the instance from the platform's list. */
  async drain (node: Node): Promise<void> {
    this.onStep('drain', node, 'before')
    await node.drain()
    if (!node.listens) this.setListed(node, false)
  }

  setListed (node: Node, listed: boolean): void {
    this.list.update(current => {
      const others = current.instances.filter(({ name }) => name !== node.name)
      const entry = { name: node.name, ...node.location, peerAddress: node.name, leaving: false }
      return { ...current, instances: listed ? [...others, entry] : others }
    })
  }

  #createNode (name: string, location: Node['location'], memory: MemoryStore, seeds: readonly string[]): Node {
    const { dataCentre } = location
    const faulty = new FaultyStore(memory, this.clock, () => this.partitionedFromStore.has(dataCentre) ? { type: 'down' } : this.chooseStoreFault())
    const client = new MemoryTargetClient(this.clock, this.targets, call => this.chooseTargetFault(call))
    const node: Node = new Node(name, location, {
      clock: this.clock,
      network: this.network,
      list: { read: async () => await (this.partitionedFromStore.has(dataCentre) ? Promise.reject(new Error('the list is unreachable')) : this.list.read()) },
      store: this.#defects.store?.(faulty) ?? faulty,
      targetClient: this.#defects.targetClient?.(client) ?? client,
      seeds: seeds.filter(seed => seed !== name),
      random: this.random,
      assertReachable: peer => { if (this.#isPartitioned(name, peer)) throw new PeerLostError(`${peer} is unreachable from this data centre`) },
      beforeStart: instance => this.#defects.node?.(instance),
      observe: (method, args, phase) => this.#observe(node, method, args, phase)
    })
    return node
  }

  /** Derives steps from the port calls that belong to them. */
  #observe (node: Node, method: string, args: readonly unknown[], phase: Phase): void {
    const key = String(args[0])
    if (method === 'start') {
      this.onStep('send', node, phase)
      if (phase === 'before') this.clock.sleep(RUNNING_AFTER_MS).then(() => this.onStep('run', node, phase), () => {})
    }
    if (method !== 'put') return
    if (key.startsWith('claim/')) this.onStep('claim', node, phase)
    if (key.startsWith('allotment/')) this.onStep('place', node, phase)
    if (key.startsWith('ownership/')) {
      const handsToOther = node.instance.state === 'draining' && !String(args[1]).includes(`"${incarnationKey(node.instance.self)}"`)
      this.onStep(handsToOther ? 'leave' : 'hand over', node, phase)
    }
    if (key.startsWith('configuration/change/')) this.onStep('reconfigure', node, phase)
  }

  #isPartitioned (from: string, to: string): boolean {
    const [left, right] = [this.node(from).location.dataCentre, this.node(to).location.dataCentre]
    return left !== right && (this.partitionedFromPeers.has(left) || this.partitionedFromPeers.has(right))
  }

  #choosePeerFault (from: string, to: string): PeerFault | undefined {
    if (this.#isPartitioned(from, to)) return { type: 'unreachable' }
    const crossRegion = this.node(from).location.region !== this.node(to).location.region
    return this.choosePeerFault() ?? (crossRegion ? { type: 'delay', durationMs: CROSS_REGION_LATENCY_MS } : undefined)
  }

  #submitNext (): void {
    const serving = this.nodes.filter(node => node.serves)
    if (serving.length === 0) return
    const node = serving[this.random.integer(serving.length)]!
    const request = createRequest(this.random, `r${++this.#requests}`)
    this.submit(node, request).catch(() => {})
    // Some callers send the same request to another instance without waiting for the first answer.
    if (!request.body.repeatable && this.random.integer(4) === 0) this.submit(serving[this.random.integer(serving.length)]!, request).catch(() => {})
  }

  async #sampleVersions (): Promise<void> {
    const now = this.clock.monotonicMs()
    for (const node of this.nodes) {
      if (!node.serves) continue
      const { version } = await node.instance.operators.readConfiguration()
      const reachable = now > Math.max(node.startedAt, this.lastFaultAt) + CONTACT_PERIOD_MS
      this.observations.versions.push({ at: this.clock.wallMs(), process: node.process, version, reachable })
    }
  }

  #repeat (intervalMs: number, action: () => unknown): void {
    const run = async (): Promise<void> => {
      for (;;) {
        await action()
        await this.clock.sleep(intervalMs)
      }
    }
    run().catch(() => {})
  }
}
