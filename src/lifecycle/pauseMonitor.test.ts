import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { PauseMonitor } from './pauseMonitor.ts'

// Guards against old input that counts as new, since it is read before or after the timer that notices the pause.
test('input read within two seconds after a pause may be as old as the pause, and later input is new', async t => {
  const clock = new ManualClock()
  const monitor = new PauseMonitor(clock)
  await monitor.start()
  await clock.advance(5_000)
  t.is(monitor.inputAgeMs, 0)
  clock.pause(30_000)
  t.is(monitor.inputAgeMs, 29_500)
  await clock.advance(100)
  t.is(monitor.inputAgeMs, 29_600)
  await clock.advance(1_800)
  t.is(monitor.inputAgeMs, 31_400)
  await clock.advance(200)
  t.is(monitor.inputAgeMs, 0)
  await monitor.stop()
})

test('a short pause after a long one does not hide it', async t => {
  const clock = new ManualClock()
  const monitor = new PauseMonitor(clock)
  await monitor.start()
  for (const pauseMs of [30_000, 1_000]) {
    clock.pause(pauseMs)
    await clock.advance(100)
  }
  t.true(monitor.inputAgeMs > 29_000)
  await monitor.stop()
})
