/** Generates the fault plan of a soak run from its seed. */
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import { STORE_FAULTS } from '../../src/platform/standIn/standInStore.ts'
import type { StoreFault } from '../../src/platform/standIn/standInStore.ts'
import { DEFAULT_LATE_MS } from '../../src/platform/standIn/standInWorker.ts'
import { LINK_FAULTS } from '../processes/tcpForwarder.ts'
import type { LinkFault } from '../processes/tcpForwarder.ts'

/** A crash after which the next incarnation of each target executes the calls that it did not answer. */
export interface DarkCrash {
  readonly type: 'worker-dark-crash'
  readonly workers: readonly number[]
  readonly darkMs: number
  /** Delay of the calls that arrive shortly before the crash; they are executed at once if it is missing. */
  readonly lateMs?: number
  /** A partition of the targets that begins `afterMs` after they are up again. */
  readonly partition?: { readonly afterMs: number, readonly forMs: number }
}

/** `instance` and `worker` are zero-based indices; `forMs` is the duration in milliseconds. */
export type Fault =
  | { readonly type: 'kill', readonly instances: readonly number[], readonly forMs: number }
  | { readonly type: 'stop', readonly instance: number, readonly forMs: number }
  | { readonly type: 'pause', readonly instance: number, readonly forMs: number }
  | { readonly type: 'hangup', readonly instance: number }
  | { readonly type: 'store', readonly fault: StoreFault, readonly instances: readonly number[], readonly forMs: number, readonly share?: number }
  | { readonly type: 'store-link', readonly fault: LinkFault, readonly instance: number, readonly forMs: number }
  | { readonly type: 'compaction' }
  | { readonly type: 'caller-link', readonly fault: LinkFault, readonly instance: number, readonly forMs: number }
  | { readonly type: 'worker-link', readonly fault: LinkFault, readonly worker: number, readonly forMs: number }
  | { readonly type: 'worker-late', readonly worker: number, readonly forMs: number }
  | { readonly type: 'worker-crash', readonly worker: number }
  | DarkCrash
  | { readonly type: 'worker-drain', readonly worker: number }
  | { readonly type: 'configuration' }
  | { readonly type: 'terminate-again', readonly instance: number }
  | { readonly type: 'caps', readonly factor: number }
  | { readonly type: 'coordinator', readonly how: 'kill' | 'pause', readonly forMs: number }
  | { readonly type: 'worker-shrink', readonly worker: number, readonly processors: number, readonly forMs: number }

export interface PlannedFault {
  readonly atMs: number
  readonly fault: Fault
}

export interface PlanOptions {
  readonly seed: number
  readonly durationMs: number
  readonly instances: number
  readonly workers: number
}

/** Mean time between two faults; most last longer, so that they overlap. */
const MEAN_INTERVAL_MS = 900
const MIN_DURATION_MS = 300
const MAX_DURATION_MS = 5_000
/** Delay before the first fault, so that the cell has served some jobs. */
const WARM_UP_MS = 1_500
/** Probability that the previous fault is repeated on the same component. */
const REPEAT_PROBABILITY = 0.2
/** Targets shrink for longer than a coordinator may take to notice. */
const MEAN_SHRINKING_INTERVAL_MS = 3_000
const MIN_SHRINKING_MS = 7_000
/** Capacity in millicores; room for one to four tasks of the load. */
const SMALLEST_CAPACITY = 9_000
const SHRINKING_SEED_OFFSET = 1_000_000_007
const MEAN_DARK_CRASH_INTERVAL_MS = 5_000
/** Share of the run with dark crashes, so that the backlog of a partition of most targets can be worked off in time. */
const DARK_CRASH_SHARE = 0.5
const MAX_DARK_MS = 3_000
/** The platform executes a call without an answer up to 12 s later. */
const MAX_LATE_MS = 12_000
const MAX_PARTITION_DELAY_MS = 2_500
/** Up to the length of a lease, so that some partitions end shortly before it lapses and some after. */
const MIN_PARTITION_MS = 3_000
const MAX_PARTITION_MS = 11_000
const DARK_CRASH_SEED_OFFSET = 2_000_000_011

/**
 * Returns the faults in chronological order; the same options produce the same plan.
 *
 * @example
 * for (const { atMs, fault } of createFaultPlan({ seed: 7, durationMs: 30_000, instances: 3, workers: 6 })) schedule(atMs, fault)
 */
export function createFaultPlan ({ seed, durationMs, instances, workers }: PlanOptions): readonly PlannedFault[] {
  const random = new SeededRandom(seed)
  const plan: PlannedFault[] = []
  let atMs = WARM_UP_MS
  let previous: Fault | undefined
  while (atMs < durationMs) {
    const fault: Fault = previous !== undefined && random.next() < REPEAT_PROBABILITY ? previous : createRandomFault(random, instances, workers)
    plan.push({ atMs: Math.round(atMs), fault })
    previous = fault
    atMs += MEAN_INTERVAL_MS * 2 * random.next()
  }
  return [...plan, ...createShrinkingPlan({ seed, durationMs, workers }), ...createDarkCrashPlan({ seed, durationMs, workers })].sort((left, right) => left.atMs - right.atMs)
}

/** Drawn apart from the other faults, so that these stay the same for a seed. */
function createShrinkingPlan ({ seed, durationMs, workers }: Omit<PlanOptions, 'instances'>): readonly PlannedFault[] {
  const random = new SeededRandom(seed + SHRINKING_SEED_OFFSET)
  const plan: PlannedFault[] = []
  for (let atMs = WARM_UP_MS; atMs < durationMs; atMs += MEAN_SHRINKING_INTERVAL_MS * 2 * random.next()) {
    const processors = SMALLEST_CAPACITY + random.integer(SMALLEST_CAPACITY * 2)
    const forMs = MIN_SHRINKING_MS + random.integer(MIN_SHRINKING_MS)
    plan.push({ atMs: Math.round(atMs), fault: { type: 'worker-shrink', worker: random.integer(workers), processors, forMs } })
  }
  return plan
}

/** Drawn apart from the other faults, so that these stay the same for a seed. */
function createDarkCrashPlan ({ seed, durationMs, workers }: Omit<PlanOptions, 'instances'>): readonly PlannedFault[] {
  const random = new SeededRandom(seed + DARK_CRASH_SEED_OFFSET)
  const between = (min: number, max: number): number => min + random.integer(max - min)
  const plan: PlannedFault[] = []
  for (let atMs = WARM_UP_MS; atMs < durationMs * DARK_CRASH_SHARE; atMs += MEAN_DARK_CRASH_INTERVAL_MS * 2 * random.next()) {
    const worker = random.integer(workers)
    const several = Array.from({ length: workers }, (_, index) => index).filter(index => index === worker || random.integer(2) === 0)
    const fault: DarkCrash = {
      type: 'worker-dark-crash',
      workers: random.integer(2) === 0 ? several : [worker],
      darkMs: between(MIN_DURATION_MS, MAX_DARK_MS),
      ...(random.integer(2) === 0 ? { lateMs: between(DEFAULT_LATE_MS, MAX_LATE_MS) } : {}),
      ...(random.integer(2) === 0 ? { partition: { afterMs: random.integer(MAX_PARTITION_DELAY_MS), forMs: between(MIN_PARTITION_MS, MAX_PARTITION_MS) } } : {})
    }
    plan.push({ atMs: Math.round(atMs), fault })
  }
  return plan
}

/**
 * Returns the longest time by which a target may delay a call under the plan.
 *
 * @example
 * checkSoak({ ...record, longestDelayMs: findLongestDelay(plan) })
 */
export function findLongestDelay (plan: readonly PlannedFault[]): number {
  const crashes = plan.flatMap(({ fault }) => fault.type === 'worker-dark-crash' ? [fault] : [])
  // A delayed call that is due while its target is down waits until the next incarnation is up.
  return Math.max(DEFAULT_LATE_MS, ...crashes.map(({ lateMs = 0 }) => lateMs)) + Math.max(0, ...crashes.map(({ darkMs }) => darkMs))
}

function createRandomFault (random: SeededRandom, instances: number, workers: number): Fault {
  const pick = <T>(values: readonly T[]): T => values[random.integer(values.length)] as T
  const all = Array.from({ length: instances }, (_, index) => index)
  const instance = random.integer(instances)
  const worker = random.integer(workers)
  const forMs = MIN_DURATION_MS + random.integer(MAX_DURATION_MS - MIN_DURATION_MS)
  const generators: readonly (() => Fault)[] = [
    () => ({ type: 'kill', instances: random.integer(4) === 0 ? all : [instance], forMs }),
    () => ({ type: 'stop', instance, forMs }),
    () => ({ type: 'pause', instance, forMs }),
    () => ({ type: 'hangup', instance }),
    () => ({ type: 'store', fault: pick(STORE_FAULTS), instances: random.integer(2) === 0 ? all : [instance], forMs }),
    () => ({ type: 'store-link', fault: pick(LINK_FAULTS), instance, forMs }),
    () => ({ type: 'compaction' }),
    () => ({ type: 'caller-link', fault: pick(LINK_FAULTS), instance, forMs }),
    () => ({ type: 'worker-link', fault: pick(LINK_FAULTS), worker, forMs }),
    () => ({ type: 'worker-late', worker, forMs }),
    () => ({ type: 'worker-crash', worker }),
    () => ({ type: 'worker-drain', worker }),
    () => ({ type: 'configuration' })
  ]
  return pick(generators)()
}
