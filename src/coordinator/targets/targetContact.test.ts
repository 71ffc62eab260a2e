import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { TargetContact } from './targetContact.ts'

// Guards against a run of the next incarnation that is taken for one of the earlier incarnation, and released with it while it continues.
test('the clock of the next incarnation is told apart although the last report arrived as late as a renewal waits', async t => {
  const clock = new ManualClock()
  await clock.advance(10_000)
  const contact = new TargetContact(clock)
  // The renewal waited 1 s for a run to end and then 1.2 s; the target restarted right after it had given the report.
  const reportedMs = clock.monotonicMs()
  await clock.advance(2_190)
  contact.recordReport(3_000, reportedMs - 10, clock.monotonicMs())
  await clock.advance(900)
  const clockOfNextMs = clock.monotonicMs() - reportedMs - 1
  t.false(contact.isAnswerOfIncarnation(clockOfNextMs))
  t.true(contact.isAnswerOfIncarnation(clockOfNextMs + 3_000))
})
