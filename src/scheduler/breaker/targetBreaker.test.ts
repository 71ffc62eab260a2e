import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { TargetBreaker } from './targetBreaker.ts'

function openBreaker (breaker: TargetBreaker): readonly string[] {
  return ['1', '2', '3', '4', '5'].map(taskId => breaker.recordFailure('w', taskId))
}

test('consecutive failures take a target out of service, and isolated failures do not', t => {
  const breaker = new TargetBreaker(new ManualClock())
  for (let round = 0; round < 10; round++) {
    for (let failure = 0; failure < 4; failure++) t.is(breaker.recordFailure('w', `${failure}`), 'unchanged')
    breaker.recordSuccess('w')
  }
  t.deepEqual(openBreaker(breaker), ['unchanged', 'unchanged', 'unchanged', 'unchanged', 'opened'])
  t.true(breaker.isOpen('w'))
})

test('probes are not sent before they are due, concurrently, or more than five minutes apart', async t => {
  const clock = new ManualClock()
  const breaker = new TargetBreaker(clock)
  openBreaker(breaker)
  for (const [probe, intervalMs] of [5_000, 10_000, 20_000, 40_000, 80_000, 160_000, 300_000, 300_000].entries()) {
    await clock.advance(intervalMs - 1)
    t.deepEqual(breaker.dueProbes(), [])
    t.false(breaker.beginProbe('w', `probe-${probe}`))
    await clock.advance(1)
    t.deepEqual(breaker.dueProbes(), ['w'])
    t.true(breaker.beginProbe('w', `probe-${probe}`))
    t.false(breaker.beginProbe('w', 'second'))
    breaker.recordFailure('w', 'late failure of an earlier attempt')
    // Every other probe never reports an outcome.
    if (probe % 2 === 0) t.is(breaker.recordFailure('w', `probe-${probe}`), 'unchanged')
  }
})

test('a target whose probe succeeds returns to service', async t => {
  const clock = new ManualClock()
  const breaker = new TargetBreaker(clock)
  openBreaker(breaker)
  await clock.advance(5_000)
  t.true(breaker.beginProbe('w', 'probe'))
  t.is(breaker.recordSuccess('w'), 'closed')
  t.is(breaker.recordFailure('w', 'next'), 'unchanged')
  t.false(breaker.isOpen('w'))
})
