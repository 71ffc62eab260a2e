import test from 'ava'
import { createStep } from '../../jobs/testing/definitions.ts'
import { resources } from '../../model/resources.ts'
import { ADVISED, BATCH, SimulatedCluster } from '../testing/simulatedCluster.ts'

// Guards against tasks that never start, since the processors reserved for urgent tasks are kept from them for ever.
test('a task that needs all processors of its service, or all that lasting tasks leave, is started', async t => {
  for (const lasting of [0, 1_000]) {
    const cluster = new SimulatedCluster({ targets: 1, cap: 0, lateMs: 0, failing: false })
    await cluster.elect()
    if (lasting > 0) cluster.submit('lasting', BATCH, [createStep(1, { longRunning: true, size: resources({ processors: lasting }) })])
    await cluster.clock.advance(1_000)
    cluster.submit('whole', BATCH, [createStep(1, { size: resources({ processors: 8_000 - lasting }) })])
    t.deepEqual(await cluster.findStuckJobs(), [])
    cluster.close()
  }
})

// Guards against lasting tasks that do not run in a full service, although the processors reserved for urgent tasks are free.
test('a lasting task starts in a service that other work keeps full but for the reserve for urgent tasks', async t => {
  const cluster = new SimulatedCluster({ targets: 4, cap: 0, lateMs: 0, failing: false })
  await cluster.elect()
  cluster.submit('wide', BATCH, [createStep(1_000)])
  await cluster.clock.advance(2_000)
  const lasting = cluster.submit('lasting', BATCH, [createStep(1, { longRunning: true })])
  await cluster.clock.advance(3_000)
  t.true(cluster.running.length >= 30, `${cluster.running.length} of 32 processors are in use`)
  t.true(cluster.running.some(task => task.startsWith(lasting)))
  cluster.close()
})

// Guards against lasting tasks that stay down after the crash of their target, although other targets have room.
test('a lasting task whose target crashed runs again within seconds, however long other runs take', async t => {
  const cluster = new SimulatedCluster({ targets: 4, cap: 0, lateMs: 0, failing: false })
  await cluster.elect()
  for (let number = 0; number < 4; number++) cluster.submit('long', BATCH, [createStep(1, { size: resources({ processors: 5_000, memory: 10 }) })])
  await cluster.clock.advance(1_000)
  const lasting = cluster.submit('lasting', BATCH, [createStep(1, { longRunning: true })])
  const isRunning = (): boolean => cluster.running.some(task => task.startsWith(lasting))
  await cluster.clock.advance(1_000)
  t.true(isRunning())
  cluster.restartTarget([0, 1, 2, 3].findIndex(number => cluster.target(number).running.some(task => task.startsWith(lasting))))
  t.false(isRunning())
  await cluster.clock.advance(4_000)
  t.true(isRunning())
  cluster.close()
})

// Guards against lasting tasks that come back one after the other, each when the one before has worked on its isolated target for long.
test('lasting tasks of several jobs run again within seconds after two targets crashed under them', async t => {
  const cluster = new SimulatedCluster({ targets: 4, cap: 0, lateMs: 0, failing: false })
  await cluster.elect()
  for (let number = 0; number < 8; number++) cluster.submit('lasting', BATCH, [createStep(1, { longRunning: true })])
  for (let crash = 0; crash < 2; crash++) {
    await cluster.clock.advance(4_000)
    const runs = [0, 1, 2, 3].map(number => cluster.target(number).running.length)
    cluster.restartTarget(runs.indexOf(Math.max(...runs)))
  }
  await cluster.clock.advance(9_000)
  t.is(cluster.running.length, 8)
  cluster.close()
})

// Guards against sharing that hides which lasting task crashes its targets, so that it is started without end (BUDGET).
test('a lasting task that crashes its targets is given up within five starts, and those that shared targets with it run on', async t => {
  const cluster = new SimulatedCluster({ targets: 4, cap: 0, lateMs: 0, failing: false })
  await cluster.elect()
  const innocent = Array.from({ length: 6 }, () => cluster.submit('lasting', BATCH, [createStep(1, { longRunning: true })]))
  await cluster.clock.advance(1_000)
  const deadly = cluster.submit('lasting', BATCH, [createStep(1, { longRunning: true })])
  let crashes = 0
  for (let step = 0; step < 400; step++) {
    await cluster.clock.advance(500)
    const number = [0, 1, 2, 3].find(each => cluster.target(each).running.some(task => task.startsWith(deadly)))
    if (number === undefined) continue
    cluster.restartTarget(number)
    crashes++
  }
  t.true(crashes <= 5, `${crashes} targets crashed`)
  t.is(cluster.coordinator.table.finished.get(deadly)?.state, 'failed')
  t.deepEqual(innocent.filter(id => !cluster.running.some(task => task.startsWith(id))), [])
  cluster.close()
})

// Guards against jobs that are accepted and never run, since one task or gang of theirs needs more than the cap of its team.
test('a task and a gang that need more than the cap of their team complete beside a stream of small jobs', async t => {
  const cluster = new SimulatedCluster({ targets: 4, cap: 3_000, lateMs: 0, failing: false })
  await cluster.elect()
  cluster.submit('task', BATCH, [createStep(1, { size: resources({ processors: 4_000 }) })])
  cluster.submit('gang', BATCH, [createStep(4, { gang: true })])
  for (let number = 0; number < 20; number++) {
    cluster.submit('small', BATCH, [createStep(1)])
    await cluster.clock.advance(500)
  }
  t.deepEqual(await cluster.findStuckJobs(), [])
  cluster.close()
})

// Guards against gangs that never start, since narrower steps of their team always take what becomes free of its cap.
test('a gang that needs most of the cap of its team starts within half a minute beside a stream of narrow jobs of the team', async t => {
  const cluster = new SimulatedCluster({ targets: 4, cap: 10_000, lateMs: 0, failing: false })
  await cluster.elect()
  let gang = ''
  let startedAfterMs = Infinity
  for (let elapsedMs = 0; elapsedMs < 60_000 && startedAfterMs === Infinity; elapsedMs += 200) {
    cluster.submit('narrow', BATCH, [createStep(2)])
    if (elapsedMs === 2_000) gang = cluster.submit('gang', BATCH, [createStep(8, { gang: true })])
    await cluster.clock.advance(200)
    if (gang !== '' && cluster.running.some(task => task.startsWith(gang))) startedAfterMs = elapsedMs - 2_000
  }
  t.true(startedAfterMs <= 30_000, `started after ${startedAfterMs} ms`)
  t.deepEqual(await cluster.findStuckJobs(), [])
  cluster.close()
})

// Guards against a suspected task that waits for long runs of others on the few targets that were asked about, while others are vacant.
test('a task under which two targets crashed runs again within seconds if a target that was not asked about is vacant', async t => {
  const cluster = new SimulatedCluster({ targets: 40, cap: 0, lateMs: 0, failing: false, workMs: task => task.startsWith('long') ? 60_000 : 20_000 })
  await cluster.elect()
  const advised = cluster.submit('advised', ADVISED, [createStep(1)])
  await cluster.clock.advance(500)
  cluster.submit('long', BATCH, [createStep(30, { tasksPerTarget: 1 })])
  await cluster.clock.advance(1_000)
  const isRunning = (): boolean => cluster.running.some(task => task.startsWith(advised))
  for (let crash = 0; crash < 2; crash++) {
    t.true(isRunning())
    cluster.restartTarget(Array.from({ length: 40 }, (_, number) => number).findIndex(number => cluster.target(number).running.some(task => task.startsWith(advised))))
    await cluster.clock.advance(4_000)
  }
  t.true(isRunning())
  cluster.close()
})
