import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { RateBudget } from '../scheduler/rateBudget.ts'
import { AdmissionControl } from './admissionControl.ts'

const STARTS_PER_SECOND = 30
const STEP_MS = 100

/**
 * Simulates 20 s in which one team submits 60 jobs per second and another 10, each with a share of 10 per second. 30
 * jobs per second are started, those within a share first. Returns the longest wait of a started job, the number of
 * accepted jobs, and the number of jobs within a share that are waiting at the end.
 */
async function simulateOverload (refuses: (admission: AdmissionControl, team: string) => boolean): Promise<{ longestMs: number, accepted: number, waitingWithinShare: number }> {
  const clock = new ManualClock()
  const admission = new AdmissionControl(clock)
  const shares = new RateBudget(clock, () => ({ perSecond: 10, burst: 10 }))
  const waiting: { team: string, sinceMs: number, withinShare: boolean }[] = []
  let longestMs = 0
  let accepted = 0
  for (let nowMs = 0; nowMs < 20_000; nowMs += STEP_MS) {
    for (const team of [...Array.from({ length: 6 }, () => 'overloading'), 'steady']) {
      const withinShare = shares.tryTake(team, 1)
      if (!withinShare && refuses(admission, team)) continue
      accepted += 1
      waiting.push({ team, sinceMs: clock.monotonicMs(), withinShare })
    }
    waiting.sort((left, right) => Number(right.withinShare) - Number(left.withinShare) || left.sinceMs - right.sinceMs)
    const started = waiting.splice(0, STARTS_PER_SECOND * STEP_MS / 1_000)
    longestMs = Math.max(longestMs, ...started.map(({ sinceMs }) => clock.monotonicMs() - sinceMs))
    admission.updateWaiting(waiting.map(({ team, sinceMs }) => ({ team, waitedMs: clock.monotonicMs() - sinceMs })))
    await clock.advance(STEP_MS)
  }
  return { longestMs, accepted, waitingWithinShare: waiting.filter(({ withinShare }) => withinShare).length }
}

test('overload by one team: jobs beyond its share are refused instead of queued, and no job within a share is left waiting', async t => {
  const unlimited = await simulateOverload(() => false)
  const limited = await simulateOverload((admission, team) => admission.refuses(team))
  t.true(unlimited.longestMs >= limited.longestMs)
  t.true(unlimited.accepted > 1_300, 'without admission control nearly all of the 1,400 jobs are accepted')
  t.true(limited.accepted <= STARTS_PER_SECOND * 20 + 150, `${limited.accepted} accepted, more than can be started`)
  t.true(limited.accepted >= STARTS_PER_SECOND * 20 * 0.9, 'enough jobs are accepted to use the capacity')
  t.is(limited.waitingWithinShare, 0)
})

test('jobs beyond a share are refused for a limited time after a high utilization sample, and not after a low one', async t => {
  const clock = new ManualClock()
  const admission = new AdmissionControl(clock)
  admission.recordUtilization(0.5)
  t.false(admission.refuses('weavers'))
  admission.recordUtilization(0.95)
  t.true(admission.refuses('weavers'))
  await clock.advance(1_100)
  t.false(admission.refuses('weavers'))
})

test('long waits caused by one team\'s cap do not cause refusals for another team', t => {
  const admission = new AdmissionControl(new ManualClock())
  admission.updateWaiting(Array.from({ length: 20 }, () => ({ team: 'capped', waitedMs: 5_000 })))
  t.true(admission.refuses('capped'))
  t.false(admission.refuses('weavers'))
})

test('retry delays of refused callers are randomized', t => {
  const admission = new AdmissionControl(new ManualClock())
  t.deepEqual([0, 0.4, 0.99].map(random => admission.retryAfterSeconds(random)), [2, 3, 4])
})
