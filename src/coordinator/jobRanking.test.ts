import test from 'ava'
import { JobProgress } from '../jobs/jobProgress.ts'
import type { StepProgress } from '../jobs/stepProgress.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../jobs/testing/definitions.ts'
import { canWait } from './jobRanking.ts'

/** A step of 2 s, whose job has 3 s more than that until it is late. */
function stepOf (priority: number, longRunning = false): StepProgress {
  const record = createJobRecord('job-1', [createStep(1, { estimateMs: 2_000, longRunning })])
  const [step] = new JobProgress(record, { ...TEST_QUEUE, priority }, 0).steps
  if (step === undefined) throw new Error('the job has no step')
  return step
}

test('coordinator without time: batches with time to spare wait, until they would be late', t => {
  t.true(canWait(stepOf(2), 0))
  t.true(canWait(stepOf(2), 500))
  t.false(canWait(stepOf(2), 700))
})

test('coordinator without time: urgent steps and services that have to be restarted do not wait', t => {
  t.false(canWait(stepOf(0), 0))
  t.false(canWait(stepOf(2, true), 0))
})
