import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { InputError, StoreUnavailableError, StoreUnknownError } from '../../model/errors.ts'
import { ManualClock } from '../clock/manualClock.ts'
import { FaultyStore } from './faultyStore.ts'
import { HttpStore } from './httpStore.ts'
import { HttpStoreServer } from './httpStoreServer.ts'
import { MAX_VALUE_BYTES, MemoryStore } from './memoryStore.ts'

async function startStore (t: ExecutionContext): Promise<{
  clock: ManualClock, memory: MemoryStore, faulty: FaultyStore, server: HttpStoreServer, store: HttpStore
}> {
  const clock = new ManualClock()
  const memory = new MemoryStore(clock)
  const faulty = new FaultyStore(memory, clock)
  const server = new HttpStoreServer(faulty, '127.0.0.1:0')
  await server.start()
  const store = new HttpStore({ address: server.address })
  t.teardown(async () => {
    await store.stop()
    await server.stop()
  })
  return { clock, memory, faulty, server, store }
}

/** Runs the event loop until the condition holds; if it never does, the timeout of the test ends the wait. */
async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setImmediate(resolve))
}

test('the HTTP store behaves like the store that it serves', async t => {
  const { clock, memory, store } = await startStore(t)
  const key = 'ownership/attica-a?x=1&y=%/é'
  t.is(await store.get(key), undefined)
  t.deepEqual(await store.put(key, 'a', { expectedVersion: 0 }), { outcome: 'written', version: 1 })
  t.deepEqual(await store.put(key, 'b', { expectedVersion: 0 }), { outcome: 'conflict', current: { key, value: 'a', version: 1 } })
  t.deepEqual(await store.list('ownership/'), [{ key, value: 'a', version: 1 }])
  const watched = store.watch(key, 1, 1_000)
  await waitUntil(() => memory.calls.watch === 1)
  t.deepEqual(await store.put(key, 'c', { expectedVersion: 1 }), { outcome: 'written', version: 2 })
  t.like(await watched, { value: 'c' })
  const lease = await store.grantLease(1_000)
  t.true(await store.renewLease(lease))
  t.like(await store.put('leased', '', { expectedVersion: 0, lease }), { outcome: 'written' })
  await clock.advance(1_000)
  t.is(await store.get('leased'), undefined)
  t.false(await store.renewLease(lease))
  t.deepEqual(await store.delete(key, 2), { outcome: 'written', version: 2 })
  await t.throwsAsync(store.put(key, 'x'.repeat(MAX_VALUE_BYTES + 1), { expectedVersion: 0 }), { instanceOf: InputError })
})

test('a write whose response was lost is not reported as rejected, nor a rejected write as unknown', async t => {
  const { faulty, memory, server, store } = await startStore(t)
  faulty.chooseFault = () => ({ type: 'loseAnswer' })
  await t.throwsAsync(store.put('key', 'a', { expectedVersion: 0 }), { instanceOf: StoreUnknownError })
  t.like(await memory.get('key'), { value: 'a' })
  await t.throwsAsync(store.get('key'), { instanceOf: StoreUnavailableError })
  faulty.chooseFault = () => ({ type: 'down' })
  await t.throwsAsync(store.delete('key', 1), { instanceOf: StoreUnavailableError })
  faulty.chooseFault = () => ({ type: 'delayAnswer', durationMs: 1_000 })
  const interrupted = store.put('key', 'b', { expectedVersion: 1 })
  await waitUntil(() => memory.calls.put === 2)
  await server.stop()
  await t.throwsAsync(interrupted, { instanceOf: StoreUnknownError })
  await t.throwsAsync(store.put('key', 'c', { expectedVersion: 2 }), { instanceOf: StoreUnavailableError })
})

test('a write to a store that never responds times out, with an unknown outcome rather than a rejection', async t => {
  const sockets: Socket[] = []
  let receivedBytes = 0
  const unresponsive = createServer(socket => { sockets.push(socket.on('data', bytes => { receivedBytes += bytes.length })) })
  await new Promise<void>(resolve => { unresponsive.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    unresponsive.close()
  })
  const clock = new ManualClock()
  const store = new HttpStore({ address: `127.0.0.1:${(unresponsive.address() as AddressInfo).port}`, callTimeoutMs: 50, clock })
  t.teardown(() => store.stop())
  const unanswered = store.put('key', 'a', { expectedVersion: 0 })
  await waitUntil(() => receivedBytes > 0)
  await clock.advance(50)
  await t.throwsAsync(unanswered, { instanceOf: StoreUnknownError })
  const abort = new AbortController()
  abort.abort(new Error('stop'))
  await t.throwsAsync(store.put('key', 'a', { expectedVersion: 0 }, abort.signal), { instanceOf: StoreUnavailableError })
})
