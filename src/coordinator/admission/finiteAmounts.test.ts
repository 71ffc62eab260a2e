import test from 'ava'
import { ArrivalRates } from './arrivalRates.ts'
import { StartCorrection } from './startCorrection.ts'

// Guards against one amount that makes all later rates and factors NaN, and with them every decision of the term.
test('amounts that are not finite change neither rates nor factors', t => {
  const rates = new ArrivalRates()
  const correction = new StartCorrection()
  for (const amount of [Infinity, NaN]) {
    rates.record('renders', 0, { processors: 1_000, work: amount }, 0)
    correction.record(0, amount, 400, 0)
    correction.record(0, 400, amount, 0)
  }
  t.deepEqual(rates.before('renders', Infinity, 1), { processors: 0, work: 0 })
  t.is(correction.factor(0, 1), 1)
})
