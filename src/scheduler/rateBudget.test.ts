import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { RateBudget } from './rateBudget.ts'

test('a team gets no more than its rate and its accumulated burst, and does not use up the budget of others', async t => {
  const clock = new ManualClock()
  const budget = new RateBudget(clock, () => ({ perSecond: 10, burst: 10 }))
  let taken = 0
  for (let tenth = 0; tenth < 100; tenth++) {
    for (let job = 0; job < 8; job++) taken += budget.tryTake('dyers', 1) ? 1 : 0
    await clock.advance(100)
  }
  t.true(taken >= 108 && taken <= 110, `${taken} jobs in 10 s`)
  t.is(budget.available('weavers'), 10)
})

test('no tokens are available until recorded use beyond the budget has been refilled', async t => {
  const clock = new ManualClock()
  const budget = new RateBudget(clock, () => ({ perSecond: 10, burst: 10 }))
  budget.record('dyers', 15)
  t.false(budget.tryTake('dyers', 1))
  await clock.advance(600)
  t.true(budget.tryTake('dyers', 1))
  budget.forget('dyers')
  t.is(budget.available('dyers'), 10)
})
