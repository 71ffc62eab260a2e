import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { JobProgress } from '../../jobs/jobProgress.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../../jobs/testing/definitions.ts'
import { StartedRuns } from './startedRuns.ts'

// Guards against a record for each of many short runs, and against records of runs that have been lost.
test('started runs are recorded twice a second at most, unless they have ended or were lost', async t => {
  const clock = new ManualClock()
  const startedRuns = new StartedRuns(clock)
  const step = new JobProgress(createJobRecord('a', [createStep(4)]), TEST_QUEUE, 0).steps[0] as StepProgress
  const start = (index: number): void => {
    const task = step.tasks[index]
    if (task === undefined) return
    step.recordPlacement(index, 1, 'worker-1@1')
    startedRuns.add(task, 1)
  }
  start(0)
  const records = [startedRuns.takeDue()]
  for (const index of [1, 2, 3]) start(index)
  records.push(startedRuns.takeDue())
  step.applyRunEnd(1, 1, 'done', '')
  const lost = step.tasks[2]
  if (lost !== undefined) step.releaseLostRun(lost, 1)
  await clock.advance(500)
  records.push(startedRuns.takeDue())
  t.deepEqual(records, [[{ type: 'started', job: 'a', occurrence: 0, step: 0, runs: [[0, 1]] }], [], [{ type: 'started', job: 'a', occurrence: 0, step: 0, runs: [[3, 1]] }]])
})
