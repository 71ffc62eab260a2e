import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { CoordinatorPreference } from './coordinatorPreference.ts'

const REPORT_INTERVAL_MS = 400

/** Reports of one instance for some time; returns how often the office was handed over. */
async function hear (clock: ManualClock, preference: CoordinatorPreference, processors: number, forMs: number, reachesStore = true): Promise<number> {
  let yields = 0
  for (let passedMs = 0; passedMs < forMs; passedMs += REPORT_INTERVAL_MS) {
    preference.recordReport('entry-2', processors, reachesStore)
    if (preference.shouldHandOver()) yields += 1
    await clock.advance(REPORT_INTERVAL_MS)
  }
  return yields
}

test('unlike instances: the office does not stay at one with a quarter of the processors of another', async t => {
  const clock = new ManualClock()
  const small = new CoordinatorPreference(clock, 0.324)
  t.is(await hear(clock, small, 1.35, 4_000), 1)
  t.true(small.candidateDelayMs > 0, 'the larger one is elected')
  t.is(new CoordinatorPreference(clock, 1.35).candidateDelayMs, 0)
})

test('like instances: the office does not move', async t => {
  const clock = new ManualClock()
  const preference = new CoordinatorPreference(clock, 0.675)
  t.is(await hear(clock, preference, 0.675, 60_000), 0)
  t.is(preference.candidateDelayMs, 0)
})

test('a larger instance that does not reach the store, or is not elected, does not keep the office moving', async t => {
  const clock = new ManualClock()
  const preference = new CoordinatorPreference(clock, 0.324)
  t.is(await hear(clock, preference, 1.35, 20_000, false), 0)
  t.is(await hear(clock, preference, 1.35, 20_000), 1)
})

test('a larger instance that is gone is not waited for by the coordinator, and briefly by candidates', async t => {
  const clock = new ManualClock()
  const preference = new CoordinatorPreference(clock, 0.324)
  preference.recordReport('entry-2', 1.35, true)
  await clock.advance(3_000)
  t.is(preference.largest, 0.324)
  t.false(preference.shouldHandOver())
  preference.updateLargestKnown(1.35)
  t.true(preference.candidateDelayMs <= 500)
})
