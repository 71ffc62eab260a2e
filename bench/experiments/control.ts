/** Measures the control-plane cost per entry instance: processor time, heap, bytes of peer messages, store calls. */
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import { BenchCluster, SEED } from '../cluster.ts'
import { KLADOSEIRA, TWELVE_DATA_CENTRES } from '../deployments.ts'
import type { Deployment } from '../deployments.ts'
import { BYTES_PER_MB, heapBytes } from '../heap.ts'
import { Outcomes, runStream } from '../load.ts'
import { printTable } from '../table.ts'
import type { TableCell } from '../table.ts'

const INSTANCE_COUNTS = [3, 7, 14, 31]
const MEASURED_MS = 8_000
/** Long enough for ownership to become stable and for each instance to have exchanged messages with each remote instance. */
const WARM_UP_MS = 32_000
const BUSY_WARM_UP_MS = 3_000
/** Load per instance in the busy runs. */
const STARTS_PER_SECOND = 10
const BUSY_RUN_MS = 1_000
const READS = ['get', 'list']
const WRITES = ['put', 'delete']

function sumCalls (calls: ReadonlyMap<string, number>, methods: readonly string[]): number {
  return methods.reduce((sum, method) => sum + (calls.get(method) ?? 0), 0)
}

async function applyLoad (cluster: BenchCluster, busy: boolean, durationMs: number): Promise<void> {
  if (!busy) return await cluster.clock.sleep(durationMs)
  const teams = KLADOSEIRA.teams
  await runStream(cluster, {
    perSecond: STARTS_PER_SECOND * cluster.instances.length,
    durationMs,
    outcomes: new Outcomes(),
    random: new SeededRandom(SEED),
    create: index => ({
      team: teams[index % teams.length]!.team, kind: 'batch', size: { processors: 2_000, memory: 2_048 }, runMs: BUSY_RUN_MS, deadlineMs: 5_000
    })
  })
}

interface Result {
  readonly row: readonly TableCell[]
  readonly parts: ReadonlyMap<string, number>
}

async function measure (deployment: Deployment): Promise<readonly Result[]> {
  const heapBefore = heapBytes()
  const cluster = await BenchCluster.start({ deployment })
  await cluster.clock.sleep(WARM_UP_MS)
  const idle = await measureLoad(cluster, deployment, false, heapBefore)
  await applyLoad(cluster, true, BUSY_WARM_UP_MS)
  const busy = await measureLoad(cluster, deployment, true, heapBefore)
  await cluster.stop()
  return [idle, busy]
}

async function measureLoad (cluster: BenchCluster, deployment: Deployment, busy: boolean, heapBefore: number): Promise<Result> {
  cluster.resetCounts()
  const startedAt = cluster.clock.monotonicMs()
  const processorBefore = process.cpuUsage()
  await applyLoad(cluster, busy, MEASURED_MS)
  const processor = process.cpuUsage(processorBefore)
  const seconds = (cluster.clock.monotonicMs() - startedAt) / 1_000
  const perInstance = (value: number): number => value / seconds / deployment.instances
  const heap = (heapBytes() - heapBefore) / deployment.instances / BYTES_PER_MB
  const { storeCalls } = cluster
  const perSecond = (methods: readonly string[]): string => (sumCalls(storeCalls, methods) / seconds).toFixed(1)
  const row = [
    deployment.instances, deployment.dataCentres.length, busy ? 'busy' : 'idle',
    (perInstance(processor.user + processor.system) / 1e4).toFixed(2), heap.toFixed(2), Math.round(perInstance(cluster.bytes.total)),
    perSecond(READS), perSecond(WRITES), perSecond(['watch'])
  ]
  return { row, parts: new Map([...cluster.bytes.parts].map(([part, bytes]) => [part, Math.round(perInstance(bytes))])) }
}

/** Runs in real time. The stand-ins for store, instance list and targets run in the same process and are included. */
export async function runControlBench (): Promise<void> {
  const results: Result[] = []
  const layouts = [...INSTANCE_COUNTS.map(instances => ({ ...KLADOSEIRA, instances })), { ...KLADOSEIRA, instances: 31, dataCentres: TWELVE_DATA_CENTRES }]
  for (const deployment of layouts) results.push(...await measure(deployment))
  printTable('control plane, per instance; bytes sent by one instance (each message is counted at its sender); store calls of the whole cluster',
    ['instances', 'centres', 'load', 'core %', 'heap MB', 'B/s', 'reads/s', 'writes/s', 'watches/s'], results.map(({ row }) => row))
  const parts = [...new Set(results.flatMap(result => [...result.parts.keys()]))]
  printTable('peer messages by part, bytes per second and instance', ['instances', 'centres', 'load', ...parts],
    results.map(result => [...result.row.slice(0, 3), ...parts.map(part => result.parts.get(part) ?? 0)]))
}
