/** Measures the heap of one instance: loaded modules, a started instance, and the increase per target, team, task, request and claim. */
import { SystemClock } from '../../src/adapters/clock/systemClock.ts'
import { StandInTarget } from '../../src/adapters/target/standInTarget.ts'
import { BenchCluster, SEED } from '../cluster.ts'
import { createTargets, KLADOSEIRA } from '../deployments.ts'
import type { Deployment } from '../deployments.ts'
import { BYTES_PER_MB, heapBytes } from '../heap.ts'
import { Outcomes, runStream, sendRequest } from '../load.ts'
import type { RequestSpec } from '../load.ts'
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import { printTable } from '../table.ts'
import type { TableCell } from '../table.ts'

const BASE_WORKERS = 20
const LARGE_WORKERS = 220
const BASE_TEAMS = 6
const LARGE_TEAMS = 106
const TASKS = 1_000
const WAITING = 1_000
const CLAIMS = 2_000
const CLAIMS_PER_SECOND = 400
const SETTLE_MS = 3_000
const LONG_DURATION_MS = 600_000

const SINGLE: Deployment = { ...KLADOSEIRA, dataCentres: KLADOSEIRA.dataCentres.slice(0, 1), instances: 1, runners: 0, workers: BASE_WORKERS }

function withTeams (count: number): Deployment {
  return { ...SINGLE, teams: Array.from({ length: count }, (_, index) => ({ team: `team-${index}`, share: 1 })) }
}

async function heapOfStartedCluster (deployment: Deployment): Promise<number> {
  const before = heapBytes()
  const cluster = await BenchCluster.start({ deployment })
  await cluster.clock.sleep(SETTLE_MS)
  const after = heapBytes()
  await cluster.stop()
  return after - before
}

/** Heap per stand-in target alone, which is subtracted from the measured heap. */
function standInTargetBytes (): number {
  const before = heapBytes()
  const infos = createTargets({ ...SINGLE, workers: LARGE_WORKERS })
  const kept = infos.map(info => new StandInTarget(info, new SystemClock()))
  return (heapBytes() - before) / kept.length
}

function standInTaskBytes (): number {
  const clock = new SystemClock()
  const [info] = createTargets({ ...SINGLE, workers: 1 })
  const target = new StandInTarget({ ...info!, capacity: { ...info!.capacity, processors: 1e9, memory: 1e9 } }, clock)
  const before = heapBytes()
  for (let index = 0; index < TASKS; index++) {
    target.start({
      taskId: `request-${index}.1`,
      team: 'renders',
      requestId: `request-${index}`,
      kind: 'service',
      name: 'default',
      size: { slots: 0, processors: 100, memory: 100, accelerators: 0 },
      payload: { runMs: LONG_DURATION_MS, answer: 1 },
      epoch: 1,
      startByWallMs: clock.wallMs() + LONG_DURATION_MS,
      leaseMs: LONG_DURATION_MS,
      detached: true
    })
  }
  const bytes = (heapBytes() - before) / TASKS
  target.crash()
  return bytes
}

async function heapPerRequest (count: number, spec: RequestSpec): Promise<number> {
  const cluster = await BenchCluster.start({ deployment: SINGLE })
  const outcomes = new Outcomes()
  await cluster.clock.sleep(SETTLE_MS)
  const before = heapBytes()
  for (let index = 0; index < count; index++) sendRequest(cluster, cluster.instances[0]!, spec, outcomes, cluster.clock.monotonicMs()).catch(() => {})
  await cluster.clock.sleep(SETTLE_MS)
  const bytes = (heapBytes() - before) / count
  await cluster.stop()
  return bytes
}

async function heapPerClaim (): Promise<number> {
  const cluster = await BenchCluster.start({ deployment: { ...SINGLE, runners: 30 } })
  const spec: RequestSpec = { team: 'prices', kind: 'urgent', size: { slots: 1 }, runMs: 1, deadlineMs: 5_000 }
  const send = async (repeatable: boolean): Promise<number> => {
    const before = heapBytes()
    const outcomes = new Outcomes()
    await runStream(cluster, {
      perSecond: CLAIMS_PER_SECOND,
      durationMs: CLAIMS / CLAIMS_PER_SECOND * 1_000,
      outcomes,
      random: new SeededRandom(SEED),
      create: () => ({ ...spec, repeatable })
    })
    await cluster.clock.sleep(SETTLE_MS)
    return (heapBytes() - before) / outcomes.finished
  }
  await send(true)
  const withoutClaim = await send(true)
  const withClaim = await send(false)
  await cluster.stop()
  return withClaim - withoutClaim
}

/** Runs in real time. Heap after garbage collection in one process; rows marked as less the stand-in subtract its separately measured heap. */
export async function runMemoryBench (): Promise<void> {
  const loaded = heapBytes()
  const base = await heapOfStartedCluster(SINGLE)
  const targets = await heapOfStartedCluster({ ...SINGLE, workers: LARGE_WORKERS })
  const fewTeams = await heapOfStartedCluster(withTeams(BASE_TEAMS))
  const moreTeams = await heapOfStartedCluster(withTeams(LARGE_TEAMS))
  const service: RequestSpec = { team: 'renders', kind: 'service', size: { processors: 500, memory: 512 }, runMs: LONG_DURATION_MS, deadlineMs: 60_000 }
  const waiting: RequestSpec = { team: 'renders', kind: 'batch', size: { processors: 64_000, memory: 1_024 }, runMs: LONG_DURATION_MS, deadlineMs: LONG_DURATION_MS }
  const running = await heapPerRequest(TASKS, service)
  const queued = await heapPerRequest(WAITING, waiting)
  const claim = await heapPerClaim()
  const standInTarget = standInTargetBytes()
  const standInTask = standInTaskBytes()
  const kilobytes = (bytes: number): string => (bytes / 1_024).toFixed(2)
  const perTarget = (targets - base) / (LARGE_WORKERS - BASE_WORKERS)
  const rows: (readonly TableCell[])[] = [
    ['heap with all modules loaded, before an instance', kilobytes(loaded)],
    [`one started instance with ${BASE_WORKERS} targets and their stand-ins`, kilobytes(base)],
    ['target, with its stand-in', kilobytes(perTarget)],
    ['target, less the stand-in alone', kilobytes(perTarget - standInTarget)],
    ['team', kilobytes((moreTeams - fewTeams) / (LARGE_TEAMS - BASE_TEAMS))],
    ['running task, with its stand-in', kilobytes(running)],
    ['running task, less the stand-in alone', kilobytes(running - standInTask)],
    ['waiting request', kilobytes(queued)],
    ['claim within the retention period, store included', kilobytes(claim)]
  ]
  printTable(`memory, KB of heap (1 MB = ${BYTES_PER_MB} bytes)`, ['part', 'KB'], rows)
}
