import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import type { CallerAnswer } from './callerCall.ts'
import { collectAnswers } from './collectAnswers.ts'

const STATE: CallerAnswer = { outcome: 'state', state: 'active' }

test('outage of the store: a submission that waits for it does not hold up the question that came with it', async t => {
  const clock = new ManualClock()
  const collected = collectAnswers(clock, [new Promise(() => {}), Promise.resolve(STATE)], 200)
  await clock.advance(200)
  t.deepEqual(await collected, [{ outcome: 'underway' }, STATE])
})

test('answers that are all known are not held back', async t => {
  const clock = new ManualClock()
  t.deepEqual(await collectAnswers(clock, [Promise.resolve(STATE)], 200), [STATE])
  t.is(clock.monotonicMs(), 0)
})
