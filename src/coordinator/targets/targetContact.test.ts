import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { TargetContact } from './targetContact.ts'

// Guards against starts and leases for a target that has restarted, since a late report of its earlier incarnation counts as news.
test('a report that was requested before an answer suggested a restart does not end the suspicion', async t => {
  const clock = new ManualClock()
  const contact = new TargetContact(clock)
  contact.recordReport(5_000, clock.monotonicMs(), clock.monotonicMs())
  await clock.advance(100)
  const requestedMs = clock.monotonicMs()
  await clock.advance(50)
  t.is(contact.findRestart(5_150), undefined)
  t.is(contact.findRestart(9_000), 3_850)
  contact.recordReport(5_160, requestedMs, clock.monotonicMs())
  t.true(contact.mayHaveRestarted)
  await clock.advance(1)
  contact.recordReport(5_161, clock.monotonicMs(), clock.monotonicMs())
  t.false(contact.mayHaveRestarted)
})
