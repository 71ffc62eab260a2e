import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setImmediate } from 'node:timers/promises'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { StoreUnavailableError, StoreUnknownError } from '../model/errors.ts'
import { PlatformStore } from './platformStore.ts'

const CALLS = 100
const TRANSACTION = { conditions: [], writes: [], removes: [] }

interface StartedStore {
  readonly store: PlatformStore
  /** Number of unanswered calls that the store has received. */
  open (): number
  /** Lets the time of all calls run out at the same moment. */
  expireCalls (): void
}

/** Starts a store that leaves calls to some paths unanswered. */
async function startStore (t: ExecutionContext, unanswered: string): Promise<StartedStore> {
  let open = 0
  const server = createServer((request, response) => {
    if (request.url?.startsWith(unanswered) !== true) return response.end(JSON.stringify({ revision: 1, events: [], at: 1, lease_id: 1, ttl_ms: 1 }))
    open += 1
    response.once('close', () => { open -= 1 })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const timers = new Set<() => void>()
  const clock = Object.assign(new ManualClock(), {
    schedule: (_durationMs: number, action: () => void) => {
      timers.add(action)
      return () => { timers.delete(action) }
    }
  })
  const store = new PlatformStore(`127.0.0.1:${(server.address() as AddressInfo).port}`, clock)
  t.teardown(async () => {
    await store.stop()
    server.close()
  })
  return { store, open: () => open, expireCalls: () => { for (const expire of [...timers]) expire() } }
}

function fail (call: () => Promise<unknown>): Promise<unknown> {
  return call().then(() => undefined, (error: unknown) => error)
}

// Guards against a connection for each of the reads that clients cause, and against a coordinator that loses its election to them.
test('reads have a limit of connections, behind which no renewal, watch or commit waits', async t => {
  const { store, open, expireCalls } = await startStore(t, '/-/kv-key')
  const reads = Array.from({ length: CALLS }, async () => await fail(async () => await store.get('op/config')))
  while (open() + store.waitingCalls.read < CALLS) await setImmediate()
  t.true(open() <= 16, `${open()} connections`)
  t.true(await store.renewLease(1))
  t.is((await store.watch('op/', 0, 10)).outcome, 'changes')
  t.is((await store.commit(TRANSACTION)).outcome, 'committed')
  expireCalls()
  for (const error of await Promise.all(reads)) t.true(error instanceof StoreUnavailableError)
})

// Guards against an unknown outcome of a commit that was certainly not made.
test('a commit that gets no connection within its time-out has certainly not been made', async t => {
  const { store, open, expireCalls } = await startStore(t, '/-/kv-txn')
  const commits = Array.from({ length: CALLS }, async () => await fail(async () => await store.commit(TRANSACTION)))
  while (open() + store.waitingCalls.commit < CALLS) await setImmediate()
  const sent = open()
  t.true(sent < CALLS)
  expireCalls()
  const errors = await Promise.all(commits)
  t.is(errors.filter(error => error instanceof StoreUnknownError).length, sent)
  t.is(errors.filter(error => error instanceof StoreUnavailableError).length, CALLS - sent)
  await setImmediate()
  t.true(open() <= sent, 'a commit that was not sent is not sent later')
})
