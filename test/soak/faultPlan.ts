/** Generates the fault plan of a soak run from its seed. */
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import { STORE_FAULTS } from '../../src/platform/standIn/standInStore.ts'
import type { StoreFault } from '../../src/platform/standIn/standInStore.ts'
import { LINK_FAULTS } from '../processes/tcpForwarder.ts'
import type { LinkFault } from '../processes/tcpForwarder.ts'

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
  return [...plan, ...createShrinkingPlan({ seed, durationMs, workers })].sort((left, right) => left.atMs - right.atMs)
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
