import test from 'ava'
import { createTaskIds, isTaskOfAttempt } from './taskIds.ts'

test('stopping one attempt stops no task of a later one', t => {
  const attempts = Array.from({ length: 12 }, (_, number) => `5c0e.${number + 1}`)
  for (const tasks of [1, 3]) {
    for (const attempt of attempts) {
      const stopped = attempts.filter(other => createTaskIds(other, tasks).some(id => isTaskOfAttempt(id, attempt)))
      t.deepEqual(stopped, [attempt])
    }
  }
})
