/** Kladoseira: measures the waiting time of price checks alone and during an overload of renders and stock batches. */
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import { BenchCluster, SEED } from '../cluster.ts'
import { KLADOSEIRA } from '../deployments.ts'
import { Outcomes, runStream } from '../load.ts'
import type { RequestSpec } from '../load.ts'
import { printTable } from '../table.ts'
import type { TableCell } from '../table.ts'

const CHECKS_PER_SECOND = 40
const CHECK_RUN_MS = 20
const MEASURED_MS = 20_000
/** The overload fills every slot and queue before the price checks start. */
const FLOOD_LEAD_MS = 12_000
/** Twice the capacity of 240 slots and 30 workers of 64 cores. */
const STOCK_PER_SECOND = 60
const RENDERS_PER_SECOND = 120
const FLOOD_RUN_MS = 8_000
const FLOOD_DEADLINE_MS = 20_000

const CHECK: RequestSpec = { team: 'prices', kind: 'urgent', size: { slots: 1 }, runMs: CHECK_RUN_MS, deadlineMs: 10_000 }
const STOCK: RequestSpec = { team: 'stock', kind: 'batch', size: { slots: 1 }, runMs: FLOOD_RUN_MS, deadlineMs: FLOOD_DEADLINE_MS }
const RENDER: RequestSpec = {
  team: 'renders', kind: 'batch', size: { processors: 4_000, memory: 8_192 }, runMs: FLOOD_RUN_MS, deadlineMs: FLOOD_DEADLINE_MS
}

function describe (load: string, kind: string, outcomes: Outcomes): readonly TableCell[] {
  const refused = [...outcomes.refusals].map(([code, count]) => `${code} ${count}`).join(', ')
  const times = [50, 99, 99.9, 100].map(percentile => outcomes.waitMs(percentile).toFixed(1))
  return [load, kind, outcomes.sent, outcomes.finished, ...times, refused || '-']
}

async function measure (withFlood: boolean): Promise<readonly (readonly TableCell[])[]> {
  const cluster = await BenchCluster.start({ deployment: KLADOSEIRA })
  const [checks, stock, renders] = [new Outcomes(), new Outcomes(), new Outcomes()]
  const flood: Promise<void>[] = []
  const durationMs = FLOOD_LEAD_MS + MEASURED_MS
  if (withFlood) {
    flood.push(runStream(cluster, { perSecond: STOCK_PER_SECOND, durationMs, create: () => STOCK, outcomes: stock, random: new SeededRandom(SEED) }))
    flood.push(runStream(cluster, { perSecond: RENDERS_PER_SECOND, durationMs, create: () => RENDER, outcomes: renders, random: new SeededRandom(SEED + 1) }))
    await cluster.clock.sleep(FLOOD_LEAD_MS)
  }
  await runStream(cluster, {
    perSecond: CHECKS_PER_SECOND, durationMs: MEASURED_MS, create: () => CHECK, outcomes: checks, random: new SeededRandom(SEED + 2)
  })
  await Promise.all(flood)
  await cluster.stop()
  if (!withFlood) return [describe('alone', 'price checks', checks)]
  return [describe('overload', 'price checks', checks), describe('overload', 'stock batches', stock), describe('overload', 'renders', renders)]
}

/** Runs in real time. The waiting time is measured from the intended start to the response head, minus the run time. */
export async function runWaitingBench (): Promise<void> {
  const rows = [...await measure(false), ...await measure(true)]
  printTable('waiting (Kladoseira), milliseconds from the intended start', ['load', 'work', 'sent', 'finished', 'p50', 'p99', 'p99.9', 'max', 'refused'], rows)
}
