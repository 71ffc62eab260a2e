/** What one instance holds: runtime, libraries, a started instance, and slopes per target, team, task, request and claim. */
import { SystemClock } from '../../src/adapters/clock/systemClock.ts'
import { StandInTarget } from '../../src/adapters/target/standInTarget.ts'
import { BenchCell, SEED } from '../cell.ts'
import { createTargets, KLADOSEIRA } from '../deployments.ts'
import type { Deployment } from '../deployments.ts'
import { BYTES_PER_MB, heapBytes } from '../heap.ts'
import { Outcomes, runStream, sendOne } from '../load.ts'
import type { Shape } from '../load.ts'
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import { printTable } from '../table.ts'
import type { Cell } from '../table.ts'

const BASE_WORKERS = 20
const MORE_WORKERS = 220
const BASE_TEAMS = 6
const MORE_TEAMS = 106
const TASKS = 1_000
const WAITING = 1_000
const CLAIMS = 2_000
const CLAIMS_PER_SECOND = 400
const SETTLE_MS = 3_000
const LONG_MS = 600_000

const SINGLE: Deployment = { ...KLADOSEIRA, dataCentres: KLADOSEIRA.dataCentres.slice(0, 1), instances: 1, runners: 0, workers: BASE_WORKERS }

function withTeams (count: number): Deployment {
  return { ...SINGLE, teams: Array.from({ length: count }, (_, index) => ({ team: `team-${index}`, share: 1 })) }
}

async function startedHeap (deployment: Deployment): Promise<number> {
  const before = heapBytes()
  const cell = await BenchCell.start({ deployment })
  await cell.clock.sleep(SETTLE_MS)
  const after = heapBytes()
  await cell.stop()
  return after - before
}

/** Heap of the stand-ins alone, to be taken off. */
function standInTargetBytes (): number {
  const before = heapBytes()
  const infos = createTargets({ ...SINGLE, workers: MORE_WORKERS })
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
      payload: { runMs: LONG_MS, answer: 1 },
      epoch: 1,
      startByWallMs: clock.wallMs() + LONG_MS,
      leaseMs: LONG_MS,
      detached: true
    })
  }
  const bytes = (heapBytes() - before) / TASKS
  target.crash()
  return bytes
}

async function slope (count: number, shape: Shape): Promise<number> {
  const cell = await BenchCell.start({ deployment: SINGLE })
  const outcomes = new Outcomes()
  await cell.clock.sleep(SETTLE_MS)
  const before = heapBytes()
  for (let index = 0; index < count; index++) sendOne(cell, cell.instances[0]!, shape, outcomes, cell.clock.monotonicMs()).catch(() => {})
  await cell.clock.sleep(SETTLE_MS)
  const bytes = (heapBytes() - before) / count
  await cell.stop()
  return bytes
}

async function claimSlope (): Promise<number> {
  const cell = await BenchCell.start({ deployment: { ...SINGLE, runners: 30 } })
  const shape: Shape = { team: 'prices', kind: 'urgent', size: { slots: 1 }, runMs: 1, deadlineMs: 5_000 }
  const send = async (repeatable: boolean): Promise<number> => {
    const before = heapBytes()
    const outcomes = new Outcomes()
    await runStream(cell, {
      perSecond: CLAIMS_PER_SECOND,
      durationMs: CLAIMS / CLAIMS_PER_SECOND * 1_000,
      outcomes,
      random: new SeededRandom(SEED),
      create: () => ({ ...shape, repeatable })
    })
    await cell.clock.sleep(SETTLE_MS)
    return (heapBytes() - before) / outcomes.finished
  }
  await send(true)
  const plain = await send(true)
  const claimed = await send(false)
  await cell.stop()
  return claimed - plain
}

/** Real time; heap after collection in one process, with the stand-ins' part measured alone and taken off where it says so. */
export async function runMemoryBench (): Promise<void> {
  const loaded = heapBytes()
  const base = await startedHeap(SINGLE)
  const targets = await startedHeap({ ...SINGLE, workers: MORE_WORKERS })
  const fewTeams = await startedHeap(withTeams(BASE_TEAMS))
  const moreTeams = await startedHeap(withTeams(MORE_TEAMS))
  const service: Shape = { team: 'renders', kind: 'service', size: { processors: 500, memory: 512 }, runMs: LONG_MS, deadlineMs: 60_000 }
  const waiting: Shape = { team: 'renders', kind: 'batch', size: { processors: 64_000, memory: 1_024 }, runMs: LONG_MS, deadlineMs: LONG_MS }
  const running = await slope(TASKS, service)
  const queued = await slope(WAITING, waiting)
  const claim = await claimSlope()
  const standInTarget = standInTargetBytes()
  const standInTask = standInTaskBytes()
  const kilobytes = (bytes: number): string => (bytes / 1_024).toFixed(2)
  const perTarget = (targets - base) / (MORE_WORKERS - BASE_WORKERS)
  const rows: (readonly Cell[])[] = [
    ['heap with all modules loaded, before an instance', kilobytes(loaded)],
    [`one started instance with ${BASE_WORKERS} targets and their stand-ins`, kilobytes(base)],
    ['target, with its stand-in', kilobytes(perTarget)],
    ['target, less the stand-in alone', kilobytes(perTarget - standInTarget)],
    ['team', kilobytes((moreTeams - fewTeams) / (MORE_TEAMS - BASE_TEAMS))],
    ['running task, with its stand-in', kilobytes(running)],
    ['running task, less the stand-in alone', kilobytes(running - standInTask)],
    ['waiting request', kilobytes(queued)],
    ['claim within the retention period, store included', kilobytes(claim)]
  ]
  printTable(`memory, KB of heap (1 MB = ${BYTES_PER_MB} bytes)`, ['part', 'KB'], rows)
}
