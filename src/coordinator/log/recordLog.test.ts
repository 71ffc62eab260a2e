import test from 'ava'
import fc from 'fast-check'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { createLogger } from '../../observability/logger.ts'
import type { LogRecord } from '../../jobs/jobRecords.ts'
import { JobTable } from '../../jobs/jobTable.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../../jobs/testing/definitions.ts'
import { compactLog } from './logCompactor.ts'
import { readLog } from './logReader.ts'
import { LOG_PREFIX, RecordLog, RecordsWithdrawnError, segmentKey, TermLostError } from './recordLog.ts'
import { MemoryTransactionalStore } from '../testing/memoryTransactionalStore.ts'
import type { CommitFault } from '../testing/memoryTransactionalStore.ts'

const ELECTION_KEY = 'coordinator'
const logger = createLogger({ level: 'silent', instance: 'test', dataCentre: 'test', secrets: [] })

function cancelled (job: string): LogRecord {
  return { type: 'cancelled', job, wallMs: 0 }
}

function createLog () {
  const store = new MemoryTransactionalStore()
  const clock = new ManualClock()
  const lost: string[] = []
  const stalls: number[] = []
  store.put(ELECTION_KEY, 'entry-1')
  const revision = store.items.get(ELECTION_KEY)?.revision ?? 0
  const log = new RecordLog({
    store, clock, logger, election: { key: ELECTION_KEY, revision }, nextSequence: 1, onTermLost: reason => lost.push(reason), onStalled: () => stalls.push(clock.monotonicMs())
  })
  const stored = (): string[] => [...store.items].filter(([key]) => key.startsWith(LOG_PREFIX)).map(([, { value }]) => value)
  return { store, clock, lost, stalls, log, stored }
}

test('a segment whose answer was lost is not stored twice', async t => {
  const { store, clock, log, stored } = createLog()
  store.commitFaults.push('lost')
  const written = log.append([cancelled('job-1')])
  await clock.advance(1_000)
  await written
  t.is(store.commits, 2)
  t.deepEqual(stored().map(value => JSON.parse(value)), [[cancelled('job-1')]])
  t.is(log.nextSequence, 2)
})

// Guards against fencing tokens that a later coordinator does not exceed.
test('the last revision is one at which the log itself has written, also when an answer was lost', async t => {
  const { store, clock, log } = createLog()
  const ownRevision = (): number => Math.max(...[...store.items.values()].map(({ revision }) => revision))
  t.is(log.lastRevision, ownRevision(), 'that of the election')
  store.commitFaults.push('lost')
  const written = log.append([cancelled('job-1')])
  await clock.advance(1_000)
  await written
  const revision = ownRevision()
  t.is(log.lastRevision, revision)
  store.put(ELECTION_KEY, 'entry-2')
  log.append([cancelled('job-2')]).catch(() => {})
  await clock.advance(1_000)
  t.is(log.lastRevision, revision)
})

test('the last revision is below the election of a successor that has written the same segment', async t => {
  const { store, clock, log } = createLog()
  store.commitFaults.push('late')
  log.append([cancelled('job-1')]).catch(() => {})
  await clock.advance(10)
  store.put(ELECTION_KEY, 'entry-2')
  const successor = store.items.get(ELECTION_KEY)?.revision ?? 0
  store.put(segmentKey(1), JSON.stringify([cancelled('job-1')]))
  await clock.advance(1_000)
  t.true(log.lastRevision < successor)
})

test('records wait for a store that refuses them, in order', async t => {
  const { store, clock, log, stored } = createLog()
  store.commitFaults.push('unavailable', 'unavailable')
  const first = log.append([cancelled('job-1')])
  const second = log.append([cancelled('job-2')])
  await clock.advance(20)
  t.not(log.failingSinceMs, undefined)
  await clock.advance(1_000)
  await Promise.all([first, second])
  t.is(log.failingSinceMs, undefined)
  t.deepEqual(stored().flatMap(value => JSON.parse(value)), [cancelled('job-1'), cancelled('job-2')])
})

test('a replaced coordinator stores nothing more and is notified', async t => {
  const { store, clock, lost, log, stored } = createLog()
  store.put(ELECTION_KEY, 'entry-2')
  const written = log.append([cancelled('job-1')])
  const flushed = log.flushed()
  await Promise.all([t.throwsAsync(written, { instanceOf: TermLostError }), t.throwsAsync(flushed, { instanceOf: TermLostError }), clock.advance(1_000)])
  t.deepEqual(lost, ['the election key has changed'])
  t.deepEqual(stored(), [])
  await t.throwsAsync(log.append([cancelled('job-2')]), { instanceOf: TermLostError })
})

test('flushing does not resolve before what was appended is stored', async t => {
  const { store, clock, log } = createLog()
  store.refusing = true
  let flushed = false
  log.append([cancelled('job-1')]).catch(() => {})
  const waiting = log.flushed().then(() => { flushed = true })
  await clock.advance(500)
  t.false(flushed)
  store.refusing = false
  await clock.advance(500)
  await waiting
  t.true(flushed)
})

function placed (job: string): LogRecord {
  return { type: 'placed', job, occurrence: 0, step: 0, runs: [[0, 1, 'worker-1@1']] }
}

test('store outage: a job that is in no commit is withdrawn with all its records, and none of them is stored', async t => {
  const { store, clock, stalls, log, stored } = createLog()
  store.refusing = true
  const sent = log.append([createJobRecord('job-1', [createStep(1)])])
  const unsent = log.append([createJobRecord('job-2', [createStep(1)])])
  const itsPlaces = log.append([placed('job-2')])
  const other = log.append([cancelled('job-3')])
  await clock.advance(700)
  t.deepEqual(stalls, [600])
  t.true(log.stalled)
  t.deepEqual(log.unsentJobs, ['job-2'])
  t.false(log.withdrawJob('job-1'))
  t.true(log.withdrawJob('job-2'))
  await t.throwsAsync(unsent, { instanceOf: RecordsWithdrawnError })
  await t.throwsAsync(itsPlaces, { instanceOf: RecordsWithdrawnError })
  const flushed = log.flushed()
  store.refusing = false
  await clock.advance(200)
  await Promise.all([sent, other, flushed])
  t.false(log.stalled)
  t.deepEqual(stored().flatMap(value => JSON.parse(value)).map(({ id, job }) => id ?? job), ['job-1', 'job-3'])
})

// Guards against a job that stays active although it was given up, because its record was appended with one of a withdrawn job.
test('store outage: a record of another job that was appended with one of a withdrawn job is stored', async t => {
  const { store, clock, log, stored } = createLog()
  store.refusing = true
  const sent = log.append([cancelled('job-1')])
  const unsent = log.append([createJobRecord('job-2', [createStep(1)])])
  const both = log.append([cancelled('job-2'), cancelled('job-3')])
  await clock.advance(700)
  t.true(log.withdrawJob('job-2'))
  await t.throwsAsync(unsent, { instanceOf: RecordsWithdrawnError })
  store.refusing = false
  await clock.advance(200)
  await Promise.all([sent, both])
  t.deepEqual(stored().flatMap(value => JSON.parse(value)), [cancelled('job-1'), cancelled('job-3')])
})

test('records that a snapshot may contain are not withdrawn, since a successor could start their job', async t => {
  const { store, clock, log } = createLog()
  store.refusing = true
  log.append([cancelled('job-1')]).catch(() => {})
  log.append([createJobRecord('job-2', [createStep(1)])]).catch(() => {})
  await clock.advance(100)
  log.preventWithdrawal()
  t.deepEqual(log.unsentJobs, [])
  t.false(log.withdrawJob('job-2'))
  log.close()
})

/** Holds commits until the test releases them. */
function holdCommits (store: MemoryTransactionalStore) {
  const held: (() => void)[] = []
  const commit = store.commit.bind(store)
  store.commit = async transaction => {
    await new Promise<void>(resolve => held.push(resolve))
    return await commit(transaction)
  }
  return held
}

test('slow store: a placement is sent before the preceding acceptance is stored, and counts as stored after it', async t => {
  const { store, clock, log, stored } = createLog()
  const held = holdCommits(store)
  const order: string[] = []
  log.append([createJobRecord('job-1', [createStep(1)])]).then(() => order.push('accepted'), () => {})
  await clock.advance(20)
  log.append([placed('job-1')]).then(() => order.push('placed'), () => {})
  await clock.advance(20)
  t.is(held.length, 2)
  held[1]?.()
  await clock.advance(1)
  t.is(stored().length, 1)
  t.deepEqual(order, [])
  t.is(log.nextSequence, 1)
  held[0]?.()
  await clock.advance(1)
  t.deepEqual(order, ['accepted', 'placed'])
  t.is(log.nextSequence, 3)
})

test('slow store: a burst of records is batched into few commits', async t => {
  const { store, clock, log } = createLog()
  const held = holdCommits(store)
  for (let number = 0; number < 40; number++) {
    log.append([cancelled(`job-${number}`)]).catch(() => {})
    await clock.advance(3)
  }
  t.is(held.length, 4)
  log.close()
})

test('a commit with a late answer is retried in parallel, and its records are stored once', async t => {
  const { store, clock, log, stored } = createLog()
  const held = holdCommits(store)
  const written = log.append([cancelled('job-1')])
  await clock.advance(200)
  t.is(held.length, 2)
  held[1]?.()
  await clock.advance(1)
  await written
  held[0]?.()
  await clock.advance(5_000)
  t.is(held.length, 2)
  t.deepEqual(stored().map(value => JSON.parse(value)), [[cancelled('job-1')]])
})

test('a term that ends between two commits leaves a gap, and the records after it have no effect', async t => {
  const { store, clock, log, stored } = createLog()
  const held = holdCommits(store)
  const accepted = log.append([createJobRecord('job-1', [createStep(1)])])
  await clock.advance(20)
  const itsPlaces = log.append([placed('job-1')])
  await clock.advance(20)
  held[1]?.()
  await clock.advance(1)
  store.put(ELECTION_KEY, 'entry-2')
  held[0]?.()
  await Promise.all([t.throwsAsync(accepted, { instanceOf: TermLostError }), t.throwsAsync(itsPlaces, { instanceOf: TermLostError }), clock.advance(1)])
  t.is(stored().length, 1)
  const { table, nextSequence } = await readLog(store, () => 0)
  t.is(table.jobs.size, 0)
  t.is(nextSequence, 3)
})

const anyStep = fc.oneof(
  fc.record({ type: fc.constant('append' as const), jobs: fc.integer({ min: 1, max: 3 }) }),
  fc.record({ type: fc.constant('advance' as const), durationMs: fc.constantFrom(5, 30, 200, 800) }),
  fc.record({ type: fc.constant('faults' as const), faults: fc.array(fc.constantFrom<CommitFault>('none', 'lost', 'late', 'unavailable'), { maxLength: 8 }) }),
  fc.constantFrom({ type: 'execute-late' } as const, { type: 'withdraw' } as const, { type: 'compact' } as const)
)

// Guards against a job that was confirmed to its caller and is not known after the loss of all instances.
test('a job that counts as stored is known to a successor at every later moment, and a withdrawn one is not', async t => {
  const property = fc.asyncProperty(fc.array(anyStep, { minLength: 5, maxLength: 40 }), async steps => {
    const { store, clock, log } = createLog()
    const election = { key: ELECTION_KEY, revision: store.items.get(ELECTION_KEY)?.revision ?? 0 }
    const table = new JobTable(() => 0)
    const [stored, withdrawn] = [new Set<string>(), new Set<string>()]
    let count = 0
    for (const step of steps) {
      if (step.type === 'append') {
        for (let number = 0; number < step.jobs; number++) {
          const record = createJobRecord(`job-${++count}`, [createStep(1)])
          const records: LogRecord[] = [{ type: 'queue', queue: TEST_QUEUE }, record]
          for (const each of records) table.apply(each)
          log.append(records).then(() => stored.add(record.id), () => withdrawn.add(record.id))
        }
      }
      if (step.type === 'advance') await clock.advance(step.durationMs)
      if (step.type === 'faults') store.commitFaults.splice(0, Infinity, ...step.faults)
      if (step.type === 'execute-late') store.executeLate()
      if (step.type === 'withdraw') for (const id of log.unsentJobs) if (log.withdrawJob(id)) table.discard(id)
      if (step.type === 'compact') {
        log.preventWithdrawal()
        await compactLog({ store, logger, election, table, lastSequence: log.nextSequence - 1 }).catch(() => {})
      }
      await clock.advance(0)
      const { table: successor } = await readLog(store, () => 0)
      if ([...stored].some(id => !successor.jobs.has(id)) || [...withdrawn].some(id => successor.jobs.has(id))) return false
    }
    log.close()
    return true
  })
  await t.notThrowsAsync(fc.assert(property, { seed: 37, numRuns: 500 }))
})
