import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import type { CallerAnswer } from './callerCall.ts'
import { collectAnswers } from './collectAnswers.ts'

const STATE: CallerAnswer = { outcome: 'state', state: 'active' }

test('store outage: a submission that waits for the store does not delay a read in the same batch', async t => {
  const clock = new ManualClock()
  const collected = collectAnswers(clock, [new Promise(() => {}), Promise.resolve(STATE)], 200)
  await clock.advance(200)
  t.deepEqual(await collected, [{ outcome: 'underway' }, STATE])
})

test('a batch is answered without delay once all its answers are known', async t => {
  const clock = new ManualClock()
  t.deepEqual(await collectAnswers(clock, [Promise.resolve(STATE)], 200), [STATE])
  t.is(clock.monotonicMs(), 0)
})
