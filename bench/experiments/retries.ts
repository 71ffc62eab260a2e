/** Measures sends per request while every target of one data centre fails all tasks. */
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import { BenchCluster, SEED } from '../cluster.ts'
import { KLADOSEIRA, TAMRALIPTA } from '../deployments.ts'
import type { Deployment } from '../deployments.ts'
import { Outcomes, runStream } from '../load.ts'
import { printTable } from '../table.ts'
import type { TableCell } from '../table.ts'

const PER_SECOND = 60
const DURATION_MS = 40_000
const RUN_MS = 100
const DEADLINE_MS = 5_000

function countSends (cluster: BenchCluster): number {
  return [...cluster.standIns.values()].reduce((sum, target) =>
    sum + target.history.length + Object.values(target.refusals).reduce((count, refusals) => count + refusals, 0), 0)
}

async function measure (deployment: Deployment): Promise<readonly TableCell[]> {
  const cluster = await BenchCluster.start({ deployment })
  const failing = deployment.dataCentres[0]!.name
  for (const target of cluster.standIns.values()) if (target.info.dataCentre === failing) target.failsEverything = true
  const outcomes = new Outcomes()
  const { teams } = deployment
  await runStream(cluster, {
    perSecond: PER_SECOND,
    durationMs: DURATION_MS,
    outcomes,
    random: new SeededRandom(SEED),
    create: index => ({ team: teams[index % teams.length]!.team, kind: 'urgent', size: { slots: 1 }, runMs: RUN_MS, deadlineMs: DEADLINE_MS })
  })
  const sends = countSends(cluster)
  await cluster.stop()
  const refused = [...outcomes.refusals].map(([code, count]) => `${code} ${count}`).join(', ')
  // Each instance may use the retry burst of 10 once for each team.
  const burst = 10 * teams.length * deployment.instances
  return [deployment.name, outcomes.sent, sends, (sends / outcomes.sent).toFixed(3), (1.1 + burst / outcomes.sent).toFixed(3), outcomes.finished, refused]
}

export async function runRetriesBench (): Promise<void> {
  const rows: (readonly TableCell[])[] = []
  for (const deployment of [KLADOSEIRA, TAMRALIPTA]) rows.push(await measure(deployment))
  printTable('retries while all targets of one data centre fail', ['deployment', 'requests', 'sends', 'amplification', 'goal with burst', 'finished', 'refused'], rows)
}
