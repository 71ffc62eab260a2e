import test from 'ava'
import { createStep } from '../jobs/testing/definitions.ts'
import { BATCH, SimulatedCluster } from './testing/simulatedCluster.ts'

/** A log of this length is compacted. */
const COMPACTED_LENGTH = 1_100_000

// Guards against repeated jobs of which nothing runs although an occurrence is due, as long as a compaction waits for the store.
test('an occurrence that becomes due during a slow compaction of the log starts without delay', async t => {
  const cluster = new SimulatedCluster({ targets: 1, cap: 0, lateMs: 0, failing: false })
  await cluster.elect()
  cluster.delaySnapshots(20_000)
  cluster.submit('long', BATCH, [createStep(1)], { spec: 'x'.repeat(COMPACTED_LENGTH) })
  const id = cluster.submit('lasting', BATCH, [createStep(1, { longRunning: true })], { repetition: { count: 1, firstWallMs: cluster.clock.wallMs() + 5_000, intervalMs: 1 } })
  await cluster.clock.advance(4_000)
  t.false(cluster.running.some(task => task.startsWith(id)))
  await cluster.clock.advance(3_000)
  cluster.close()
  t.true(cluster.running.some(task => task.startsWith(id)))
})

// Guards against work that waits for the longest delay of a start after each change of coordinator during which its target crashed.
test('a successor places a run again at once that its predecessor had seen on a target that has restarted since', async t => {
  const cluster = new SimulatedCluster({ targets: 2, cap: 0, lateMs: 0, failing: false })
  await cluster.elect()
  await cluster.clock.advance(1_000)
  cluster.submit('lasting', BATCH, [createStep(1, { longRunning: true })])
  await cluster.clock.advance(2_500)
  const [first, second] = [0, 1].map(number => cluster.target(number).running.length)
  t.is((first ?? 0) + (second ?? 0), 1)
  cluster.restartTarget(first === 1 ? 0 : 1)
  t.deepEqual(cluster.running, [])
  await cluster.startSuccessor(0)
  await cluster.clock.advance(2_500)
  t.is(cluster.running.length, 1)
  cluster.close()
})
