import test from 'ava'
import { SystemClock } from '../adapters/clock/systemClock.ts'
import { createLogger } from '../observability/logger.ts'
import { COORDINATOR_KEY, Election } from './election.ts'
import { MemoryTransactionalStore } from './testing/memoryTransactionalStore.ts'

test('a coordinator that was replaced, or does not reach the store, does not take its office for confirmed', async t => {
  const store = new MemoryTransactionalStore()
  let resolveElected: () => void = () => {}
  const elected = new Promise<void>(resolve => { resolveElected = resolve })
  const election = new Election({
    store,
    clock: new SystemClock(),
    logger: createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'howrah', secrets: [] }),
    instance: 'entry-1',
    address: 'entry-1:1',
    listener: { onElected: () => resolveElected(), onLost: () => {}, onChanged: () => {}, releaseThroughPeers: async () => false }
  })
  t.false(await election.confirm())
  await election.start()
  await elected
  t.true(await election.confirm())
  store.refusing = true
  t.false(await election.confirm())
  store.refusing = false
  await store.commit({ conditions: [], writes: [{ key: COORDINATOR_KEY, value: JSON.stringify({ instance: 'entry-2', address: 'entry-2:1', lease: 99 }) }], removes: [] })
  t.false(await election.confirm())
  await election.stop()
})
