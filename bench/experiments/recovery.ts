/** Time until lost capacity is used again after faults, and goodput meanwhile. */
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import { BenchCell, SEED } from '../cell.ts'
import type { CellInstance } from '../cell.ts'
import { KLADOSEIRA } from '../deployments.ts'
import { Outcomes, runStream } from '../load.ts'
import { printTable } from '../table.ts'
import type { Cell } from '../table.ts'

/** A third of the 240 slots. */
const PER_SECOND = 40
const RUN_MS = 2_000
const DEADLINE_MS = 10_000
const BEFORE_MS = 5_000
const FAULT_WINDOW_MS = 25_000
const POLL_MS = 100
/** Cells of this process at the same time; together they use about half of a core. */
const CELLS_AT_ONCE = 4
const STORE_OUTAGE_MS = 75_000

interface Fault {
  readonly name: string
  readonly windowMs: number
  begin (cell: BenchCell, victim: CellInstance): void
  /** Counts only targets that can work. */
  expectedTargets (cell: BenchCell): number
}

function ownedByOthers (cell: BenchCell, victim: CellInstance): number {
  return cell.instances.filter(entry => entry !== victim).reduce((sum, { instance }) => sum + [...instance.scheduling.pool.targets()]
    .filter(({ info, usable }) => usable && instance.coordination.ownership.epochOf(info.id) !== undefined).length, 0)
}

function kill (cell: BenchCell, entry: CellInstance): void {
  entry.targetClient.chooseFault = () => ({ type: 'unreachable' })
  entry.store.chooseFault = () => ({ type: 'down' })
  entry.gate.pause()
  cell.network.leave(entry.address)
  cell.list.update(current => ({ ...current, instances: current.instances.filter(({ name }) => name !== entry.name) }))
}

const everyTarget = (cell: BenchCell): number => cell.targets.length

const FAULTS: readonly Fault[] = [
  { name: 'instance killed', windowMs: FAULT_WINDOW_MS, begin: kill, expectedTargets: everyTarget },
  { name: 'instance paused', windowMs: FAULT_WINDOW_MS, begin: (_cell, victim) => victim.gate.pause(), expectedTargets: everyTarget },
  {
    name: 'instance joins',
    windowMs: FAULT_WINDOW_MS,
    begin: cell => { cell.add(cell.instances.length).catch((error: unknown) => console.error(error)) },
    expectedTargets: everyTarget
  },
  {
    name: 'instance drains',
    windowMs: FAULT_WINDOW_MS,
    begin: (_cell, victim) => { victim.instance.drain(AbortSignal.timeout(FAULT_WINDOW_MS)).catch((error: unknown) => console.error(error)) },
    expectedTargets: everyTarget
  },
  {
    name: 'instance cut from its peers',
    windowMs: FAULT_WINDOW_MS,
    begin: (cell, { address }) => {
      cell.network.chooseFault = ({ from, to }) => from === address || to === address ? { type: 'unreachable' } : undefined
    },
    expectedTargets: everyTarget
  },
  {
    name: 'data centre lost',
    windowMs: FAULT_WINDOW_MS,
    begin: (cell, { dataCentre }) => {
      for (const entry of cell.instances) if (entry.dataCentre === dataCentre) kill(cell, entry)
      for (const target of cell.standIns.values()) if (target.info.dataCentre === dataCentre) target.crash()
    },
    expectedTargets: cell => [...cell.standIns.values()].filter(target => !target.crashed).length
  },
  {
    name: `store down for ${STORE_OUTAGE_MS / 1_000} s`,
    windowMs: STORE_OUTAGE_MS,
    begin: cell => { cell.storeDelayMs = undefined },
    expectedTargets: everyTarget
  }
]

async function measure (fault: Fault): Promise<readonly Cell[]> {
  const cell = await BenchCell.start({ deployment: KLADOSEIRA })
  await cell.clock.sleep(BEFORE_MS)
  const victim = cell.instances[0]!
  const isStore = fault.windowMs === STORE_OUTAGE_MS
  const outcomes = new Outcomes()
  // The platform's load balancer sends to instances that answer, as after its first failed health check.
  const stream = runStream(cell, {
    perSecond: PER_SECOND,
    durationMs: BEFORE_MS + fault.windowMs,
    outcomes,
    random: new SeededRandom(SEED),
    create: index => {
      const { team } = KLADOSEIRA.teams[index % KLADOSEIRA.teams.length]!
      return { team, kind: 'urgent', size: { slots: 1 }, runMs: RUN_MS, deadlineMs: DEADLINE_MS }
    },
    pick: (current, random) => {
      const alive = current.instances.filter(({ gate, instance }) => !gate.paused && instance.state === 'serving')
      return alive[random.integer(alive.length)]!
    }
  })
  await cell.clock.sleep(BEFORE_MS)
  const finishedBefore = outcomes.finished
  const startedAt = cell.clock.monotonicMs()
  fault.begin(cell, victim)
  const watched = isStore || fault.name === 'instance joins' ? undefined : victim
  let recoveredMs: number | undefined
  while (cell.clock.monotonicMs() - startedAt < fault.windowMs) {
    const owned = watched === undefined ? cell.usableTargets : ownedByOthers(cell, watched)
    if (recoveredMs === undefined && owned >= fault.expectedTargets(cell)) recoveredMs = cell.clock.monotonicMs() - startedAt
    if (owned < fault.expectedTargets(cell)) recoveredMs = undefined
    await cell.clock.sleep(POLL_MS)
  }
  const goodput = (outcomes.finished - finishedBefore) / fault.windowMs * 1_000
  for (const { gate } of cell.instances) if (gate.paused) gate.resume()
  cell.network.chooseFault = () => undefined
  await Promise.race([stream, cell.clock.sleep(DEADLINE_MS)])
  const refused = [...outcomes.refusals].map(([code, count]) => `${code} ${count}`).join(', ')
  const row = [
    fault.name, recoveredMs === undefined ? 'not in the window' : (recoveredMs / 1_000).toFixed(1), PER_SECOND, goodput.toFixed(1),
    outcomes.sent, outcomes.finished, outcomes.waitMs(99).toFixed(0), refused || '-'
  ]
  await cell.stop()
  return row
}

/** Real time; the load is a third of the slots of Kladoseira, repeatable and without claims. */
export async function runRecoveryBench (): Promise<void> {
  const rows: (readonly Cell[])[] = []
  for (let index = 0; index < FAULTS.length; index += CELLS_AT_ONCE) {
    rows.push(...await Promise.all(FAULTS.slice(index, index + CELLS_AT_ONCE).map(measure)))
  }
  printTable('recovery (Kladoseira): seconds until every working target is in use by another instance; goodput in the fault',
    ['fault', 'recovered s', 'offered/s', 'goodput/s', 'sent', 'finished', 'p99 wait ms', 'refused'], rows)
}
