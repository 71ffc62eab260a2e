import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { JobProgress } from '../../jobs/jobProgress.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../../jobs/testing/definitions.ts'
import { Assignment } from './assignment.ts'
import { StartsInTransit } from './startsInTransit.ts'

function createAssignment (id: string): Assignment {
  const task = new JobProgress(createJobRecord(id, [createStep(1)]), TEST_QUEUE, 0).steps[0]?.tasks[0]
  if (task === undefined) throw new Error('the job has no task')
  return new Assignment(task, 1, task.step.definition.size, 'starting')
}

// Guards against a second run: the next incarnation executes a start after a later one, whose run goes on with the lease of the earlier.
test('an earlier start may extend the lease of a later one', async t => {
  const clock = new ManualClock()
  const starts = new StartsInTransit(clock)
  const [first, second] = [createAssignment('first'), createAssignment('second')]
  const beganMs = clock.monotonicMs()
  starts.recordSent(first)
  await clock.advance(100)
  starts.recordSent(second)
  await clock.advance(10)
  starts.recordExecuted(second)
  t.is(starts.latestExecutionMs(second) - beganMs, 110)
  t.is(starts.latestExtensionMs(second) - beganMs, 18_000)
})

// Guards against a second run: the next incarnation executes two unanswered starts, and the lease of the later one keeps both runs alive.
test('a later start may extend the lease of an unanswered one', async t => {
  const clock = new ManualClock()
  const starts = new StartsInTransit(clock)
  const [first, second] = [createAssignment('first'), createAssignment('second')]
  const beganMs = clock.monotonicMs()
  starts.recordSent(first, beganMs + 2_000)
  await clock.advance(1_000)
  starts.recordUnanswered(first)
  starts.recordSent(second, beganMs + 3_000)
  starts.recordUnanswered(second)
  t.deepEqual([first, second].map(start => starts.latestExecutionMs(start) - beganMs), [2_000, 3_000])
  t.deepEqual([first, second].map(start => starts.latestExtensionMs(start) - beganMs), [3_000, 3_000])
  starts.recordSettled(second)
  t.is(starts.latestExtensionMs(first) - beganMs, 3_000, 'a target takes the lease of a start that it refuses')
})
