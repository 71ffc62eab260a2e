/** Tamralipta: used fraction of the capacity under demand, compared with an offline packer that knows the actual sizes. */
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import { dominantFraction, fits, resources, subtractResources } from '../../src/model/resources.ts'
import type { Resources } from '../../src/model/resources.ts'
import { BenchCluster, SEED } from '../cluster.ts'
import { TAMRALIPTA } from '../deployments.ts'
import { Outcomes, runStream } from '../load.ts'
import type { RequestSpec } from '../load.ts'
import { printTable } from '../table.ts'
import type { TableCell } from '../table.ts'

const SETTLE_MS = 40_000
const MEASURED_MS = 20_000
const SAMPLE_MS = 1_000
const DEADLINE_MS = 60_000
const PER_SECOND = 60
const MIN_RUN_MS = 4_000
const RUN_SPREAD_MS = 6_000
const CORES = [2, 3, 4, 6, 8, 12]
const MB_PER_CORE = [1_024, 1_536, 2_048]
/** Actual usage as a fraction of the declared size, by name of the workload; varies by up to 5% per run. */
const USED_FRACTIONS = [1, 0.8, 0.6, 0.5]
const USE_NOISE = 0.05

interface BenchRequest extends RequestSpec {
  readonly name: string
  readonly use: Resources
}

/** Creates a request with one of several names. Requests of one name have the same size and use about the same fraction of it. */
function createRequest (random: SeededRandom, declaresActualUse: boolean): BenchRequest {
  const variant = random.integer(CORES.length * MB_PER_CORE.length)
  const processors = CORES[variant % CORES.length]! * 1_000
  const memory = processors / 1_000 * MB_PER_CORE[Math.floor(variant / CORES.length)]!
  const usedFraction = declaresActualUse ? 1 : USED_FRACTIONS[variant % USED_FRACTIONS.length]! * (1 - USE_NOISE * random.next())
  const use = resources({ processors: processors * usedFraction, memory: memory * usedFraction })
  const { team } = TAMRALIPTA.teams[variant % TAMRALIPTA.teams.length]!
  return {
    team, kind: 'batch', name: `work-${variant}`, size: { processors, memory }, use, runMs: MIN_RUN_MS + random.integer(RUN_SPREAD_MS), deadlineMs: DEADLINE_MS
  }
}

/** First-fit decreasing, which is within a few percent of the optimal packing for many small items. */
function packOffline (tasks: readonly Resources[]): number {
  const { workers, workerCapacity } = TAMRALIPTA
  const free = Array.from({ length: workers }, () => workerCapacity)
  const sorted = [...tasks].sort((left, right) => dominantFraction(right, workerCapacity) - dominantFraction(left, workerCapacity))
  let used = 0
  for (const task of sorted) {
    const index = free.findIndex(rest => fits(task, rest))
    if (index < 0) continue
    free[index] = subtractResources(free[index]!, task)
    used += task.processors
  }
  return used / (workers * workerCapacity.processors)
}

interface Averages {
  reserved: number
  used: number
  offline: number
  demand: number
}

/** Averages over the samples. The offline packer repacks all waiting and running tasks for each sample. */
async function sample (cluster: BenchCluster, openRequests: ReadonlyMap<string, BenchRequest>): Promise<Averages> {
  const sums: Averages = { reserved: 0, used: 0, offline: 0, demand: 0 }
  const samples = MEASURED_MS / SAMPLE_MS
  const total = TAMRALIPTA.workers * TAMRALIPTA.workerCapacity.processors
  for (let count = 0; count < samples; count++) {
    for (const target of cluster.standIns.values()) {
      for (const { requestId, size } of target.usage()) {
        sums.reserved += size.processors / total / samples
        sums.used += (openRequests.get(requestId)?.use.processors ?? 0) / total / samples
      }
    }
    const demand = [...openRequests.values()].map(({ use }) => use)
    sums.offline += packOffline(demand) / samples
    sums.demand += demand.reduce((sum, { processors }) => sum + processors, 0) / total / samples
    await cluster.clock.sleep(SAMPLE_MS)
  }
  return sums
}

async function measure (declaresActualUse: boolean): Promise<readonly TableCell[]> {
  const cluster = await BenchCluster.start({ deployment: TAMRALIPTA })
  const openRequests = new Map<string, BenchRequest>()
  const random = new SeededRandom(SEED)
  const stream = runStream(cluster, {
    perSecond: PER_SECOND,
    durationMs: SETTLE_MS + MEASURED_MS,
    outcomes: new Outcomes(),
    random: new SeededRandom(SEED + 1),
    create: () => createRequest(random, declaresActualUse),
    onSent: (id, shape) => openRequests.set(id, shape as BenchRequest),
    onEnded: id => { openRequests.delete(id) }
  })
  await cluster.clock.sleep(SETTLE_MS)
  const { reserved, used, offline, demand } = await sample(cluster, openRequests)
  await cluster.stop()
  stream.catch(() => {})
  const percent = (value: number): string => (value * 100).toFixed(1)
  return [declaresActualUse ? 'actual' : 'up to twice the usage', percent(demand), percent(reserved), percent(used), percent(offline), percent(used / offline)]
}

/** Runs in real time. */
export async function runPackingBench (): Promise<void> {
  const rows: (readonly TableCell[])[] = []
  for (const declaresActualUse of [true, false]) rows.push(await measure(declaresActualUse))
  printTable('packing (Tamralipta), % of the processors of all workers', ['declared sizes', 'demand', 'reserved', 'used', 'offline packer', 'used / offline'], rows)
}
