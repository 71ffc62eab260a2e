import test from 'ava'
import { InputError, StoreUnavailableError, StoreUnknownError } from '../../model/errors.ts'
import { ManualClock } from '../clock/manualClock.ts'
import { FaultyStore } from './faultyStore.ts'
import { MAX_VALUE_BYTES, MemoryStore } from './memoryStore.ts'

test('a write based on an outdated or deleted entry does not succeed', async t => {
  const store = new MemoryStore(new ManualClock())
  t.deepEqual(await store.put('key', 'a', { expectedVersion: 0 }), { outcome: 'written', version: 1 })
  t.deepEqual(await store.put('key', 'b', { expectedVersion: 0 }),
    { outcome: 'conflict', current: { key: 'key', value: 'a', version: 1 } })
  t.like(await store.delete('key', 1), { outcome: 'written' })
  t.deepEqual(await store.delete('key', 1), { outcome: 'conflict', current: undefined })
  t.deepEqual(await store.put('key', 'c', { expectedVersion: 0 }), { outcome: 'written', version: 2 })
  t.like(await store.put('key', 'd', { expectedVersion: 1 }), { outcome: 'conflict' })
})

test('an entry does not outlive its lease, and a write without a lease detaches the entry from it', async t => {
  const clock = new ManualClock()
  const store = new MemoryStore(clock)
  const lease = await store.grantLease(1_000)
  await store.put('leased', '', { expectedVersion: 0, lease })
  await store.put('kept', '', { expectedVersion: 0, lease })
  await store.put('kept', '', { expectedVersion: 1 })
  await clock.advance(999)
  t.true(await store.renewLease(lease))
  await clock.advance(999)
  t.is((await store.list('')).length, 2)
  await clock.advance(1)
  t.deepEqual((await store.list('')).map(entry => entry.key), ['kept'])
  t.false(await store.renewLease(lease))
  await t.throwsAsync(store.put('late', '', { expectedVersion: 0, lease }), { instanceOf: InputError })
})

test('a watch does not miss a write, and ends at its timeout', async t => {
  const clock = new ManualClock()
  const store = new MemoryStore(clock)
  const written = store.watch('key', 0, 1_000)
  await store.put('key', 'a', { expectedVersion: 0 })
  t.like(await written, { value: 'a', version: 1 })
  t.like(await store.watch('key', 0, 1_000), { version: 1 })
  const unchanged = store.watch('key', 1, 1_000)
  await clock.advance(1_000)
  t.like(await unchanged, { version: 1 })
  const abort = new AbortController()
  const aborted = store.watch('key', 1, 1_000, abort.signal)
  abort.abort(new Error('stop'))
  await t.throwsAsync(aborted, { instanceOf: StoreUnavailableError })
  t.is(store.calls.watch, 4)
})

test('a value above the size limit is rejected', async t => {
  const store = new MemoryStore(new ManualClock())
  await t.throwsAsync(store.put('key', 'é'.repeat(MAX_VALUE_BYTES / 2 + 1), { expectedVersion: 0 }), { instanceOf: InputError })
  t.is(await store.get('key'), undefined)
})

test('the error of an injected fault does not understate the effect of the call', async t => {
  const clock = new ManualClock()
  const memory = new MemoryStore(clock)
  const store = new FaultyStore(memory, clock, ({ index }) => index === 0 ? { type: 'down' } : { type: 'loseAnswer' })
  await t.throwsAsync(store.put('key', 'a', { expectedVersion: 0 }), { instanceOf: StoreUnavailableError })
  t.is(memory.totalCalls, 0)
  await t.throwsAsync(store.put('key', 'b', { expectedVersion: 0 }), { instanceOf: StoreUnknownError })
  t.like(await memory.get('key'), { value: 'b' })
  store.chooseFault = () => ({ type: 'delayedEffect', durationMs: 500 })
  await t.throwsAsync(store.put('key', 'c', { expectedVersion: 1 }), { instanceOf: StoreUnknownError })
  t.like(await memory.get('key'), { value: 'b' })
  await clock.advance(500)
  await store.settled()
  t.like(await memory.get('key'), { value: 'c' })
})
