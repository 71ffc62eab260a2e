import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { JobTable } from '../../jobs/jobTable.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../../jobs/testing/definitions.ts'
import { OutcomeRetention } from './outcomeRetention.ts'

const PERIOD_MS = 120_000
const JUMP_MS = 600_000

function createTable (): JobTable {
  const table = new JobTable(() => 0)
  table.apply({ type: 'queue', queue: TEST_QUEUE })
  table.apply(createJobRecord('a', [createStep(1)]))
  return table
}

// Guards against finished jobs that are answered as unknown because the time of day jumped at their coordinator.
test('a jump of the time of day does not shorten the retention of finished jobs', async t => {
  const clock = new ManualClock()
  const table = createTable()
  const retention = new OutcomeRetention(clock, table, PERIOD_MS)
  retention.finish(table.jobs.get('a')!)
  clock.suspend(JUMP_MS)
  await clock.advance(PERIOD_MS)
  retention.evict()
  t.true(table.finished.has('a'))
  await clock.advance(PERIOD_MS + 1)
  retention.evict()
  t.false(table.finished.has('a'))
})

// Guards against finished jobs that are answered as unknown because their coordinator's time of day was behind its successor's.
test('a successor keeps the jobs finished in earlier terms, whatever the time of day was there', async t => {
  for (const offsetMs of [-JUMP_MS, JUMP_MS]) {
    const clock = new ManualClock()
    const table = createTable()
    table.finishJob(table.jobs.get('a')!, clock.wallMs() + offsetMs)
    const retention = new OutcomeRetention(clock, table, PERIOD_MS)
    await clock.advance(PERIOD_MS - 1)
    retention.evict()
    t.true(table.finished.has('a'))
    await clock.advance(PERIOD_MS + 2)
    retention.evict()
    t.false(table.finished.has('a'))
  }
})
