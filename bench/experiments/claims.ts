/** Measures claims per second, their store writes, and the waiting time that a claim adds. */
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import { BenchCluster, SEED } from '../cluster.ts'
import { TAMRALIPTA } from '../deployments.ts'
import { Outcomes, runStream } from '../load.ts'
import { printTable } from '../table.ts'
import type { TableCell } from '../table.ts'

const RATES = [100, 300]
const DURATION_MS = 10_000
const RUN_MS = 20
/** A call to the platform's store takes a few milliseconds. */
const STORE_DELAY_MS = 3

async function measure (perSecond: number, repeatable: boolean): Promise<readonly TableCell[]> {
  const cluster = await BenchCluster.start({ deployment: TAMRALIPTA })
  cluster.storeDelayMs = STORE_DELAY_MS
  const outcomes = new Outcomes()
  cluster.resetCounts()
  const startedAt = cluster.clock.monotonicMs()
  await runStream(cluster, {
    perSecond,
    durationMs: DURATION_MS,
    outcomes,
    random: new SeededRandom(SEED),
    create: () => ({ team: 'counter', kind: 'urgent', size: { slots: 1 }, runMs: RUN_MS, deadlineMs: 5_000, repeatable })
  })
  const seconds = (cluster.clock.monotonicMs() - startedAt) / 1_000
  const rate = (method: string): string => ((cluster.storeCalls.get(method) ?? 0) / seconds).toFixed(1)
  const row = [
    repeatable ? 'no claim' : 'claimed', perSecond, (outcomes.finished / seconds).toFixed(1), rate('put'), rate('get'), rate('list'),
    ...[50, 99, 100].map(percentile => outcomes.waitMs(percentile).toFixed(1)),
    [...outcomes.refusals].map(([code, count]) => `${code} ${count}`).join(', ') || '-'
  ]
  await cluster.stop()
  return row
}

/** Runs in real time; the store responds after 3 ms. */
export async function runClaimsBench (): Promise<void> {
  const rows: (readonly TableCell[])[] = []
  for (const perSecond of RATES) for (const repeatable of [true, false]) rows.push(await measure(perSecond, repeatable))
  printTable('claims (Tamralipta): waiting times in milliseconds, store calls of the whole cluster',
    ['work', 'offered/s', 'finished/s', 'writes/s', 'gets/s', 'lists/s', 'p50', 'p99', 'max', 'refused'], rows)
}
