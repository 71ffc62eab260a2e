import test from 'ava'
import { createJobRecord, createStep } from '../../jobs/testing/definitions.ts'
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

// Guards against run times that are learned too short, since a recovered run is first reported long after its start.
test('a run that an earlier coordinator started is not learned from', async t => {
  const cluster = new SimulatedCluster({ targets: 2, cap: 0, lateMs: 0, failing: false, workMs: () => 3_000 })
  await cluster.elect()
  const id = cluster.submit('short', BATCH, [createStep(1, { estimateMs: DECLARED_MS })])
  await cluster.clock.advance(200)
  t.is(cluster.running.length, 1)
  await cluster.startSuccessor(0)
  const { coordinator, clock } = cluster
  const step = coordinator.table.jobs.get(id)?.findStep(0, 0)
  if (step === undefined) return t.fail('the job has ended')
  await clock.advance(5_000)
  t.true(step.done)
  t.is(coordinator.runTimes.actualMs(step), undefined)
  cluster.close()
})

/** Half as much again as the eight targets can run. */
const JOBS_PER_SECOND = 30
const LOAD_MS = 15_000

// Guards against capacity given to jobs that miss their objective, because declared times let them seem to be in time.
test('in overload with declared times ten times too long, most of what is run meets its objective by actual run times', async t => {
  const queue = { ...BATCH, stretchFactor: 1.5, latencyObjectiveMs: 1_000 }
  const objectiveMs = queue.stretchFactor * DECLARED_MS / 10 + queue.latencyObjectiveMs
  const cluster = new SimulatedCluster({ targets: 8, cap: 0, lateMs: 0, failing: false })
  await cluster.elect()
  const { coordinator, clock } = cluster
  const agesMs = new Map<string, number>()
  const running = new Map<string, number>()
  for (let number = 0; number < LOAD_MS / 1_000 * JOBS_PER_SECOND; number++) {
    const record = { ...createJobRecord(`job-${number}`, [createStep(4, { estimateMs: DECLARED_MS })]), queue: queue.name, acceptedWallMs: clock.wallMs() }
    coordinator.applyAndAppend([...coordinator.missingQueueRecords(queue), record]).catch(error => t.fail(String(error)))
    const job = coordinator.table.jobs.get(record.id)
    if (job !== undefined) coordinator.enqueueJob(job)
    running.set(record.id, clock.monotonicMs())
    await clock.advance(1_000 / JOBS_PER_SECOND)
    for (const [id, submittedAtMs] of running) {
      if (!coordinator.table.finished.has(id)) continue
      agesMs.set(id, clock.monotonicMs() - submittedAtMs)
      running.delete(id)
    }
  }
  cluster.close()
  const met = [...agesMs.values()].filter(ageMs => ageMs <= objectiveMs).length
  t.log(`${met} of ${agesMs.size} jobs that ended met their objective`)
  t.true(met >= agesMs.size * 0.8)
})
