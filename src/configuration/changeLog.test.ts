import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import type { ChangeLog } from './changeLog.ts'
import { findSetting, toSnapshot } from './configurationState.ts'
import { MemoryStore } from './testing/memoryStore.ts'
import type { StoreClient } from './testing/memoryStore.ts'
import { createLog, draft } from './testing/testNode.ts'

interface Connected {
  readonly client: StoreClient
  readonly log: ChangeLog
}

function connect (store: MemoryStore, clock: ManualClock): Connected {
  const client = store.connect()
  return { client, log: createLog(client, clock) }
}

async function submitMany (log: ChangeLog, count: number): Promise<void> {
  for (let index = 0; index < count; index++) await log.submit(draft(`many-${log.version}`, log.version, index))
}

test('lost response to a write: the change is accepted once and stays pending until its outcome is known', async t => {
  const clock = new ManualClock()
  const { client, log } = connect(new MemoryStore(), clock)
  client.dropsWriteAnswers = true
  t.deepEqual(await log.submit(draft('a', 0, 3)), { outcome: 'unknown' })
  t.true(log.pending)
  t.is((await log.submit(draft('b', 0))).outcome, 'unavailable')
  client.dropsWriteAnswers = false
  await clock.advance(1_000)
  t.false(log.pending)
  t.deepEqual(await log.submit(draft('a', 0, 3)), { outcome: 'accepted', version: 1 })
  t.is(findSetting(log.state, {}, 'share')?.value, 3)
})

test('slow store: a write that takes effect after its timeout is not reported as refused', async t => {
  const clock = new ManualClock()
  const { client, log } = connect(new MemoryStore(), clock)
  let arrive = (): void => {}
  client.writesDelayedUntil = new Promise(resolve => { arrive = resolve })
  const result = log.submit(draft('a', 0))
  await clock.advance(10_000)
  t.deepEqual(await result, { outcome: 'unknown' })
  t.true(log.pending)
  arrive()
  await clock.advance(10_000)
  t.false(log.pending)
  t.is(log.version, 1)
})

test('unavailable store: a change is reported as not accepted and nothing stays pending', async t => {
  const { client, log } = connect(new MemoryStore(), new ManualClock())
  client.down = true
  t.is((await log.submit(draft('a', 0))).outcome, 'unavailable')
  t.false(log.pending)
})

test('concurrent changes to the same path: one is accepted and the other is told which change won', async t => {
  const clock = new ManualClock()
  const store = new MemoryStore()
  const [first, second] = [connect(store, clock).log, connect(store, clock).log]
  const results = await Promise.all([first.submit(draft('a', 0, 1)), second.submit(draft('b', 0, 2))])
  const accepted = results.findIndex(result => result.outcome === 'accepted')
  const refused = results[1 - accepted]
  t.is(refused?.outcome, 'conflict')
  if (refused?.outcome !== 'conflict') return
  t.is(refused.winner.id, accepted === 0 ? 'a' : 'b')
  t.deepEqual(refused.paths, ['/'])
  const removal = { ...draft('c', 0), operations: [{ type: 'removeBranch', path: '/' }] as const }
  t.is((await second.submit(removal)).outcome, 'conflict')
})

test('concurrent changes to different paths: both are accepted, one after the other', async t => {
  const clock = new ManualClock()
  const store = new MemoryStore()
  const [first, second] = [connect(store, clock).log, connect(store, clock).log]
  const results = await Promise.all([
    first.submit(draft('a', 0, 1, '/teams/weavers')), second.submit(draft('b', 0, 2, '/teams/dyers'))
  ])
  t.deepEqual(results.map(result => result.outcome), ['accepted', 'accepted'])
  await Promise.all([first.refresh(), second.refresh()])
  t.is(first.version, 2)
  t.deepEqual(toSnapshot(first.state), toSnapshot(second.state))
})

test('duplicate submission through another instance: it returns the first outcome and is not applied twice', async t => {
  const clock = new ManualClock()
  const store = new MemoryStore()
  const [first, second] = [connect(store, clock), connect(store, clock)]
  first.client.dropsWriteAnswers = true
  t.is((await first.log.submit(draft('a', 0))).outcome, 'unknown')
  t.deepEqual(await second.log.submit(draft('a', 0)), { outcome: 'accepted', version: 1 })
  t.is((await second.log.submit(draft('b', 1))).outcome, 'accepted')
  first.client.dropsWriteAnswers = false
  await clock.advance(1_000)
  t.deepEqual(await first.log.submit(draft('a', 0)), { outcome: 'accepted', version: 1 })
  t.is(first.log.version, 2)
})

test('restart with an old snapshot: the instance reads up to the newest change and its version never decreases', async t => {
  const clock = new ManualClock()
  const store = new MemoryStore()
  const writer = connect(store, clock).log
  await submitMany(writer, 3)
  const old = toSnapshot(writer.state)
  await submitMany(writer, 900)
  await clock.settle()
  const restarted = connect(store, clock).log
  restarted.adopt({ type: 'snapshot', snapshot: old })
  t.deepEqual(await restarted.refresh(), { certain: true, version: 903, readAt: 0 })
  t.deepEqual(toSnapshot(restarted.state), toSnapshot(writer.state))
  restarted.adopt({ type: 'snapshot', snapshot: old })
  restarted.adopt({ type: 'changes', changes: [{ ...draft('old', 3), version: 4, acceptedAt: 0 }] })
  t.is(restarted.version, 903)
  t.true(store.entries.size < 600, `${store.entries.size} entries remain in the store`)
})

test('paused and resumed instance: its late write to a deleted version is neither accepted nor read by others', async t => {
  const clock = new ManualClock()
  const store = new MemoryStore()
  const [paused, stale, writer] = [connect(store, clock), connect(store, clock), connect(store, clock)]
  let resume = (): void => {}
  paused.client.writesDelayedUntil = new Promise(resolve => { resume = resolve })
  const result = paused.log.submit(draft('late', 0, 77))
  await clock.settle()
  await submitMany(writer.log, 600)
  await clock.settle()
  t.false(store.entries.has('configuration/change/1'))
  resume()
  t.is((await result).outcome, 'unknown')
  t.true(store.entries.has('configuration/change/1'))
  await stale.log.refresh()
  t.is(stale.log.version, writer.log.version)
  t.deepEqual(toSnapshot(stale.log.state), toSnapshot(writer.log.state))
})
