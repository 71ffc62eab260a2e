/** What others get while targets are kept for a gang that may have crashed one. */
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { createStep } from '../../jobs/testing/definitions.ts'
import { resources } from '../../model/resources.ts'
import { ADVISED, BATCH, QUEUES, SimulatedCluster, URGENT } from '../testing/simulatedCluster.ts'

const TARGETS = 4
/** Longest time for which a job may have nothing running while there is room. */
const MAX_IDLE_MS = 3_000

const SMALL = resources({ processors: 500, memory: 10 })

const createGang = () => createStep(TARGETS, { gang: true, size: resources({ processors: 7_000, memory: 10 }) })

/**
 * A gang with a member on each target, and tasks of the given duration beside three of them, is interrupted by the crash of
 * the fourth target. All targets are kept for it then, and it waits until the tasks beside it have ended.
 */
async function startSuspectedGang (cap: number, besideMs = 7_000, gang = createGang()): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster({
    targets: TARGETS, cap, lateMs: 0, failing: false, rackOf: number => `r${number}`, workMs: task => task.startsWith('gang') ? 20_000 : task.startsWith('beside') ? besideMs : 300
  })
  await cluster.elect()
  cluster.submit('gang', BATCH, [gang])
  await cluster.clock.advance(1_000)
  for (let number = 1; number < TARGETS; number++) cluster.submit('beside', BATCH, [createStep(1, { requiredLabel: `r${number}`, size: SMALL })])
  await cluster.clock.advance(1_000)
  cluster.restartTarget(0)
  await cluster.clock.advance(2_000)
  return cluster
}

/** Submits small urgent jobs when all runs have ended, and checks that each of them completes. */
async function assertUrgentJobsComplete (t: ExecutionContext, cluster: SimulatedCluster): Promise<void> {
  await cluster.clock.advance(8_000)
  t.deepEqual(cluster.running, [])
  const urgent = Array.from({ length: 4 }, () => cluster.submit('urgent', URGENT, [createStep(1, { size: SMALL })]))
  await cluster.clock.advance(MAX_IDLE_MS)
  t.deepEqual(urgent.map(id => cluster.coordinator.table.finished.get(id)?.state), urgent.map(() => 'completed'))
  cluster.close()
}

function countGangRuns (cluster: SimulatedCluster): number {
  return cluster.running.filter(task => task.startsWith('gang')).length
}

/** Number of a target, by the key of one of its incarnations. */
function targetNumber (key = ''): number {
  return Number(key.replace(/^worker-/, '').replace(/@.*/, ''))
}

// Guards against targets that are opened to others although nobody waits for them, so that the gang starts seconds later.
test('a gang that may have crashed its target starts again within seconds, if no others wait', async t => {
  const cluster = await startSuspectedGang(0)
  t.is(countGangRuns(cluster), 0)
  await cluster.clock.advance(5_500)
  t.is(countGangRuns(cluster), TARGETS)
  cluster.close()
})

// Guards against targets that stay closed to all others for a gang that does not fit on what is left of them.
test('targets that were kept for a suspected gang take other work after one of them has left', async t => {
  const cluster = await startSuspectedGang(0)
  cluster.target(1).listed = false
  await assertUrgentJobsComplete(t, cluster)
})

// Guards against targets that stay closed to all others for a gang that its team may not run any more.
test('targets that were kept for a suspected gang take other work after the cap of its team has fallen below what it needs', async t => {
  const cluster = await startSuspectedGang(40_000)
  cluster.setQueues(QUEUES, 14_000)
  await assertUrgentJobsComplete(t, cluster)
})

// Guards against targets that stay closed to all others for a gang that its queue does not allow on all of them.
test('targets that were kept for a suspected gang take other work after its queue has got an advisor that does not allow one of them', async t => {
  const cluster = await startSuspectedGang(0)
  cluster.setQueues([URGENT, { ...BATCH, ...(ADVISED.advice === undefined ? {} : { advice: ADVISED.advice }) }])
  await assertUrgentJobsComplete(t, cluster)
})

// Guards against targets that are mostly free and closed to all others for as long as a suspected gang works there.
test('targets on which a suspected gang works alone take the tasks of a job that has waited for them', async t => {
  const cluster = await startSuspectedGang(0, 100, createStep(TARGETS, { gang: true, tasksPerTarget: 1, size: resources({ processors: 3_000, memory: 10 }) }))
  t.is(countGangRuns(cluster), TARGETS)
  const urgent = cluster.submit('urgent', URGENT, [createStep(1, { size: SMALL })])
  await cluster.clock.advance(MAX_IDLE_MS)
  t.is(cluster.coordinator.table.finished.get(urgent)?.state, 'completed')
  t.is(countGangRuns(cluster), TARGETS)
  cluster.close()
})

// Guards against a suspected task that waits for a target of its own for as long as another one has its target to itself.
test('a suspected task of a small service starts beside idle targets although another one is kept for a suspected task', async t => {
  const cluster = new SimulatedCluster({ targets: 3, cap: 0, lateMs: 0, failing: false, rackOf: number => `r${number}`, workMs: () => 30_000 })
  await cluster.elect()
  for (const number of [0, 1]) cluster.submit('single', BATCH, [createStep(1, { requiredLabel: `r${number}`, size: SMALL })])
  await cluster.clock.advance(1_000)
  cluster.restartTarget(0)
  await cluster.clock.advance(2_000)
  cluster.restartTarget(1)
  // The crash is noticed meanwhile.
  await cluster.clock.advance(1_000 + MAX_IDLE_MS)
  t.deepEqual(cluster.running, ['single-0.0.0.0', 'single-1.0.0.0'])
  cluster.close()
})

// Guards against a gang that closes its whole service for as long as a run of another job takes.
test('targets that are kept for a suspected gang take other work while long runs there go on, and the gang does not wait for these', async t => {
  const longMs = 40_000
  const cluster = await startSuspectedGang(0, longMs)
  const outcomes: string[] = []
  for (let waitedMs = 0; waitedMs < longMs - 10_000; waitedMs += MAX_IDLE_MS) {
    const urgent = cluster.submit('urgent', URGENT, [createStep(1, { size: SMALL })])
    await cluster.clock.advance(MAX_IDLE_MS)
    if (waitedMs === 0) t.is(countGangRuns(cluster), TARGETS)
    outcomes.push(cluster.coordinator.table.finished.get(urgent)?.state ?? 'waiting')
  }
  t.deepEqual(outcomes, outcomes.map(() => 'completed'))
  t.is(cluster.coordinator.table.finished.get('gang-0')?.state, 'completed')
  cluster.close()
})

// Guards against a gang that closes its whole service for as long as a run of another job takes, once it may not start beside that any more.
test('targets that are kept for a gang after the second crash under a member take other work while long runs there go on, and the gang starts after these', async t => {
  const longMs = 40_000
  const cluster = await startSuspectedGang(0, longMs)
  await cluster.clock.advance(MAX_IDLE_MS)
  const [member] = cluster.coordinator.table.jobs.get('gang-0')?.steps[0]?.tasks ?? []
  t.deepEqual([countGangRuns(cluster), member?.crashHistory.crashes], [TARGETS, 1])
  cluster.restartTarget(targetNumber(member?.placedOn))
  await cluster.clock.advance(2_000)
  t.is(member?.crashHistory.crashes, 2)
  const outcomes: string[] = []
  for (let waitedMs = 0; waitedMs < longMs - 15_000; waitedMs += MAX_IDLE_MS) {
    const urgent = cluster.submit('urgent', URGENT, [createStep(1, { size: SMALL })])
    await cluster.clock.advance(MAX_IDLE_MS)
    outcomes.push(cluster.coordinator.table.finished.get(urgent)?.state ?? 'waiting')
  }
  t.deepEqual(outcomes, outcomes.map(() => 'completed'))
  await cluster.clock.advance(25_000)
  t.is(countGangRuns(cluster), TARGETS)
  cluster.close()
})
