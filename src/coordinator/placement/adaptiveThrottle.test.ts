import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import type { TimerClock } from '../../ports/clock.ts'
import { AdaptiveThrottle } from './adaptiveThrottle.ts'

const LIMITS = { minDelayMs: 5, maxDelayMs: 100, idleFactor: 3 }

test('burst of requests: all requests before a run share it', async t => {
  const clock = new ManualClock()
  const runs: number[] = []
  const passes = new AdaptiveThrottle(clock, LIMITS, () => { runs.push(clock.monotonicMs()) })
  for (let request = 0; request < 20; request++) passes.request()
  await clock.advance(50)
  t.deepEqual(runs, [5])
  passes.request()
  await clock.advance(50)
  t.deepEqual(runs, [5, 55])
})

test('a long run leaves time for other work before the next one, within a bound', t => {
  let nowMs = 0
  let durationMs = 0
  let due: { readonly delayMs: number, readonly action: () => void } | undefined
  const clock: TimerClock = {
    monotonicMs: () => nowMs,
    wallMs: () => nowMs,
    sleep: async () => {},
    schedule: (delayMs, action) => {
      due = { delayMs, action }
      return () => { due = undefined }
    }
  }
  const passes = new AdaptiveThrottle(clock, LIMITS, () => { nowMs += durationMs })
  const delayAfter = (previousMs: number): number | undefined => {
    durationMs = previousMs
    due?.action()
    passes.request()
    return due?.delayMs
  }
  passes.request()
  t.is(due?.delayMs, 5)
  t.is(delayAfter(20), 60)
  t.is(delayAfter(500), 100)
})
