import test from 'ava'
import { generateDurations, stepOf } from './testing/runs.ts'
import { LearnedRunTimes } from './learnedRunTimes.ts'
import { DeclaredRunTimes } from './runTimes.ts'
import { JobProgress } from '../../jobs/jobProgress.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../../jobs/testing/definitions.ts'
import { JobTable } from '../../jobs/jobTable.ts'
import type { LogRecord } from '../../jobs/jobRecords.ts'
import { objectiveMs, rankStep } from '../placement/jobRanking.ts'

/** Learns from runs of 1 s by declaration, 10 of them a second. */
function learnAll (runTimes: LearnedRunTimes, durations: readonly number[], { fromMs = 0, isRemote = false, step = stepOf({ estimateMs: 1_000 }) } = {}): void {
  for (const [index, durationMs] of durations.entries()) runTimes.learn({ step, durationMs, isRemote, nowMs: fromMs + index * 100 })
}

test('jobs of a queue whose runs take a tenth of their declared time are not ranked as too late', t => {
  const runTimes = new LearnedRunTimes({ defaultRemoteFactor: 1 })
  const step = stepOf({ estimateMs: 10_000 }, { stretchFactor: 1, latencyObjectiveMs: 1_000 })
  const tier = (nowMs: number): number | undefined => rankStep(step, nowMs, runTimes)[3]
  t.is(tier(0), 1, 'by the declared time with its margin, the job is late at once')
  learnAll(runTimes, Array.from({ length: 20 }, () => 1_000), { step })
  t.is(objectiveMs(step.job, runTimes), 2_000)
  t.deepEqual([0, 900, 1_100, 4_900, 5_100].map(tier), [0, 0, 1, 1, 2])
})

test('a job whose first step took longer than expected is not ranked as late for that', t => {
  const runTimes = new LearnedRunTimes({ defaultRemoteFactor: 1 })
  const steps = [createStep(1, { estimateMs: 1_000 }), createStep(1, { estimateMs: 1_000, after: [0] })]
  const job = new JobProgress(createJobRecord('job', steps), { ...TEST_QUEUE, stretchFactor: 1, latencyObjectiveMs: 2_000 }, 0)
  const [first, second] = job.steps
  if (first === undefined || second === undefined) return t.fail()
  runTimes.learn({ step: first, durationMs: 4_000, isRemote: false, nowMs: 4_000 })
  t.is(objectiveMs(job, runTimes), 4_000, 'the step still runs')
  first.applyRunEnd(0, 1, 'done', '')
  t.is(objectiveMs(job, runTimes), 7_000)
  t.deepEqual([4_500, 6_500].map(nowMs => rankStep(second, nowMs, runTimes)[3]), [0, 1])
})

test('a queue with few ended runs keeps its declared times', t => {
  const runTimes = new LearnedRunTimes({ defaultRemoteFactor: 1 })
  learnAll(runTimes, [9_000, 9_000, 9_000, 9_000])
  t.is(runTimes.expectedMs(stepOf({ estimateMs: 500 })), 500)
  t.false(runTimes.isLearned(stepOf({ estimateMs: 500 })))
})

test('declared times that are off by 0.9, with a tail of seven times, give the mean and the quantiles of the runs', t => {
  const runTimes = new LearnedRunTimes({ defaultRemoteFactor: 1 })
  learnAll(runTimes, generateDurations(190, { declaredMs: 1_000, deviation: 0.9, tailFraction: 0.03, tailFactor: 7, seed: 5 }))
  const step = stepOf({ estimateMs: 2_000 })
  const within = (value: number, low: number, high: number): boolean => t.true(value >= low && value <= high, `${value} is not within ${low} and ${high}`)
  within(runTimes.expectedMs(step), 2_000, 2_900)
  within(runTimes.quantileMs(step, 0.5), 1_700, 2_400)
  within(runTimes.quantileMs(step, 0.1), 250, 900)
})

test('a workload whose run times change is followed within half a minute', t => {
  const runTimes = new LearnedRunTimes({ defaultRemoteFactor: 1 })
  learnAll(runTimes, Array.from({ length: 600 }, () => 300))
  learnAll(runTimes, Array.from({ length: 300 }, () => 1_500), { fromMs: 60_000 })
  t.is(Math.round(runTimes.expectedMs(stepOf({ estimateMs: 1_000 })) / 100), 15)
})

test('runs away from their data do not change the run time near the data, and give the factor once there are enough', t => {
  const runTimes = new LearnedRunTimes({ defaultRemoteFactor: 1.5 })
  const step = stepOf({ estimateMs: 1_000, dataRack: 'rack-1' })
  learnAll(runTimes, Array.from({ length: 40 }, () => 800), { step })
  learnAll(runTimes, Array.from({ length: 10 }, () => 2_000), { step, isRemote: true, fromMs: 4_000 })
  t.is(runTimes.remoteFactor(step), 1.5)
  learnAll(runTimes, Array.from({ length: 30 }, () => 2_000), { step, isRemote: true, fromMs: 5_000 })
  t.is(Math.round(runTimes.remoteFactor(step) * 10), 25)
  t.is(Math.round(runTimes.expectedMs(step) / 100), 8)
  t.is(runTimes.remoteFactor(stepOf({ estimateMs: 1_000 })), 1)
})

test('queues without end do not take memory without end', t => {
  const runTimes = new LearnedRunTimes({ defaultRemoteFactor: 1 })
  for (let queue = 0; queue < 1_500; queue++) learnAll(runTimes, Array.from({ length: 10 }, () => 500), { step: stepOf({ estimateMs: 1_000 }, { name: `queue-${queue}` }), fromMs: queue * 1_000 })
  t.is(runTimes.status.learnedModels, 512)
  t.is(Math.round(runTimes.expectedMs(stepOf({ estimateMs: 1_000 }, { name: 'queue-1499' })) / 100), 5)
})

test('a successor that reads the log or a snapshot does not start without estimates', t => {
  const runTimes = new LearnedRunTimes({ defaultRemoteFactor: 1 })
  const step = stepOf({ estimateMs: 1_000, dataRack: 'rack-1' })
  learnAll(runTimes, generateDurations(100, { declaredMs: 400, deviation: 0.5, tailFraction: 0, tailFactor: 1, seed: 9 }), { step })
  learnAll(runTimes, Array.from({ length: 30 }, () => 800), { step, isRemote: true, fromMs: 10_000 })
  const record = runTimes.takeChanges()
  t.is(runTimes.takeChanges(), undefined, 'nothing is written as long as nothing changes')
  const written = new JobTable(() => 0)
  written.apply(JSON.parse(JSON.stringify(record)) as LogRecord)
  const snapshot = new JobTable(() => 0)
  for (const each of written.toRecords()) snapshot.apply(each)
  const successor = new LearnedRunTimes({ defaultRemoteFactor: 1 })
  successor.restore(snapshot.runTimeModels, 0)
  t.true(Math.abs(successor.expectedMs(step) - runTimes.expectedMs(step)) < 20)
  t.true(Math.abs(successor.remoteFactor(step) - runTimes.remoteFactor(step)) < 0.05)
})

test('malformed models in the log do not keep a coordinator from recovering', t => {
  const table = new JobTable(() => 0)
  const model = { queue: 'renders', position: 0, gang: false, near: true, count: 20, mean: 0.5, points: Array.from({ length: 20 }, () => 0.5) }
  const malformed: readonly unknown[] = [undefined, null, 'models', [null, 7, { ...model, points: [] }, { ...model, mean: -1 }, { ...model, position: 1.5 }]]
  for (const models of malformed) table.apply({ type: 'run-times', models } as LogRecord)
  t.deepEqual([...table.runTimeModels], [])
  table.apply({ type: 'run-times', models: [{ ...model, queue: 7 }, model] } as unknown as LogRecord)
  t.deepEqual([...table.runTimeModels], [model])
})

// Guards against jobs of an older log, whose estimates were not bounded when they were decoded.
test('expected run times are from 0 to 7 days, whatever was declared', t => {
  const learned = new LearnedRunTimes({ defaultRemoteFactor: 1 })
  for (const runTimes of [new DeclaredRunTimes(), learned]) {
    for (const [estimateMs, boundedMs] of [[1e306, 604_800_000], [-1e9, 0], [50, 50]] as const) {
      const step = stepOf({ estimateMs })
      t.deepEqual([runTimes.expectedMs(step), runTimes.quantileMs(step, 0.5)], [boundedMs, boundedMs])
    }
  }
  learnAll(learned, Array.from({ length: 20 }, () => 9_000))
  t.is(learned.expectedMs(stepOf({ estimateMs: 1e306 })), 604_800_000)
})
