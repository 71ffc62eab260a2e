import test from 'ava'
import { createStep } from '../jobs/testing/definitions.ts'
import { BATCH, SimulatedCluster } from './testing/simulatedCluster.ts'

/** Longest time for which a job may have nothing running while there is room. */
const MAX_IDLE_MS = 3_000
/** Covers the storing of a job, that of its placement, and its start. */
const LATEST_LOSS_MS = 60
const LOSS_INTERVAL_MS = 2
const STORE_ANSWER_MS = 10

// Guards against a task that waits beside idle targets for a start that its coordinator had no time to send.
test('a job whose coordinator is lost at any moment of its start runs within three seconds of the election of a successor', async t => {
  const idle: number[] = []
  for (let lostAfterMs = 0; lostAfterMs <= LATEST_LOSS_MS; lostAfterMs += LOSS_INTERVAL_MS) {
    const cluster = new SimulatedCluster({ targets: 2, cap: 0, lateMs: 0, failing: false, workMs: () => 100 })
    await cluster.elect()
    await cluster.clock.advance(1_000)
    cluster.store.commitAnswerMs = STORE_ANSWER_MS
    const job = cluster.submit('single', BATCH, [createStep(1)])
    await cluster.clock.advance(lostAfterMs)
    await cluster.startSuccessor(0)
    await cluster.clock.advance(MAX_IDLE_MS)
    if (cluster.accepted.has(job) && cluster.coordinator.table.finished.get(job)?.state !== 'completed') idle.push(lostAfterMs)
    cluster.close()
  }
  t.deepEqual(idle, [], 'milliseconds from the submission to the loss of the coordinator')
})
