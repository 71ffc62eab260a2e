/** A coordinator with its log and targets on a manual clock, for model-based tests. */
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import type { DesiredState, QueueSettings } from '../../jobs/desiredState.ts'
import { parseTaskName } from '../../jobs/job.ts'
import type { JobDefinition, StepDefinition } from '../../jobs/job.ts'
import { createJobRecord, TEST_QUEUE } from '../../jobs/testing/definitions.ts'
import { resources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import { JobMetrics } from '../../observability/jobMetrics.ts'
import { createLogger } from '../../observability/logger.ts'
import type { JobTargetConnector, PlacedTargetConnector } from '../../ports/jobTarget.ts'
import { AdviceLanes } from '../advice/adviceLanes.ts'
import { DesiredStateWatcher } from '../desiredStateWatcher.ts'
import { COORDINATOR_KEY } from '../log/election.ts'
import { JobCoordinator } from '../jobCoordinator.ts'
import { SNAPSHOT_PREFIX } from '../log/logReader.ts'
import { MemoryTransactionalStore } from './memoryTransactionalStore.ts'
import type { CommitFault } from './memoryTransactionalStore.ts'
import { RunRecorder } from './runRecorder.ts'
import { SimulatedGangs } from './simulatedGangs.ts'
import { SimulatedTarget } from './simulatedTarget.ts'
import type { IncarnationStart } from './simulatedTarget.ts'

export const URGENT: QueueSettings = { ...TEST_QUEUE, name: 'checks', pathPrefix: '/checks/', priority: 0, maximumFailures: 100 }
export const BATCH: QueueSettings = { ...TEST_QUEUE, maximumFailures: 100, stretchFactor: 50 }
export const ADVISED: QueueSettings = { ...BATCH, name: 'advised', pathPrefix: '/advised/', advice: { decisionMs: 20, perTargetMs: 1, ticketValidityMs: 2_000 } }
export const QUEUES: readonly QueueSettings[] = [URGENT, BATCH, ADVISED]
/** A team without a cap. */
export const OTHER_TEAM = 'counter'
const WORK_MS = 700
const LONG_WORK_MS = 25_000
/** Longer than withdrawals of late orders and the expiry of leases take, with time for the work itself. */
const RECOVERY_MS = 60_000
/** The advisor allows no task on it. */
const FORBIDDEN_TARGET = 1
const OPERATOR_PREFIX = 'operator/'
const DESIRED_KEY = 'operator/desired'
const EVACUATION_PREFIX = 'operator/evacuate/'

export interface SimulatedTerm {
  readonly fence: number
  readonly clock: ManualClock
  /** Whether the coordinator of this term may send requests now. */
  readonly hasAuthority: () => boolean
}

export interface OfferedTarget {
  readonly number: number
  /** Names of the tasks that run there. */
  readonly running: readonly string[]
  readonly capacity: Resources
  readonly labels: readonly string[]
}

export interface SimulatedClusterOptions {
  readonly targets: number
  /** Processors that the team may use. */
  readonly cap: number
  /** Delay of orders that are executed late. */
  readonly lateMs: number
  /** Whether each first run of a task fails. */
  readonly failing: boolean
  /** Data centre of each target, by its number; without a name by default. */
  readonly dataCentreOf?: (number: number) => string
  /** Duration of the runs of a task, by its name; by the kind of its job if missing. */
  readonly workMs?: (task: string) => number
  /** Rack of each target, by its number; unknown by default. */
  readonly rackOf?: (number: number) => string
  /** Factor by which runs are expected to take longer away from their data. */
  readonly remoteFactor?: number
  /** What the clocks of the first incarnations of the targets show at their start; 0 by default. */
  readonly initialClockMs?: number
  /** Speed of the clocks of the first incarnations; 1 by default. */
  readonly initialClockRate?: number
  /** `born` of the first incarnations; 1 by default. */
  readonly initialBornMs?: number
  /** Whether the members of a gang work and end together; each works for itself by default. */
  readonly joinsGangs?: boolean
  /** Whether the target is in the target list from the beginning, by its number; all are by default. */
  readonly isListed?: (number: number) => boolean
  /** Wraps the connector of the targets in each term, for example to send requests through relays; direct by default. */
  readonly wrapConnector?: (connect: JobTargetConnector, term: SimulatedTerm) => PlacedTargetConnector
}

/** A store whose calls take time, and whose watches end without a change unless `wake` is called. */
class SlowStore extends MemoryTransactionalStore {
  /** Additional time of each write of a snapshot. */
  snapshotDelayMs = 0
  /** Additional time of each write. */
  commitDelayMs = 0
  /** Transit time of the answer to each write, which is executed before. */
  commitAnswerMs = 0
  /** Additional time of reads of the operator's keys. */
  operatorDelayMs = 0
  #waking = new AbortController()
  readonly #clock: ManualClock

  constructor (clock: ManualClock) {
    super()
    this.#clock = clock
  }

  override async commit (...[transaction]: Parameters<MemoryTransactionalStore['commit']>): ReturnType<MemoryTransactionalStore['commit']> {
    const isSnapshot = transaction.writes.some(({ key }) => key.startsWith(SNAPSHOT_PREFIX))
    await this.#clock.sleep(5 + this.commitDelayMs + (isSnapshot ? this.snapshotDelayMs : 0))
    const result = await super.commit(transaction)
    if (this.commitAnswerMs > 0) await this.#clock.sleep(this.commitAnswerMs)
    return result
  }

  override async listPage (...[prefix, after]: Parameters<MemoryTransactionalStore['listPage']>): ReturnType<MemoryTransactionalStore['listPage']> {
    if (prefix === OPERATOR_PREFIX && this.operatorDelayMs > 0) await this.#clock.sleep(this.operatorDelayMs)
    return await super.listPage(prefix, after)
  }

  override async watch (...[prefix, after]: Parameters<MemoryTransactionalStore['watch']>): ReturnType<MemoryTransactionalStore['watch']> {
    await this.#clock.sleep(1_000, this.#waking.signal).catch(() => {})
    return await super.watch(prefix, after)
  }

  /** Ends the watches that wait, as a change does. */
  wake (): void {
    this.#waking.abort()
    this.#waking = new AbortController()
  }
}

export class SimulatedCluster {
  readonly clock = new ManualClock()
  readonly store = new SlowStore(this.clock)
  readonly #logger = createLogger({ level: 'silent', instance: 'test', dataCentre: 'test', secrets: [] })
  readonly #recorder = new RunRecorder(this.clock)
  readonly #targets: readonly SimulatedTarget[]
  /** Kind of each accepted job, by id. */
  readonly accepted = new Map<string, string>()
  /** Validity of the tickets of each submitted job whose queue has an advisor, by job id. */
  readonly #ticketValidities = new Map<string, number>()
  /** Steps of each submitted job, by job id. */
  readonly #definitions = new Map<string, readonly StepDefinition[]>()
  #submittedJobs = 0
  #desiredVersion = 0
  #queues: readonly QueueSettings[] = QUEUES
  #cap = 0
  /** Team of each submitted job, by job id. */
  readonly #teams = new Map<string, string>()
  #hasRestarts = false
  #coordinator: JobCoordinator | undefined
  #desired: DesiredStateWatcher | undefined
  readonly #options: SimulatedClusterOptions
  readonly metrics = new JobMetrics()

  constructor (options: SimulatedClusterOptions) {
    const { targets, lateMs, failing, workMs } = this.#options = options
    this.setQueues(QUEUES)
    const gangs = new SimulatedGangs(this.clock, task => {
      const definition = this.definitionOf(task)
      return definition?.gang === true ? definition.count : undefined
    })
    this.#targets = Array.from({ length: targets }, (_, number) => new SimulatedTarget({
      id: `worker-${number}`,
      clock: this.clock,
      workMs: workMs ?? (task => task.startsWith('lasting') ? Infinity : task.startsWith('long') ? LONG_WORK_MS : WORK_MS),
      endOf: (_task, attempt) => failing && attempt % 2 === 1 ? 'failed' : 'done',
      lateMs,
      recorder: this.#recorder,
      ...(options.joinsGangs === true ? { gangs } : {}),
      initialClockMs: options.initialClockMs ?? 0,
      initialClockRate: options.initialClockRate ?? 1,
      initialBornMs: options.initialBornMs ?? 1,
      ticketValidityMs: task => this.#ticketValidities.get(task.slice(0, task.indexOf('.')))
    }))
    for (const [number, target] of this.#targets.entries()) target.listed = options.isListed?.(number) ?? true
  }

  /** Definition of the step of a task, by the name of the task. */
  definitionOf (task: string): StepDefinition | undefined {
    const name = parseTaskName(task)
    return name === undefined ? undefined : this.#definitions.get(name.job)?.[name.step]
  }

  /** Changes the settings of the queues, and the processors that the team may use, as the operator of the platform does. */
  setQueues (queues: readonly QueueSettings[], cap = this.#options.cap): void {
    this.#desiredVersion += 1
    this.#queues = queues
    this.#cap = cap
    const state: DesiredState = { version: this.#desiredVersion, queues, services: [TEST_QUEUE.service], teams: [{ name: 'weavers', keys: [], weight: 1_000, cap: resources({ processors: cap }) }, { name: OTHER_TEAM, keys: [], weight: 1_000, cap: resources({}) }], maximumBodyBytes: 1_000 }
    this.store.put(DESIRED_KEY, JSON.stringify(state))
  }

  get coordinator (): JobCoordinator {
    if (this.#coordinator === undefined) throw new Error('there is no coordinator')
    return this.#coordinator
  }

  /** Ends the term of the coordinator and starts the next one. */
  async elect (): Promise<void> {
    const { clock } = this
    this.#coordinator?.close()
    this.store.put(COORDINATOR_KEY, '')
    const fence = this.store.items.get(COORDINATOR_KEY)?.revision ?? 0
    const desired = new DesiredStateWatcher({ store: this.store, prefix: OPERATOR_PREFIX, key: DESIRED_KEY, evacuationPrefix: EVACUATION_PREFIX, parse: text => JSON.parse(text) as DesiredState, clock, logger: this.#logger })
    this.#desired?.pause()
    this.#desired = desired
    desired.follow()
    const lanes = new AdviceLanes(clock)
    lanes.setLanes([{ name: 'own', advisor: { ask: async ({ targets }) => await clock.sleep(30).then(() => targets.filter(id => id !== `worker-${FORBIDDEN_TARGET}`).map(id => ({ target: id, ticket: this.#targetOf(id).issueTicket() }))) }, weight: 1 }])
    let hasAuthority = true
    const mayAct = (): boolean => hasAuthority && this.#coordinator === coordinator
    const connect: JobTargetConnector = (address, incarnation) => (this.#targets[Number(address)] as SimulatedTarget).connect(incarnation)
    const coordinator: JobCoordinator = new JobCoordinator({
      store: this.store,
      clock,
      logger: this.#logger,
      metrics: this.metrics,
      admitsByExpectedEnd: true,
      info: { instance: `entry-${fence}`, address: '', fence, lease: 1 },
      connect: this.#options.wrapConnector?.(connect, { fence, clock, hasAuthority: mayAct }) ?? connect,
      prepareConnections: async () => {},
      directory: { list: async () => this.#targets.flatMap(({ listed, draining, bornMs, capacity }, number) => listed ? [{ id: `worker-${number}`, bornMs, address: String(number), service: TEST_QUEUE.service, dataCentre: this.#options.dataCentreOf?.(number) ?? '', capacity, labels: this.#labelsOf(number), draining }] : []) },
      desired,
      ...(this.#options.remoteFactor === undefined ? {} : { remoteFactor: this.#options.remoteFactor }),
      lanes,
      hasAuthority: mayAct,
      storeFails: () => false,
      confirmLeadership: async () => true,
      resign: () => { hasAuthority = false },
      renewElection: () => {},
      targetLeaseMs: 9_500,
      finishedJobMs: 600_000
    })
    this.#coordinator = coordinator
    const opened = coordinator.open()
    await clock.advance(500)
    await opened
  }

  async startSuccessor (gapMs: number): Promise<void> {
    this.coordinator.close()
    await this.clock.advance(gapMs)
    await this.elect()
  }

  restartTarget (number: number, start: IncarnationStart = {}): void {
    this.#hasRestarts = true
    this.target(number).restart(start)
  }

  target (number: number): SimulatedTarget {
    const target = this.#targets[number]
    if (target === undefined) throw new Error(`there is no target ${number}`)
    return target
  }

  #targetOf (id: string): SimulatedTarget {
    return this.target(Number(id.slice('worker-'.length)))
  }

  /** The targets that are listed, not draining and without a fault. */
  get offeredTargets (): readonly OfferedTarget[] {
    return this.#targets.flatMap(({ listed, draining, fault, running, capacity }, number) => listed && !draining && fault === 'none' ? [{ number, running, capacity, labels: this.#labelsOf(number) }] : [])
  }

  #labelsOf (number: number): readonly string[] {
    return this.#options.rackOf === undefined ? [] : ['a', this.#options.rackOf(number)]
  }

  /** Whether the advisor of the queue, if it has one now, allows the target. */
  permits (queue: string, number: number): boolean {
    return this.#queues.find(({ name }) => name === queue)?.advice === undefined || number !== FORBIDDEN_TARGET
  }

  /** Processors that the team may use; 0 without a limit. */
  capOf (team: string): number {
    return team === OTHER_TEAM ? 0 : this.#cap
  }

  /** Team of the job of a task, by the name of the task. */
  teamOf (task: string): string | undefined {
    return this.#teams.get(task.slice(0, task.indexOf('.')))
  }

  get running (): readonly string[] {
    return this.#targets.flatMap(target => target.running)
  }

  failCommits (faults: readonly CommitFault[]): void {
    this.store.commitFaults.push(...faults)
  }

  /** Requests or takes back the evacuation of a data centre, as the operator of the platform does. */
  evacuate (dataCentre: string, isEvacuated = true): void {
    if (isEvacuated) this.store.put(`${EVACUATION_PREFIX}${dataCentre}`, '{}')
    else this.store.remove(`${EVACUATION_PREFIX}${dataCentre}`)
    this.store.wake()
  }

  delaySnapshots (delayMs: number): void {
    this.store.snapshotDelayMs = delayMs
  }

  /** Submits a job that counts as accepted when it is durable. */
  submit (kind: string, queue: QueueSettings, steps: readonly StepDefinition[], overrides: Partial<JobDefinition> = {}, team = 'weavers'): string {
    const id = `${kind}-${this.#submittedJobs++}`
    const { coordinator } = this
    this.#definitions.set(id, steps)
    this.#teams.set(id, team)
    if (queue.advice !== undefined) this.#ticketValidities.set(id, queue.advice.ticketValidityMs)
    const record = createJobRecord(id, steps)
    const durable = coordinator.applyAndAppend([...coordinator.missingQueueRecords(queue), { ...record, team, queue: queue.name, acceptedWallMs: this.clock.wallMs(), definition: { ...record.definition, ...overrides } }])
    const job = coordinator.table.jobs.get(id)
    if (job !== undefined) coordinator.enqueueJob(job)
    durable.then(() => this.accepted.set(id, kind), () => {})
    return id
  }

  endFaults (): void {
    this.store.commitDelayMs = 0
    for (const each of this.#targets) each.endFaults()
  }

  /** Runs so far that must not have been started, on any target. */
  findRepeatedRuns (): readonly string[] {
    return this.#recorder.findRepeatedRuns()
  }

  /** Ends all faults, and returns the accepted jobs that are not what they should be a while later. */
  async findStuckJobs (): Promise<readonly string[]> {
    this.endFaults()
    await this.clock.advance(RECOVERY_MS)
    const { table } = this.coordinator
    const { running } = this
    return [...this.accepted].filter(([id, kind]) => {
      const state = table.finished.get(id)?.state
      // A job under which targets crashed may have been given up.
      if (state === 'failed' && this.#hasRestarts) return false
      return kind === 'lasting' ? !running.includes(`${id}.0.0.0`) : state !== 'completed'
    }).map(([id]) => {
      const tasks = table.jobs.get(id)?.steps.flatMap(step => step.tasks.map(task => `${task.name} ${task.state} ${task.attempt} ${task.placedOn}`)) ?? []
      return `${id}: ${tasks.join(', ')}`
    })
  }

  close (): void {
    this.#coordinator?.close()
  }
}
