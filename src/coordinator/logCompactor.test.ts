import test from 'ava'
import { createLogger } from '../observability/logger.ts'
import type { LogRecord } from '../jobs/jobRecords.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../jobs/testing/definitions.ts'
import { compactLog } from './logCompactor.ts'
import { readLog } from './logReader.ts'
import { LOG_PREFIX, segmentKey, TermLostError } from './recordLog.ts'
import { MemoryTransactionalStore } from './testing/memoryTransactionalStore.ts'

const logger = createLogger({ level: 'silent', instance: 'test', dataCentre: 'test', secrets: [] })
const ELECTION_KEY = 'coordinator'
function job (id: string): LogRecord {
  return createJobRecord(id, [createStep(2)], 'x'.repeat(5_000))
}

function createStore (jobs: number) {
  const store = new MemoryTransactionalStore()
  store.put(ELECTION_KEY, 'entry-1')
  const election = { key: ELECTION_KEY, revision: store.items.get(ELECTION_KEY)?.revision ?? 0 }
  store.put(segmentKey(1), JSON.stringify([{ type: 'queue', queue: TEST_QUEUE }]))
  for (let number = 2; number < jobs + 2; number++) {
    const end: LogRecord = { type: 'run-end', job: `job-${number}`, occurrence: 0, step: 0, index: 0, attempt: 1, end: 'failed', checkpoint: '' }
    store.put(segmentKey(number), JSON.stringify([job(`job-${number}`), end]))
  }
  return { store, election }
}

async function describe (store: MemoryTransactionalStore): Promise<unknown> {
  const { table, nextSequence } = await readLog(store, () => 0)
  return { records: table.toRecords(), nextSequence }
}

test('a successor reads the same jobs from a snapshot and the segments after it', async t => {
  const { store, election } = createStore(150)
  const before = await describe(store)
  const { table, nextSequence } = await readLog(store, () => 0)
  await compactLog({ store, logger, election, table, lastSequence: nextSequence - 1 })
  t.is([...store.items.keys()].filter(key => key.startsWith(LOG_PREFIX)).length, 0)
  t.deepEqual(await describe(store), before)
  store.put(segmentKey(nextSequence), JSON.stringify([{ type: 'cancelled', job: 'job-2', wallMs: 0 }]))
  const after = await readLog(store, () => 0)
  t.is(after.table.jobs.get('job-2')?.outcome, 'cancelled')
  t.is(after.nextSequence, nextSequence + 1)
})

test('a compaction interrupted at any commit loses no records', async t => {
  const whole = createStore(150)
  const before = await describe(whole.store)
  const { table, nextSequence } = await readLog(whole.store, () => 0)
  for (let commits = 0; commits < 8; commits++) {
    const { store, election } = createStore(150)
    store.commitFaults.push(...Array<'none'>(commits).fill('none'), 'unavailable')
    await t.throwsAsync(compactLog({ store, logger, election, table, lastSequence: nextSequence - 1 }))
    t.deepEqual(await describe(store), before, `after ${commits} commits`)
  }
})

test('a replaced coordinator removes nothing', async t => {
  const { store, election } = createStore(3)
  const { table, nextSequence } = await readLog(store, () => 0)
  store.put(ELECTION_KEY, 'entry-2')
  const before = [...store.items.keys()]
  await t.throwsAsync(compactLog({ store, logger, election, table, lastSequence: nextSequence - 1 }), { instanceOf: TermLostError })
  t.deepEqual([...store.items.keys()], before)
})
