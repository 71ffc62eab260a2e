/** Measures the time until lost capacity is in use again after a fault, and the goodput during the fault. */
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import { BenchCluster, SEED } from '../cluster.ts'
import type { BenchInstance } from '../cluster.ts'
import { KLADOSEIRA } from '../deployments.ts'
import { Outcomes, runStream } from '../load.ts'
import { printTable } from '../table.ts'
import type { TableCell } from '../table.ts'

/** A third of the 240 slots. */
const PER_SECOND = 40
const RUN_MS = 2_000
const DEADLINE_MS = 10_000
const BASELINE_MS = 5_000
const FAULT_WINDOW_MS = 25_000
const POLL_MS = 100
/** Clusters that run in this process at the same time; together they use about half of a core. */
const CONCURRENT_CLUSTERS = 4
const STORE_OUTAGE_MS = 75_000

interface Fault {
  readonly name: string
  readonly windowMs: number
  inject (cluster: BenchCluster, victim: BenchInstance): void
  /** Number of targets that are expected to be in use after recovery: those that have not crashed. */
  expectedTargetCount (cluster: BenchCluster): number
}

function countTargetsOfOthers (cluster: BenchCluster, victim: BenchInstance): number {
  return cluster.instances.filter(entry => entry !== victim).reduce((sum, { instance }) => sum + [...instance.scheduling.pool.targets()]
    .filter(({ info, usable }) => usable && instance.coordination.ownership.epochOf(info.id) !== undefined).length, 0)
}

function kill (cluster: BenchCluster, entry: BenchInstance): void {
  entry.targetClient.chooseFault = () => ({ type: 'unreachable' })
  entry.store.chooseFault = () => ({ type: 'down' })
  entry.gate.pause()
  cluster.network.leave(entry.address)
  cluster.list.update(current => ({ ...current, instances: current.instances.filter(({ name }) => name !== entry.name) }))
}

const allTargets = (cluster: BenchCluster): number => cluster.targets.length

const FAULTS: readonly Fault[] = [
  { name: 'instance killed', windowMs: FAULT_WINDOW_MS, inject: kill, expectedTargetCount: allTargets },
  { name: 'instance paused', windowMs: FAULT_WINDOW_MS, inject: (_cell, victim) => victim.gate.pause(), expectedTargetCount: allTargets },
  {
    name: 'instance joins',
    windowMs: FAULT_WINDOW_MS,
    inject: cluster => { cluster.addInstance(cluster.instances.length).catch((error: unknown) => console.error(error)) },
    expectedTargetCount: allTargets
  },
  {
    name: 'instance drains',
    windowMs: FAULT_WINDOW_MS,
    inject: (_cell, victim) => { victim.instance.drain(AbortSignal.timeout(FAULT_WINDOW_MS)).catch((error: unknown) => console.error(error)) },
    expectedTargetCount: allTargets
  },
  {
    name: 'instance isolated from its peers',
    windowMs: FAULT_WINDOW_MS,
    inject: (cluster, { address }) => {
      cluster.network.chooseFault = ({ from, to }) => from === address || to === address ? { type: 'unreachable' } : undefined
    },
    expectedTargetCount: allTargets
  },
  {
    name: 'data centre lost',
    windowMs: FAULT_WINDOW_MS,
    inject: (cluster, { dataCentre }) => {
      for (const entry of cluster.instances) if (entry.dataCentre === dataCentre) kill(cluster, entry)
      for (const target of cluster.standIns.values()) if (target.info.dataCentre === dataCentre) target.crash()
    },
    expectedTargetCount: cluster => [...cluster.standIns.values()].filter(target => !target.crashed).length
  },
  {
    name: `store down for ${STORE_OUTAGE_MS / 1_000} s`,
    windowMs: STORE_OUTAGE_MS,
    inject: cluster => { cluster.storeDelayMs = undefined },
    expectedTargetCount: allTargets
  }
]

async function measure (fault: Fault): Promise<readonly TableCell[]> {
  const cluster = await BenchCluster.start({ deployment: KLADOSEIRA })
  await cluster.clock.sleep(BASELINE_MS)
  const victim = cluster.instances[0]!
  const isStore = fault.windowMs === STORE_OUTAGE_MS
  const outcomes = new Outcomes()
  // The platform's load balancer sends only to responding instances, as after the first failed health check.
  const stream = runStream(cluster, {
    perSecond: PER_SECOND,
    durationMs: BASELINE_MS + fault.windowMs,
    outcomes,
    random: new SeededRandom(SEED),
    create: index => {
      const { team } = KLADOSEIRA.teams[index % KLADOSEIRA.teams.length]!
      return { team, kind: 'urgent', size: { slots: 1 }, runMs: RUN_MS, deadlineMs: DEADLINE_MS }
    },
    chooseInstance: (current, random) => {
      const alive = current.instances.filter(({ gate, instance }) => !gate.paused && instance.state === 'serving')
      return alive[random.integer(alive.length)]!
    }
  })
  await cluster.clock.sleep(BASELINE_MS)
  const finishedBefore = outcomes.finished
  const startedAt = cluster.clock.monotonicMs()
  fault.inject(cluster, victim)
  const excludedInstance = isStore || fault.name === 'instance joins' ? undefined : victim
  let recoveredMs: number | undefined
  while (cluster.clock.monotonicMs() - startedAt < fault.windowMs) {
    const owned = excludedInstance === undefined ? cluster.ownedTargetCount : countTargetsOfOthers(cluster, excludedInstance)
    if (recoveredMs === undefined && owned >= fault.expectedTargetCount(cluster)) recoveredMs = cluster.clock.monotonicMs() - startedAt
    if (owned < fault.expectedTargetCount(cluster)) recoveredMs = undefined
    await cluster.clock.sleep(POLL_MS)
  }
  const goodput = (outcomes.finished - finishedBefore) / fault.windowMs * 1_000
  for (const { gate } of cluster.instances) if (gate.paused) gate.resume()
  cluster.network.chooseFault = () => undefined
  await Promise.race([stream, cluster.clock.sleep(DEADLINE_MS)])
  const refused = [...outcomes.refusals].map(([code, count]) => `${code} ${count}`).join(', ')
  const row = [
    fault.name, recoveredMs === undefined ? 'not within the window' : (recoveredMs / 1_000).toFixed(1), PER_SECOND, goodput.toFixed(1),
    outcomes.sent, outcomes.finished, outcomes.waitMs(99).toFixed(0), refused || '-'
  ]
  await cluster.stop()
  return row
}

/** Runs in real time. The load uses a third of the slots of Kladoseira with repeatable requests, which need no claims. */
export async function runRecoveryBench (): Promise<void> {
  const rows: (readonly TableCell[])[] = []
  for (let index = 0; index < FAULTS.length; index += CONCURRENT_CLUSTERS) {
    rows.push(...await Promise.all(FAULTS.slice(index, index + CONCURRENT_CLUSTERS).map(measure)))
  }
  printTable('recovery (Kladoseira): seconds until every working target is in use by another instance; goodput during the fault',
    ['fault', 'recovered s', 'offered/s', 'goodput/s', 'sent', 'finished', 'p99 wait ms', 'refused'], rows)
}
