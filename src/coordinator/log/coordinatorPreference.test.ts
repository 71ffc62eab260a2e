import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { CoordinatorPreference } from './coordinatorPreference.ts'

const REPORT_INTERVAL_MS = 400
/** A link that takes no part in the choice. */
const FAST_LINK_MBPS = Infinity

/** Feeds reports of one instance for the given time; returns the number of hand-overs. */
async function hear (clock: ManualClock, preference: CoordinatorPreference, processors: number, forMs: number, reachesStore = true): Promise<number> {
  let yields = 0
  for (let passedMs = 0; passedMs < forMs; passedMs += REPORT_INTERVAL_MS) {
    preference.recordReport('entry-2', processors, reachesStore)
    if (preference.shouldHandOver()) yields += 1
    await clock.advance(REPORT_INTERVAL_MS)
  }
  return yields
}

test('instances of different size: one with a quarter of the processors of another does not stay coordinator', async t => {
  const clock = new ManualClock()
  const small = new CoordinatorPreference(clock, 0.324, FAST_LINK_MBPS)
  t.is(await hear(clock, small, 1.35, 4_000), 1)
  t.true(small.candidateDelayMs > 0, 'the larger one is elected')
  t.is(new CoordinatorPreference(clock, 1.35, FAST_LINK_MBPS).candidateDelayMs, 0)
})

test('instances of equal size: leadership is not handed over', async t => {
  const clock = new ManualClock()
  const preference = new CoordinatorPreference(clock, 0.675, FAST_LINK_MBPS)
  t.is(await hear(clock, preference, 0.675, 60_000), 0)
  t.is(preference.candidateDelayMs, 0)
})

test('a larger instance that cannot reach the store, or is not elected, does not cause repeated hand-overs', async t => {
  const clock = new ManualClock()
  const preference = new CoordinatorPreference(clock, 0.324, FAST_LINK_MBPS)
  t.is(await hear(clock, preference, 1.35, 20_000, false), 0)
  t.is(await hear(clock, preference, 1.35, 20_000), 1)
})

test('a larger instance that is gone causes no hand-over, and only a short delay for candidates', async t => {
  const clock = new ManualClock()
  const preference = new CoordinatorPreference(clock, 0.324, FAST_LINK_MBPS)
  preference.recordReport('entry-2', 1.35, true)
  await clock.advance(3_000)
  t.is(preference.largest, 0.324)
  t.false(preference.shouldHandOver())
  preference.updateLargestKnown(1.35)
  t.true(preference.candidateDelayMs <= 500)
})

test('start of a cluster in which nobody knows the others: an instance with a slow link lets those with faster ones be elected first', async t => {
  const clock = new ManualClock()
  const delay = (bandwidthMbps: number): number => new CoordinatorPreference(clock, 0.675, bandwidthMbps).candidateDelayMs
  t.true(delay(7) - delay(140) > 400, 'longer than the distance to the store delays a candidate')
  t.true(delay(7) <= 600, 'a cluster of slow links alone has a coordinator soon')
  t.true(delay(1_000) < 10)
})
