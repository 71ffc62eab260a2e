import test from 'ava'
import type { StepProgress } from '../jobs/stepProgress.ts'
import { CapPrecedence, MAX_CAP_WAIT_MS, MAX_DRAINING_MS } from './capPrecedence.ts'

function createStep (team: string, priority: number, longRunning = false): StepProgress {
  return { job: { team, queue: { priority } }, definition: { longRunning } } as unknown as StepProgress
}

// Guards against gangs that never start, since narrower steps of their team always take what becomes free of its cap.
test('steps of a team leave its cap to a gang that has waited for long, unless they are urgent or last', t => {
  const precedence = new CapPrecedence()
  const [gang, later, batch, urgent, lasting, other] = [createStep('a', 1), createStep('a', 1), createStep('a', 2), createStep('a', 0), createStep('a', 2, true), createStep('b', 2)]
  const waiting = [gang, later, batch, urgent, lasting, other]
  const yielding = (nowMs: number): readonly boolean[] => {
    precedence.startPass(waiting, nowMs)
    return waiting.map(step => precedence.yields(step))
  }
  precedence.recordCapped(gang, 0)
  precedence.recordCapped(later, 100)
  precedence.recordCapped(gang, 5_000)
  t.deepEqual(yielding(MAX_CAP_WAIT_MS - 1), [false, false, false, false, false, false])
  t.deepEqual(yielding(MAX_CAP_WAIT_MS + 100), [false, true, true, false, false, false], 'the gang that has waited for longest comes first')
  waiting.splice(0, 1)
  t.deepEqual(yielding(MAX_CAP_WAIT_MS + 200), [false, true, false, false, false], 'the first has started')
})

// Guards against a team whose other work waits for ever for a gang that its urgent tasks leave no room.
test('steps of a team wait for a gang for a limited time', t => {
  const precedence = new CapPrecedence()
  const [gang, batch] = [createStep('a', 1), createStep('a', 2)]
  precedence.recordCapped(gang, 0)
  precedence.startPass([gang, batch], MAX_CAP_WAIT_MS + MAX_DRAINING_MS - 1)
  t.true(precedence.yields(batch))
  precedence.startPass([gang, batch], MAX_CAP_WAIT_MS + MAX_DRAINING_MS)
  t.false(precedence.yields(batch))
  precedence.recordCapped(gang, MAX_CAP_WAIT_MS + MAX_DRAINING_MS)
  precedence.startPass([gang, batch], 2 * MAX_CAP_WAIT_MS + MAX_DRAINING_MS)
  t.true(precedence.yields(batch), 'it waits anew')
})
