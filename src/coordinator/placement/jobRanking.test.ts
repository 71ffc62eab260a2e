import test from 'ava'
import { pino } from 'pino'
import { JobProgress } from '../../jobs/jobProgress.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../../jobs/testing/definitions.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import { criticalPathMs, rankStep, StepRanking } from './jobRanking.ts'

// Guards against a RangeError of one accepted job, which ends each placement pass.
test('the critical path of a job whose step lists 300,000 dependencies is computed', t => {
  const steps = [createStep(1, { estimateMs: 20 }), createStep(1, { estimateMs: 10, after: new Array<number>(300_000).fill(0) })]
  t.is(criticalPathMs(new JobProgress(createJobRecord('job', steps), TEST_QUEUE, 0)), 30)
})

// Guards against a fault of one job that stops the placement of all others, or that fills the log.
test('a step that can not be ranked is left out and logged once', t => {
  const lines: string[] = []
  const [broken, sound] = ['broken', 'sound'].map(id => new JobProgress(createJobRecord(id, [createStep(1)]), TEST_QUEUE, 0).steps[0] as StepProgress) as [StepProgress, StepProgress]
  const expectedMs = (step: StepProgress): number => {
    if (step === broken) throw new RangeError('too large')
    return 10
  }
  const ranking = new StepRanking({ logger: pino({}, { write: line => { lines.push(line) } }), runTimes: { expectedMs, quantileMs: expectedMs, remoteFactor: () => 1 } })
  for (const nowMs of [0, 10]) {
    ranking.beginPass(nowMs)
    t.is(ranking.rank(broken), undefined)
    t.true(Array.isArray(ranking.rank(sound)))
  }
  t.is(lines.length, 1)
  t.regex(lines[0] ?? '', /broken.*too large|too large.*broken/)
})

// Guards against passes of seconds, since the rank of each waiting step takes a walk through all steps of its job.
test('the steps of a job are walked through once per pass, and ranked as each by itself', t => {
  const { steps } = new JobProgress(createJobRecord('job', Array.from({ length: 50 }, () => createStep(1, { estimateMs: 100 }))), TEST_QUEUE, 0)
  let calls = 0
  const expectedMs = ({ definition }: StepProgress): number => {
    calls += 1
    return definition.estimateMs
  }
  const runTimes = { expectedMs, quantileMs: expectedMs, remoteFactor: () => 1 }
  const ranking = new StepRanking({ logger: pino({ level: 'silent' }), runTimes })
  const ranksAt = (nowMs: number): readonly unknown[] => {
    ranking.beginPass(nowMs)
    return steps.map(step => ranking.rank(step))
  }
  const first = ranksAt(0)
  t.true(calls <= 3 * steps.length, `${calls} calls`)
  t.deepEqual(first, steps.map(step => rankStep(step, 0, runTimes)))
  t.deepEqual(ranksAt(1e9), steps.map(step => rankStep(step, 1e9, runTimes)))
  t.notDeepEqual(ranksAt(1e9), first)
})
