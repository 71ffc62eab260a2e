import test from 'ava'
import { createStep } from '../jobs/testing/definitions.ts'
import { resources } from '../model/resources.ts'
import { ADVISED, BATCH, SimulatedCluster, URGENT } from './testing/simulatedCluster.ts'

const INSIDE = [0, 2]
const OUTSIDE = [1, 3]
/** Time by which nothing more is started in a data centre; the platform allows 5 s. */
const BOUND_MS = 1_000

/** Four targets, of which the even ones are in the data centre that is evacuated. */
async function createCluster (): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster({ targets: 4, cap: 0, lateMs: 0, failing: false, dataCentreOf: number => INSIDE.includes(number) ? 'attica-a' : 'attica-b' })
  await cluster.elect()
  return cluster
}

function startsOn (cluster: SimulatedCluster, numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + cluster.target(number).starts, 0)
}

async function submitFor (cluster: SimulatedCluster, durationMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
    cluster.submit('urgent', URGENT, [createStep(1)])
    if (elapsedMs % 500 === 0) cluster.submit('advised', ADVISED, [createStep(2)])
    if (elapsedMs % 1_000 === 0) cluster.submit('gang', BATCH, [createStep(4, { gang: true })])
    await cluster.clock.advance(100)
  }
}

// Guards against starts in a data centre that is evacuated, against jobs that wait for it, and against targets that stay without work afterwards.
test('under load nothing is started in an evacuated data centre, its runs and all jobs complete, and it gets work again when the evacuation is taken back', async t => {
  const cluster = await createCluster()
  const long = cluster.submit('long', BATCH, [createStep(4, { size: resources({ processors: 1_000 }), tasksPerTarget: 1 })])
  await submitFor(cluster, 2_000)
  const longInside = INSIDE.flatMap(number => cluster.target(number).running.filter(task => task.startsWith(long)))
  t.is(longInside.length, 2)
  cluster.evacuate('attica-a')
  await submitFor(cluster, BOUND_MS)
  const before = startsOn(cluster, INSIDE)
  const advised = cluster.submit('advised', ADVISED, [createStep(2)])
  await submitFor(cluster, 8_000)
  t.is(startsOn(cluster, INSIDE), before)
  t.deepEqual(longInside.filter(task => !cluster.running.includes(task)), [], 'runs continue')
  t.is(cluster.coordinator.table.finished.get(advised)?.state, 'completed', 'further targets are asked about')
  cluster.evacuate('attica-a', false)
  await submitFor(cluster, BOUND_MS)
  t.true(startsOn(cluster, INSIDE) > before)
  t.deepEqual(await cluster.findStuckJobs(), [])
  cluster.close()
})

// Guards against a successor that places tasks before it knows which data centres are evacuated.
test('a hand-over during an evacuation: the successor starts nothing in the data centre, also when it reads the evacuations late', async t => {
  const cluster = await createCluster()
  cluster.evacuate('attica-a')
  await submitFor(cluster, BOUND_MS)
  const before = startsOn(cluster, INSIDE)
  const outside = startsOn(cluster, OUTSIDE)
  cluster.submit('wide', BATCH, [createStep(60)])
  cluster.store.operatorDelayMs = 1_500
  const elected = cluster.startSuccessor(100)
  await cluster.clock.advance(1_400)
  t.is(startsOn(cluster, OUTSIDE), outside, 'nothing is placed before the evacuations have been read')
  await cluster.clock.advance(1_000)
  await elected
  await submitFor(cluster, 3_000)
  t.is(startsOn(cluster, INSIDE), before)
  t.true(startsOn(cluster, OUTSIDE) > outside)
  t.deepEqual(await cluster.findStuckJobs(), [])
  cluster.close()
})

// Guards against starts that were decided before an evacuation and are sent seconds later, when their placement is stored.
test('starts that are still being stored when the data centre is evacuated are given back and placed elsewhere', async t => {
  const cluster = await createCluster()
  await cluster.clock.advance(1_000)
  cluster.store.commitDelayMs = 1_500
  cluster.submit('narrow', BATCH, [createStep(8)])
  cluster.submit('gang', URGENT, [createStep(4, { gang: true, tasksPerTarget: 1 })])
  await cluster.clock.advance(100)
  cluster.evacuate('attica-a')
  await cluster.clock.advance(2_000)
  t.is(startsOn(cluster, INSIDE), 0)
  cluster.store.commitDelayMs = 0
  await cluster.clock.advance(3_000)
  t.is(startsOn(cluster, INSIDE), 0)
  t.is(startsOn(cluster, OUTSIDE), 8, 'no member of the gang is started while some can not be')
  t.regex((await cluster.metrics.render()).body, /evacuated_data_centres 1\n[^]*starts_given_back_total [1-9]/)
  cluster.evacuate('attica-a', false)
  t.deepEqual(await cluster.findStuckJobs(), [])
  cluster.close()
})

// Guards against a coordinator that forgets an evacuation with the store, or misses one that is written while it does not answer.
test('an evacuation stays in force while the store is unavailable, and one that was written meanwhile is in force when it answers again', async t => {
  const cluster = await createCluster()
  cluster.evacuate('attica-a')
  await submitFor(cluster, BOUND_MS)
  const inside = startsOn(cluster, INSIDE)
  cluster.store.refusing = true
  cluster.evacuate('attica-b')
  await cluster.clock.advance(2_000)
  cluster.store.refusing = false
  await cluster.clock.advance(BOUND_MS)
  const outside = startsOn(cluster, OUTSIDE)
  const waiting = cluster.submit('narrow', BATCH, [createStep(3)])
  await cluster.clock.advance(4_000)
  t.is(startsOn(cluster, INSIDE), inside)
  t.is(startsOn(cluster, OUTSIDE), outside, 'both data centres are evacuated, and the tasks wait')
  cluster.evacuate('attica-b', false)
  await cluster.clock.advance(3_000)
  t.is(cluster.coordinator.table.finished.get(waiting)?.state, 'completed')
  t.is(startsOn(cluster, INSIDE), inside)
  cluster.close()
})

// Guards against a lasting task that stays down, since the target that is kept for it alone is evacuated.
test('a task that may have crashed its target starts elsewhere when the target that is kept for it is evacuated', async t => {
  const cluster = await createCluster()
  for (let number = 0; number < 4; number++) cluster.submit('long', BATCH, [createStep(1, { size: resources({ processors: 5_000, memory: 10 }) })])
  await cluster.clock.advance(1_000)
  const lasting = cluster.submit('lasting', BATCH, [createStep(1, { longRunning: true })])
  await cluster.clock.advance(1_000)
  cluster.restartTarget([0, 1, 2, 3].findIndex(number => cluster.target(number).running.some(task => task.startsWith(lasting))))
  await cluster.clock.advance(600)
  cluster.evacuate('attica-a')
  await cluster.clock.advance(500)
  const before = startsOn(cluster, INSIDE)
  await cluster.clock.advance(4_000)
  t.true(OUTSIDE.some(number => cluster.target(number).running.some(task => task.startsWith(lasting))))
  t.is(startsOn(cluster, INSIDE), before)
  cluster.close()
})
