import test from 'ava'
import { createAssignments } from '../testing/assignments.ts'
import { BlockedSteps } from './blockedSteps.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'

const NOW_MS = 100_000

function createStepOf (id: string): StepProgress {
  const [assignment] = createAssignments(id, 1)
  if (assignment === undefined) throw new Error('the step has no task')
  return assignment.task.step
}

// Guards against a wait that starts anew whenever the step waits for another reason in between.
test('a step uses what is kept for others after two seconds, also if it has waited for another reason for a moment', t => {
  const blocked = new BlockedSteps()
  const step = createStepOf('a')
  blocked.record(step, NOW_MS, true)
  blocked.expire(NOW_MS + 1_000)
  blocked.record(step, NOW_MS + 1_000, true)
  t.is(blocked.remainingMs(step, NOW_MS + 1_500), 500)
  t.false(blocked.isOverdue(step, NOW_MS + 1_999))
  t.true(blocked.isOverdue(step, NOW_MS + 2_000))
})

// Guards against a step that takes what is kept for others because of a wait that is long over.
test('the wait of a step is forgotten when it starts, when it has not waited for more than a second, and when its job has ended', t => {
  const blocked = new BlockedSteps()
  const [started, absent, cancelled] = ['a', 'b', 'c'].map(createStepOf) as [StepProgress, StepProgress, StepProgress]
  for (const step of [started, absent, cancelled]) blocked.record(step, NOW_MS, true)
  blocked.recordStart(started)
  cancelled.job.cancel()
  blocked.expire(NOW_MS)
  t.deepEqual([started, absent, cancelled].map(step => blocked.has(step)), [false, true, false])
  blocked.expire(NOW_MS + 1_001)
  t.false(blocked.any)
  t.is(blocked.remainingMs(absent, NOW_MS + 1_001), undefined)
})

// Guards against a team at its cap that uses what is kept for others.
test('the time of a step starts anew while it does not count', t => {
  const blocked = new BlockedSteps()
  const step = createStepOf('a')
  blocked.record(step, NOW_MS, true)
  blocked.record(step, NOW_MS + 900, false)
  blocked.record(step, NOW_MS + 1_800, true)
  t.false(blocked.isOverdue(step, NOW_MS + 2_000))
  t.true(blocked.isOverdue(step, NOW_MS + 2_900))
})
