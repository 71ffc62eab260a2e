import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { AdmissionControl } from './admissionControl.ts'

test('jobs beyond a share are refused for a limited time after a high utilization sample, and not after a low one', async t => {
  const clock = new ManualClock()
  const admission = new AdmissionControl(clock)
  admission.recordUtilization(0.5)
  t.false(admission.busy)
  admission.recordUtilization(0.95)
  t.true(admission.busy)
  await clock.advance(1_100)
  t.false(admission.busy)
})

test('retry delays of refused callers are randomized', t => {
  const admission = new AdmissionControl(new ManualClock())
  t.deepEqual([0, 0.4, 0.99].map(random => admission.retryAfterSeconds(random)), [2, 3, 4])
})
