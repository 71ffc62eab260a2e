import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { RateBudget } from '../scheduler/rateBudget.ts'
import { AdmissionControl } from './admissionControl.ts'

const STARTS_PER_SECOND = 30
const STEP_MS = 100

/**
 * One team sends six times its share of 10 jobs a second beside one that stays within its 10, at a cell that begins 30
 * a second, those within a share first. Returns how long the longest accepted job waited and how many were accepted.
 */
async function simulateOverload (refuses: (admission: AdmissionControl, team: string) => boolean): Promise<{ longestMs: number, accepted: number, waitingWithinShare: number }> {
  const clock = new ManualClock()
  const admission = new AdmissionControl(clock)
  const shares = new RateBudget(clock, () => ({ perSecond: 10, burst: 10 }))
  const waiting: { team: string, sinceMs: number, withinShare: boolean }[] = []
  let longestMs = 0
  let accepted = 0
  for (let nowMs = 0; nowMs < 20_000; nowMs += STEP_MS) {
    for (const team of [...Array.from({ length: 6 }, () => 'hot'), 'calm']) {
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

test('one team sends many times its share: jobs that would only wait are refused at once, and no job within a share waits', async t => {
  const unlimited = await simulateOverload(() => false)
  const limited = await simulateOverload((admission, team) => admission.refuses(team))
  t.true(unlimited.longestMs >= limited.longestMs)
  t.true(unlimited.accepted > 1_300, 'without a bound everything is accepted, and most of it waits until it is of no use')
  t.true(limited.accepted <= STARTS_PER_SECOND * 20 + 150, `${limited.accepted} accepted`)
  t.true(limited.accepted >= STARTS_PER_SECOND * 20 * 0.9, 'capacity is not left unused')
  t.is(limited.waitingWithinShare, 0)
})

test('a busy coordinator refuses jobs beyond a share for a while, and a calm one does not', async t => {
  const clock = new ManualClock()
  const admission = new AdmissionControl(clock)
  admission.recordUtilization(0.5)
  t.false(admission.refuses('weavers'))
  admission.recordUtilization(0.95)
  t.true(admission.refuses('weavers'))
  await clock.advance(1_100)
  t.false(admission.refuses('weavers'))
})

test('jobs waiting for one team\'s cap do not cause refusals for another team', t => {
  const admission = new AdmissionControl(new ManualClock())
  admission.updateWaiting(Array.from({ length: 20 }, () => ({ team: 'capped', waitedMs: 5_000 })))
  t.true(admission.refuses('capped'))
  t.false(admission.refuses('weavers'))
})

test('retry delays of refused callers are spread', t => {
  const admission = new AdmissionControl(new ManualClock())
  t.deepEqual([0, 0.4, 0.99].map(random => admission.retryAfterSeconds(random)), [2, 3, 4])
})
