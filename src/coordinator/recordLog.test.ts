import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { createLogger } from '../observability/logger.ts'
import type { LogRecord } from '../jobs/jobRecords.ts'
import { LOG_PREFIX, RecordLog, TermLostError } from './recordLog.ts'
import { MemoryTransactionalStore } from './testing/memoryTransactionalStore.ts'

const ELECTION_KEY = 'coordinator'
const logger = createLogger({ level: 'silent', instance: 'test', dataCentre: 'test', secrets: [] })

function cancelled (job: string): LogRecord {
  return { type: 'cancelled', job, wallMs: 0 }
}

function createLog () {
  const store = new MemoryTransactionalStore()
  const clock = new ManualClock()
  const lost: string[] = []
  store.put(ELECTION_KEY, 'entry-1')
  const revision = store.items.get(ELECTION_KEY)?.revision ?? 0
  const log = new RecordLog({
    store, clock, logger, election: { key: ELECTION_KEY, revision }, nextSequence: 1, onTermLost: reason => lost.push(reason)
  })
  const stored = (): string[] => [...store.items].filter(([key]) => key.startsWith(LOG_PREFIX)).map(([, { value }]) => value)
  return { store, clock, lost, log, stored }
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

test('a coordinator that was replaced stores nothing more and learns it', async t => {
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
