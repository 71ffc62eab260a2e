import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { RateBudget } from '../../scheduler/rateBudget.ts'
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
    admission.updateWaiting(waiting.map(({ team, sinceMs }) => ({ team, priority: 0, waitedMs: clock.monotonicMs() - sinceMs })))
    await clock.advance(STEP_MS)
  }
  return { longestMs, accepted, waitingWithinShare: waiting.filter(({ withinShare }) => withinShare).length }
}

test('overload by one team: jobs beyond its share are refused instead of queued, and no job within a share is left waiting', async t => {
  const unlimited = await simulateOverload(() => false)
  const limited = await simulateOverload((admission, team) => admission.refuses(team, 0))
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
  t.false(admission.refuses('weavers', 0))
  admission.recordUtilization(0.95)
  t.true(admission.refuses('weavers', 0))
  await clock.advance(1_100)
  t.false(admission.refuses('weavers', 0))
})

test('long waits caused by one team\'s cap do not cause refusals for another team', t => {
  const admission = new AdmissionControl(new ManualClock())
  admission.updateWaiting(Array.from({ length: 20 }, () => ({ team: 'capped', priority: 0, waitedMs: 5_000 })))
  t.true(admission.refuses('capped', 0))
  t.false(admission.refuses('weavers', 0))
})

/**
 * Simulates 10 s in which a team beyond its share submits 100 urgent jobs and 4 wide ones per second. Urgent jobs run for
 * 0.6 s on 60 cores, wide ones for 5 s on 400 cores, in a cap of 6,000 cores, of which wide jobs use 4,800 at most. Returns
 * the share of the urgent jobs that are started within half a second.
 */
async function simulateHotTeam (refuses: (admission: AdmissionControl, priority: number) => boolean): Promise<number> {
  const clock = new ManualClock()
  const admission = new AdmissionControl(clock)
  const sizes = [{ cores: 60, runMs: 600, perStep: 10, capCores: 6_000 }, { cores: 400, runMs: 5_000, perStep: 0.4, capCores: 4_800 }]
  let waiting: { priority: number, sinceMs: number }[] = []
  let running: { cores: number, untilMs: number }[] = []
  let submitted = 0
  let inTime = 0
  for (let step = 0; step < 100; step++) {
    const nowMs = clock.monotonicMs()
    running = running.filter(({ untilMs }) => untilMs > nowMs)
    for (const [priority, { perStep }] of sizes.entries()) {
      const count = Math.floor((step + 1) * perStep) - Math.floor(step * perStep)
      if (priority === 0) submitted += count
      for (let job = 0; job < count; job++) if (!refuses(admission, priority)) waiting.push({ priority, sinceMs: nowMs })
    }
    waiting = waiting.sort((left, right) => left.priority - right.priority).filter(({ priority, sinceMs }) => {
      const { cores, runMs, capCores } = sizes[priority] ?? { cores: 0, runMs: 0, capCores: 0 }
      if (running.reduce((sum, run) => sum + run.cores, 0) + cores > capCores) return true
      running.push({ cores, untilMs: nowMs + runMs })
      if (priority === 0 && nowMs - sinceMs <= 500) inTime += 1
      return false
    })
    admission.updateWaiting(waiting.map(({ priority, sinceMs }) => ({ team: 'hot', priority, waitedMs: nowMs - sinceMs })))
    await clock.advance(STEP_MS)
  }
  return inTime / submitted
}

test('a team at several times its usual load: its urgent jobs are not refused because its wide jobs wait', async t => {
  // The naive version counts the waiting jobs of all priorities.
  const naive = await simulateHotTeam(admission => admission.refuses('hot', Infinity))
  const ours = await simulateHotTeam((admission, priority) => admission.refuses('hot', priority))
  t.log(`urgent jobs started in time: naive ${naive.toFixed(2)}, ours ${ours.toFixed(2)}`)
  t.true(ours >= naive)
  t.true(ours > 0.9, 'there is capacity for all of them')
})

test('retry delays of refused callers are randomized', t => {
  const admission = new AdmissionControl(new ManualClock())
  t.deepEqual([0, 0.4, 0.99].map(random => admission.retryAfterSeconds(random)), [2, 3, 4])
})
