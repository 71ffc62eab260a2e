/** Tamralipta: measures the share of each team compared with its entitlement, and the unused part of a limit. */
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import { DIMENSIONS } from '../../src/model/resources.ts'
import { BenchCluster, SEED } from '../cluster.ts'
import { TAMRALIPTA } from '../deployments.ts'
import { Outcomes, runStream } from '../load.ts'
import { printTable } from '../table.ts'
import type { TableCell } from '../table.ts'

const SETTLE_MS = 30_000
const MEASURED_MS = 30_000
const SAMPLE_MS = 500
const RUN_MS = 6_000
const DEADLINE_MS = 60_000
/** Each team alone demands more than half of the cluster: 960 cores, 4 cores for 6 s per task, so that 40/s fill it. */
const PER_SECOND_PER_TEAM = 25
const LIMIT_CORES = 100

/** Average processors in use by team, as reported by the targets. */
async function sampleUse (cluster: BenchCluster): Promise<ReadonlyMap<string, number>> {
  const sums = new Map<string, number>()
  const samples = MEASURED_MS / SAMPLE_MS
  for (let sample = 0; sample < samples; sample++) {
    for (const target of cluster.standIns.values()) {
      for (const { team, size } of target.usage()) sums.set(team, (sums.get(team) ?? 0) + size.processors / samples)
    }
    await cluster.clock.sleep(SAMPLE_MS)
  }
  return sums
}

interface Result {
  readonly use: ReadonlyMap<string, number>
  /** Fraction of all started tasks that were checkpointed for another team, over the whole run. */
  readonly checkpointed: number
}

async function measure (teamSettings: Readonly<Record<string, number>>): Promise<Result> {
  const cluster = await BenchCluster.start({ deployment: TAMRALIPTA, teamSettings })
  const streams = TAMRALIPTA.teams.map(({ team }, index) => runStream(cluster, {
    perSecond: PER_SECOND_PER_TEAM,
    durationMs: SETTLE_MS + MEASURED_MS,
    outcomes: new Outcomes(),
    random: new SeededRandom(SEED + index),
    create: () => ({ team, kind: 'batch', size: { processors: 4_000, memory: 4_096 }, runMs: RUN_MS, deadlineMs: DEADLINE_MS })
  }))
  await cluster.clock.sleep(SETTLE_MS)
  const use = await sampleUse(cluster)
  const runs = [...cluster.standIns.values()].flatMap(target => target.history)
  await cluster.stop()
  for (const stream of streams) stream.catch(() => {})
  return { use, checkpointed: runs.filter(({ ending }) => ending === 'checkpointed').length / runs.length }
}

function capacity (): number {
  return TAMRALIPTA.workers * TAMRALIPTA.workerCapacity[DIMENSIONS[1]]
}

/** Runs in real time; all teams have demand throughout. */
export async function runSharesBench (): Promise<void> {
  const { use, checkpointed } = await measure({})
  const weights = TAMRALIPTA.teams.reduce((sum, { share }) => sum + share, 0)
  const rows: (readonly TableCell[])[] = TAMRALIPTA.teams.map(({ team, share }) => {
    const entitled = share / weights * 100
    const got = (use.get(team) ?? 0) / capacity() * 100
    return [team, share, entitled.toFixed(1), got.toFixed(1), (got - entitled).toFixed(1)]
  })
  printTable(`shares (Tamralipta), % of the processors of the cluster, average from 30 s to 60 s; ${(checkpointed * 100).toFixed(1)}% of all starts were checkpointed`, ['team', 'weight', 'entitled', 'got', 'gap'], rows)
  const { use: limited } = await measure({ limitProcessors: LIMIT_CORES * 1_000 })
  printTable(`stranded limit (Tamralipta), each team limited to ${LIMIT_CORES} cores, with higher demand`, ['team', 'used cores', 'stranded %'],
    TAMRALIPTA.teams.map(({ team }) => {
      const used = (limited.get(team) ?? 0) / 1_000
      return [team, used.toFixed(1), ((1 - used / LIMIT_CORES) * 100).toFixed(1)]
    }))
}
