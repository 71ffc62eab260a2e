/** Measures decisions per second on one core and the latency of a decision, compared with the naive scheduler. */
import { performance } from 'node:perf_hooks'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { SeededRandom } from '../src/adapters/random/seededRandom.ts'
import { resources } from '../src/model/resources.ts'
import type { Resources } from '../src/model/resources.ts'
import type { KindName } from '../src/model/request.ts'
import type { TargetInfo } from '../src/model/target.ts'
import { findWorkload } from '../src/workloads/registry.ts'
import { IndexedScheduler, NaiveScheduler } from './schedulers.ts'
import type { BenchEntry, ClusterSetup, BenchScheduler } from './schedulers.ts'

const SEED = 42
const WORKER_COUNTS = [10, 30, 100, 300, 1_000, 2_600]
const TEAM_COUNTS = [6, 100]
const RUNNING_PER_WORKER = 11_000 / 2_600
const QUEUE_LENGTH = 1_000
const DECISIONS = 20_000
/** Decisions before the measurement, during which the code is compiled. */
const WARM_UP_DECISIONS = 3_000
/** Fewer decisions for the naive scheduler, which scans queue and targets, so that a run takes a minute or two. */
const NAIVE_DECISIONS = 200
const NAIVE_WARM_UP_DECISIONS = 20
const MAX_RUNNERS = 260
/** Time between decisions at the peak rate of the largest planned cluster. */
const DECISION_INTERVAL_MS = 5
/** Task sizes on workers. */
interface LoadProfile {
  readonly name: string
  readonly cores: readonly number[]
  readonly megabytesPerCore: readonly number[]
}

/**
 * `partly`: the workers are never full. `full`: processors are exhausted before the desired number of tasks runs.
 * `memory`: memory is exhausted first, so that free processors, by which targets are indexed, are a poor filter.
 */
const LOADS: readonly LoadProfile[] = [
  { name: 'partly', cores: [4, 8, 16, 32], megabytesPerCore: [2_048, 4_096] },
  { name: 'full', cores: [8, 16, 32, 48], megabytesPerCore: [2_048, 4_096, 5_120] },
  { name: 'memory', cores: [4, 8, 16, 24], megabytesPerCore: [6_144, 8_192, 10_240] }
]
/** Distribution of the workload kinds; a fifth are services. */
const KINDS: readonly KindName[] = ['urgent', 'urgent', 'service', 'service', 'batch', 'batch', 'batch', 'batch', 'batch', 'gang']
const MAX_GANG_SIZE = 8

interface Measurement {
  readonly perSecond: number
  readonly histogram: Histogram
  /** Fraction of the decisions that placed an entry. */
  readonly placed: number
  readonly running: number
}

function createTarget (id: string, type: TargetInfo['type'], rack: string, capacity: Resources): TargetInfo {
  const features = { fencing: true, startBy: true, inventory: true, checkpoint: true }
  return { id, type, address: '', dataCentre: 'd', region: 'r', rack, capacity, connections: 64, features, leaving: false }
}

function createCluster (workers: number, teams: number, clock: ClusterSetup['clock']): ClusterSetup {
  const runners = Math.min(workers, MAX_RUNNERS)
  return {
    targets: [
      ...Array.from({ length: workers }, (_, index) =>
        createTarget(`w${index}`, 'worker', `rack${index >> 3}`, resources({ processors: 64_000, memory: 262_144 }))),
      ...Array.from({ length: runners }, (_, index) => createTarget(`r${index}`, 'runner', `rack${index >> 3}`, resources({ slots: 8 })))
    ],
    weights: new Map(Array.from({ length: teams }, (_, index) => [`team${index}`, 1 + index % 5])),
    clock
  }
}

/** Generates requests of mixed kinds and sizes; a few teams send most of them. */
class RequestGenerator {
  readonly #random: SeededRandom
  readonly #teams: number
  readonly #load: LoadProfile
  #created = 0

  constructor (teams: number, load: LoadProfile) {
    this.#random = new SeededRandom(SEED)
    this.#teams = teams
    this.#load = load
  }

  create (): BenchEntry {
    const kind = KINDS[this.#random.integer(KINDS.length)]!
    const team = `team${Math.floor(this.#random.next() ** 2 * this.#teams)}`
    const cores = kind === 'gang' ? this.#load.cores[0]! : this.#pick(this.#load.cores)
    const memory = cores * this.#pick(this.#load.megabytesPerCore)
    const size = kind === 'urgent' ? resources({ slots: 1 }) : resources({ processors: cores * 1_000, memory })
    const tasks = kind === 'gang' ? 2 + this.#random.integer(MAX_GANG_SIZE - 1) : 1
    const id = this.#created++
    const value = Array.from({ length: tasks }, (_, index) => `${id}-${index}`)
    return { team, kind, urgency: findWorkload(kind).urgency, size, tasks, bytes: 1_024, deadlineAt: Infinity, value }
  }

  #pick (values: readonly number[]): number {
    return values[this.#random.integer(values.length)]!
  }
}

/** Keeps the number of running tasks near the desired number, with a queue of constant length. */
class DecisionRun {
  readonly #scheduler: BenchScheduler
  readonly #generator: RequestGenerator
  readonly #random = new SeededRandom(SEED + 1)
  readonly #desiredRunning: number
  readonly #clock: { now: number }
  readonly #running: BenchEntry[] = []
  #runningTasks = 0
  #lastPlaced = true

  constructor (scheduler: BenchScheduler, generator: RequestGenerator, desiredRunning: number, clock: { now: number }) {
    this.#scheduler = scheduler
    this.#generator = generator
    this.#desiredRunning = desiredRunning
    this.#clock = clock
    for (let attempt = 0; attempt < desiredRunning * 2 && this.#runningTasks < desiredRunning; attempt++) {
      const entry = generator.create()
      if (scheduler.place(entry)) this.#recordStart(entry)
    }
    while (scheduler.queued < QUEUE_LENGTH) scheduler.push(generator.create())
  }

  get running (): number {
    return this.#runningTasks
  }

  /** Makes one decision: a running entry ends and the next queued entry that fits is placed. Returns its duration and result. */
  decide (): { readonly durationMs: number, readonly placed: boolean } {
    this.#clock.now += DECISION_INTERVAL_MS
    const ended = this.#runningTasks >= this.#desiredRunning || !this.#lastPlaced ? this.#takeRunning() : undefined
    const startedAt = performance.now()
    if (ended !== undefined) this.#scheduler.release(ended)
    const entry = this.#scheduler.next()
    const durationMs = performance.now() - startedAt
    this.#lastPlaced = entry !== undefined
    if (entry !== undefined) {
      this.#recordStart(entry)
      this.#scheduler.push(this.#generator.create())
    }
    return { durationMs, placed: this.#lastPlaced }
  }

  #recordStart (entry: BenchEntry): void {
    this.#running.push(entry)
    this.#runningTasks += entry.tasks
  }

  #takeRunning (): BenchEntry | undefined {
    if (this.#running.length === 0) return undefined
    const index = this.#random.integer(this.#running.length)
    const entry = this.#running[index]!
    this.#running[index] = this.#running.at(-1)!
    this.#running.pop()
    this.#runningTasks -= entry.tasks
    return entry
  }
}

interface MeasurementOptions {
  readonly workers: number
  readonly teams: number
  readonly load: LoadProfile
  readonly naive: boolean
  readonly warmUp: number
  readonly decisions: number
}

function measure ({ workers, teams, load, naive, warmUp, decisions }: MeasurementOptions): Measurement {
  const clock = { now: 0 }
  const cluster = createCluster(workers, teams, { monotonicMs: () => clock.now })
  const scheduler = naive ? new NaiveScheduler(cluster) : new IndexedScheduler(cluster, new SeededRandom(SEED + 2))
  const run = new DecisionRun(scheduler, new RequestGenerator(teams, load), Math.round(workers * RUNNING_PER_WORKER), clock)
  for (let count = 0; count < warmUp; count++) run.decide()
  const histogram = build({ numberOfSignificantValueDigits: 3 })
  let totalMs = 0
  let placed = 0
  for (let count = 0; count < decisions; count++) {
    const decision = run.decide()
    totalMs += decision.durationMs
    histogram.recordValue(Math.max(1, Math.round(decision.durationMs * 1e6)))
    if (decision.placed) placed++
  }
  return { perSecond: decisions / totalMs * 1_000, histogram, placed: placed / decisions, running: run.running }
}

function formatRow (cells: readonly (string | number)[]): string {
  return cells.map(cluster => String(cluster).padStart(10)).join(' ')
}

function formatMs (nanoseconds: number): string {
  return (nanoseconds / 1e6).toFixed(4)
}

function measureRow (load: LoadProfile, workers: number, teams: number): string {
  const { perSecond, histogram, placed, running } = measure({ workers, teams, load, naive: false, warmUp: WARM_UP_DECISIONS, decisions: DECISIONS })
  // The ratio compares the same first decisions of both, since the cluster fills up during a run.
  const shortRun = { workers, teams, load, warmUp: NAIVE_WARM_UP_DECISIONS, decisions: NAIVE_DECISIONS }
  const naive = measure({ ...shortRun, naive: true })
  const indexed = measure({ ...shortRun, naive: false })
  return formatRow([
    load.name, workers, teams, running, placed.toFixed(3), Math.round(perSecond), formatMs(histogram.getValueAtPercentile(50)),
    formatMs(histogram.getValueAtPercentile(99)), formatMs(histogram.maxValue), Math.round(naive.perSecond),
    (indexed.perSecond / naive.perSecond).toFixed(1)
  ])
}

/**
 * Prints decisions per second and the latency of a decision (release, dequeue and placement) for each cluster size.
 *
 * @example
 * await runDecisionBench()
 */
export async function runDecisionBench (): Promise<void> {
  console.log(`${QUEUE_LENGTH} queued entries; ${DECISIONS} decisions per row; seed ${SEED}; times in milliseconds`)
  console.log(formatRow(['load', 'workers', 'teams', 'running', 'placed', 'per second', 'p50', 'p99', 'max', 'naive/s', 'ratio']))
  for (const load of LOADS) {
    for (const workers of WORKER_COUNTS) for (const teams of TEAM_COUNTS) console.log(measureRow(load, workers, teams))
  }
}
