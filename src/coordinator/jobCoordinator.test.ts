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
