import test from 'ava'
import fc from 'fast-check'
import { createLogger } from '../../observability/logger.ts'
import type { LogRecord } from '../../jobs/jobRecords.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../../jobs/testing/definitions.ts'
import { compactLog } from './logCompactor.ts'
import { readLog, SNAPSHOT_HEAD_KEY, SNAPSHOT_PREFIX, SnapshotIncompleteError } from './logReader.ts'
import { LOG_PREFIX, segmentKey, TermLostError } from './recordLog.ts'
import { MemoryTransactionalStore } from '../testing/memoryTransactionalStore.ts'
import type { CommitFault } from '../testing/memoryTransactionalStore.ts'

const logger = createLogger({ level: 'silent', instance: 'test', dataCentre: 'test', secrets: [] })
const ELECTION_KEY = 'coordinator'
function job (id: string, length = 5_000): LogRecord {
  return createJobRecord(id, [createStep(2)], 'x'.repeat(length))
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

/** Two such jobs do not fit into one part of a snapshot. */
const WIDE_JOB_LENGTH = 160_000
const anyFaults = fc.record({ before: fc.nat(5), fault: fc.constantFrom<CommitFault>('lost', 'late', 'unavailable'), count: fc.nat(4) })
  .map(({ before, fault, count }) => [...Array<CommitFault>(before).fill('none'), ...Array<CommitFault>(count).fill(fault)])
const anyStep = fc.oneof(
  fc.constant({ type: 'append' } as const),
  fc.record({ type: fc.constant('compact' as const), faults: anyFaults }),
  fc.constant({ type: 'execute-late' } as const),
  fc.constant({ type: 'new-term' } as const)
)

// Guards against accepted jobs that a successor does not know, since a write of an earlier compaction took effect after a later one.
test('compactions whose writes are executed late lose no records', async t => {
  const property = fc.asyncProperty(fc.array(anyStep, { maxLength: 30 }), async steps => {
    const { store, election: first } = createStore(1)
    let election = first
    let { table, nextSequence } = await readLog(store, () => 0)
    const expected = new Set(table.jobs.keys())
    for (const step of steps) {
      if (step.type === 'append') {
        const record = job(`later-${nextSequence}`, WIDE_JOB_LENGTH)
        table.apply(record)
        store.put(segmentKey(nextSequence++), JSON.stringify([record]))
        expected.add(`later-${nextSequence - 1}`)
      } else if (step.type === 'compact') {
        store.commitFaults.splice(0, Infinity, ...step.faults)
        await compactLog({ store, logger, election, table, lastSequence: nextSequence - 1 }).catch(() => {})
      } else if (step.type === 'execute-late') {
        store.executeLate()
      } else {
        store.put(ELECTION_KEY, 'entry-2')
        election = { key: ELECTION_KEY, revision: store.items.get(ELECTION_KEY)?.revision ?? 0 }
        table = (await readLog(store, () => 0)).table
      }
      const read = await readLog(store, () => 0)
      const known = new Set(read.table.jobs.keys())
      if (read.nextSequence !== nextSequence || [...expected].some(id => !known.has(id))) return false
    }
    return true
  })
  await t.notThrowsAsync(fc.assert(property, { seed: 37, numRuns: 400 }))
})

// Guards against a coordinator that starts with an empty table and answers that accepted jobs do not exist.
test('a snapshot of which a part is missing is not read', async t => {
  const { store, election } = createStore(150)
  const { table, nextSequence } = await readLog(store, () => 0)
  await compactLog({ store, logger, election, table, lastSequence: nextSequence - 1 })
  store.items.delete([...store.items.keys()].findLast(key => key.startsWith(SNAPSHOT_PREFIX)) ?? '')
  await t.throwsAsync(readLog(store, () => 0), { instanceOf: SnapshotIncompleteError, message: /has 2 of 3 parts/ })
})

// Guards against jobs that are unknown after an update of the program, and against parts that an interrupted compaction left.
test('a snapshot of an earlier version is read without the parts that its head does not count', async t => {
  const store = new MemoryTransactionalStore()
  store.put(SNAPSHOT_HEAD_KEY, JSON.stringify({ sequence: 3, parts: 1 }))
  store.put(`${SNAPSHOT_PREFIX}3/0000`, JSON.stringify([{ type: 'queue', queue: TEST_QUEUE }, job('kept')]))
  store.put(`${SNAPSHOT_PREFIX}3/0001`, JSON.stringify([job('left-over')]))
  const { table, nextSequence } = await readLog(store, () => 0)
  t.deepEqual([[...table.jobs.keys()], nextSequence], [['kept'], 4])
})
