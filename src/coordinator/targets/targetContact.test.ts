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
  const sentMs = clock.monotonicMs() - 20
  t.false(contact.isAnswerOfIncarnation(clockOfNextMs, sentMs))
  t.true(contact.isAnswerOfIncarnation(clockOfNextMs + 3_000, sentMs))
})

// Guards against the same where the clock of the next incarnation does not start with 0, and against doubt about each answer of a clock that is 2% off.
test('an answer counts as one of the incarnation only if its clock continues that of the last report', async t => {
  for (const rate of [0.98, 1, 1.02]) {
    const clock = new ManualClock()
    await clock.advance(10_000)
    const contact = new TargetContact(clock)
    const answerAt = (clockMs: number): boolean => contact.isAnswerOfIncarnation(Math.floor(clockMs), clock.monotonicMs() - 20)
    t.false(answerAt(900_000), 'without a report')
    await clock.advance(30)
    contact.recordReport(900_000, clock.monotonicMs() - 20, clock.monotonicMs())
    await clock.advance(1_000)
    const expectedMs = 900_000 + 1_000 * rate
    t.deepEqual([answerAt(expectedMs), answerAt(expectedMs + 5)], [true, true], `${rate}`)
    t.deepEqual([answerAt(expectedMs - 500), answerAt(expectedMs + 500), answerAt(450_000), answerAt(1_300_000)], [false, false, false, false], `${rate}`)
    t.true(contact.isAnswerOfIncarnation(900_000 - 100, clock.monotonicMs() - 1_150), 'executed before the report')
  }
})
