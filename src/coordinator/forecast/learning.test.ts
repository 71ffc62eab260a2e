import test from 'ava'
import { createStep } from '../../jobs/testing/definitions.ts'
import { BATCH, SimulatedCluster } from '../testing/simulatedCluster.ts'

/** A run of the simulated cluster takes 0.7 s, and a report up to 0.15 s more. */
const DECLARED_MS = 7_000
const ACTUAL_MS = { least: 650, most: 900 }

// Guards against successors that rank by declared times, and against a log that grows with each run.
test('a coordinator learns from runs that end, and its successor continues with that, also after a hand-over in the middle of runs', async t => {
  const cluster = new SimulatedCluster({ targets: 2, cap: 0, lateMs: 0, failing: false })
  await cluster.elect()
  const submit = (): string => cluster.submit('short', BATCH, [createStep(8, { estimateMs: DECLARED_MS })])
  const expectedMs = (id: string): number => {
    const step = cluster.coordinator.table.jobs.get(id)?.findStep(0, 0)
    return step === undefined ? NaN : cluster.coordinator.runTimes.expectedMs(step)
  }
  const isLearned = (id: string): boolean => expectedMs(id) >= ACTUAL_MS.least && expectedMs(id) <= ACTUAL_MS.most
  t.is(expectedMs(submit()), DECLARED_MS)
  for (let round = 0; round < 6; round++) {
    submit()
    await cluster.clock.advance(1_500)
  }
  const last = submit()
  await cluster.clock.advance(300)
  t.true(isLearned(last), `${expectedMs(last)} ms`)
  await cluster.startSuccessor(100)
  const next = submit()
  t.true(isLearned(next), `after the hand-over: ${expectedMs(next)} ms`)
  // Those of the first coordinator end now; their starts are not known.
  await cluster.clock.advance(3_000)
  const later = submit()
  t.true(isLearned(later), `after the ends of recovered runs: ${expectedMs(later)} ms`)
  t.deepEqual(await cluster.findStuckJobs(), [])
  cluster.close()
})
