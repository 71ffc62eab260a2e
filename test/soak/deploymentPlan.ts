/** Generates the disruptions of a run at the size of a large deployment: planned work in series, overlapping faults, and a loss of all instances. */
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import type { StoreFault } from '../../src/platform/standIn/standInStore.ts'
import type { Fault, PlannedFault, PlanOptions } from './faultPlan.ts'

/** `planned`: stops, reloads and changes alone, so that each call that ends without an answer can be judged; `faults`: the others alone. */
export const PROFILES = ['planned', 'faults', 'both'] as const
export type Profile = typeof PROFILES[number]

const WARM_UP_MS = 5_000
/** Room between the last disruption of the plan and the loss of all instances. */
const QUIET_END_MS = 1_000
const MEAN_FAULT_INTERVAL_MS = 1_800
const MEAN_CHANGE_INTERVAL_MS = 4_000
const CAP_FACTORS = [0.3, 0.7, 1]
const STORE_FAULTS: readonly StoreFault[] = ['losing', 'late', 'slow', 'refusing', 'silent']

/**
 * Returns the disruptions in chronological order; the same options produce the same plan.
 *
 * @example
 * const plan = createDeploymentPlan({ seed: 7, durationMs: 30_000, instances: 35, workers: 246 }, 'both')
 */
export function createDeploymentPlan (options: PlanOptions, profile: Profile): readonly PlannedFault[] {
  const random = new SeededRandom(options.seed)
  const plan: PlannedFault[] = []
  if (profile !== 'faults') plan.push(...createSeriesOfStops(random, options), ...createChanges(random, options))
  if (profile !== 'planned') plan.push(...createFaults(random, options))
  return plan.filter(({ atMs }) => atMs < options.durationMs - QUIET_END_MS).sort((left, right) => left.atMs - right.atMs)
}

/** Stops all instances in turn, one or two at a time; some get a second signal during the stop. */
function createSeriesOfStops (random: SeededRandom, { durationMs, instances }: PlanOptions): readonly PlannedFault[] {
  const plan: PlannedFault[] = []
  const width = 1 + random.integer(2)
  const gapMs = 1_000 + random.integer(1_000)
  for (let atMs = WARM_UP_MS, next = random.integer(instances); atMs < durationMs; atMs += gapMs) {
    for (let count = 0; count < width; count++, next++) {
      const instance = next % instances
      plan.push({ atMs, fault: { type: 'stop', instance, forMs: 300 + random.integer(1_500) } })
      const second = random.next()
      const laterMs = atMs + 50 + random.integer(4_000)
      if (second < 0.2) plan.push({ atMs: laterMs, fault: { type: 'terminate-again', instance } })
      else if (second < 0.4) plan.push({ atMs: laterMs, fault: { type: 'hangup', instance } })
    }
  }
  return plan
}

/** Changes the caps up and down, some of them beside a reload of an instance. */
function createChanges (random: SeededRandom, { durationMs, instances }: PlanOptions): readonly PlannedFault[] {
  const plan: PlannedFault[] = []
  for (let atMs = WARM_UP_MS; atMs < durationMs; atMs += MEAN_CHANGE_INTERVAL_MS * 2 * random.next()) {
    plan.push({ atMs: Math.round(atMs), fault: { type: 'caps', factor: pick(random, CAP_FACTORS) } })
    if (random.next() < 0.6) plan.push({ atMs: Math.round(atMs) + random.integer(200), fault: { type: 'hangup', instance: random.integer(instances) } })
  }
  return plan
}

function createFaults (random: SeededRandom, options: PlanOptions): readonly PlannedFault[] {
  const plan: PlannedFault[] = []
  for (let atMs = WARM_UP_MS; atMs < options.durationMs; atMs += MEAN_FAULT_INTERVAL_MS * 2 * random.next()) {
    plan.push(...createRandomFaults(random, options).map(fault => ({ atMs: Math.round(atMs), fault })))
  }
  return plan
}

function createRandomFaults (random: SeededRandom, { instances, workers }: PlanOptions): readonly Fault[] {
  const forMs = 500 + random.integer(4_500)
  const all = Array.from({ length: instances }, (_, index) => index)
  const someTargets = Array.from({ length: Math.ceil(workers / 10) }, () => random.integer(workers))
  const generators: readonly (() => readonly Fault[])[] = [
    () => [{ type: 'coordinator', how: 'kill', forMs }],
    () => [{ type: 'coordinator', how: 'kill', forMs }],
    () => [{ type: 'coordinator', how: 'pause', forMs }],
    () => [{ type: 'kill', instances: random.integer(4) === 0 ? all : all.filter(() => random.integer(4) === 0), forMs }],
    () => [{ type: 'store', fault: pick(random, STORE_FAULTS), instances: all, forMs, share: pick(random, [0.35, 0.35, 1]) }],
    () => [{ type: 'store', fault: pick(random, STORE_FAULTS), instances: [random.integer(instances)], forMs }],
    () => [{ type: 'store', fault: 'late', instances: all, forMs: forMs + 2_000, share: 0.35 }],
    () => someTargets.map(worker => ({ type: 'worker-crash', worker })),
    () => someTargets.map(worker => ({ type: 'worker-late', worker, forMs })),
    () => someTargets.map(worker => ({ type: 'worker-drain', worker })),
    () => someTargets.map(worker => ({ type: 'worker-shrink', worker, processors: 9_000 + random.integer(18_000), forMs: forMs + 4_000 })),
    () => [{ type: 'compaction' }]
  ]
  return pick(random, generators)()
}

function pick<Value> (random: SeededRandom, values: readonly Value[]): Value {
  return values[random.integer(values.length)] as Value
}
