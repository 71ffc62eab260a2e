import test from 'ava'
import { createStep } from '../../jobs/testing/definitions.ts'
import { BATCH, SimulatedCluster } from '../testing/simulatedCluster.ts'

/** Time after a change of coordinator in which a start of the earlier one without a ticket may be executed. */
const MAX_TRANSIT_MS = 21_000
/** Of records in each term, and of a report. */
const INTERVAL_MS = 1_000
const TERMS = 4
const TERM_MS = 5_000

// Guards against a task that waits anew for its unanswered start after each change of coordinator.
test('a task whose start may be in transit is started again in time, however often the coordinator changes meanwhile', async t => {
  const cluster = new SimulatedCluster({ targets: 1, cap: 0, lateMs: 0, failing: false })
  await cluster.elect()
  await cluster.clock.advance(1_000)
  cluster.target(0).fault = 'cut'
  const id = cluster.submit('single', BATCH, [createStep(1)])
  await cluster.clock.advance(200)
  cluster.target(0).fault = 'none'
  const untilMs = cluster.clock.monotonicMs() + MAX_TRANSIT_MS + (TERMS + 1) * INTERVAL_MS
  for (let term = 0; term < TERMS; term++) {
    await cluster.startSuccessor(0)
    await cluster.clock.advance(TERM_MS)
  }
  t.is(cluster.target(0).starts, 0, 'the start may still be executed')
  await cluster.clock.advance(untilMs - cluster.clock.monotonicMs())
  t.is(cluster.target(0).starts, 1, cluster.coordinator.table.jobs.get(id)?.steps.flatMap(step => step.tasks).map(({ state, attempt, placedOn }) => `${state} ${attempt} ${placedOn}`).join())
  cluster.close()
})
