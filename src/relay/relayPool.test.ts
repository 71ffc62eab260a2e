import test from 'ava'
import type { RelayAnswer, RelayBatch } from './relayMessages.ts'
import { RelayPool } from './relayPool.ts'
import { DIRECT_TARGETS } from './selectRelays.ts'
import type { RelayCandidate } from './selectRelays.ts'
import { TargetRelay } from './targetRelay.ts'
import { createStart, FENCE, logger, RecordingTarget } from './testing/relayHarness.ts'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import type { JobTargetClient } from '../ports/jobTarget.ts'

const RELAYS = [{ address: 'entry-2', region: 'attica', processors: 1 }, { address: 'entry-3', region: 'attica', processors: 0.5 }]

/** A pool with as many targets as need a relay, of which the first is returned. */
async function createPool ({ expected = [] as readonly RelayCandidate[], candidates = RELAYS, lostRelays = [] as readonly string[] } = {}) {
  const clock = new ManualClock()
  const direct = new RecordingTarget(clock)
  const relayed = new RecordingTarget(clock)
  const lost = new Set(lostRelays)
  const evacuated = new Set<string>()
  const relay = new TargetRelay({ clock, logger, connect: () => relayed, latestFence: () => FENCE })
  const exchange = async (address: string, batch: RelayBatch): Promise<RelayAnswer> => {
    if (lost.has(address)) throw new Error('connection refused')
    return await relay.exchange(batch)
  }
  const pool = new RelayPool({ instance: 'entry-1', fence: FENCE, clock, logger, connect: () => direct, regionOf: () => 'attica', expected, exchange, hasAuthority: () => true, isEvacuated: dataCentre => evacuated.has(dataCentre), onSuperseded: () => {} })
  const targets = Array.from({ length: DIRECT_TARGETS + 1 }, (_, number): JobTargetClient => pool.connect('10.1.7.3:8400', { id: `worker-${number}`, bornMs: 1 }, 'attica-a'))
  pool.update(candidates)
  await clock.advance(20)
  return { clock, direct, relayed, lost, evacuated, pool, target: targets[0] as JobTargetClient }
}

test('orders are sent directly while no relay has answered, and through a relay afterwards', async t => {
  const { clock, direct, relayed, pool, target } = await createPool()
  t.deepEqual(pool.relays, ['entry-2'])
  const started = target.start(createStart('task-1'))
  await clock.advance(50)
  t.like(await started, { outcome: 'started' })
  t.deepEqual([relayed.orders, direct.orders], [['start task-1#1 text'], []])
  pool.close()
  const after = target.start(createStart('task-2'))
  await clock.advance(50)
  t.like(await after, { outcome: 'started' })
  t.deepEqual(direct.orders, ['start task-2#1 text'])
})

// Guards against logs that don't show which relay carried an order whose answer is attributed to the wrong incarnation.
test('a target names the routes of its latest orders, the latest last', async t => {
  const { clock, lost, pool, target } = await createPool()
  const renew = async (): Promise<void> => {
    target.renew({ fencingToken: FENCE, acknowledged: 0, waitMs: 0 }).catch(() => {})
    await clock.advance(50)
  }
  await renew()
  t.deepEqual(target.routes, ['entry-2'])
  lost.add('entry-2')
  await clock.advance(400)
  await renew()
  t.deepEqual(target.routes, ['entry-2', 'direct'])
  pool.update(RELAYS)
  await clock.advance(20)
  await renew()
  await renew()
  t.deepEqual(target.routes, ['entry-2', 'direct', 'entry-3'])
})

// Guards against starts that wait for their batch and reach a data centre after its evacuation; a stop is sent, and so is a start afterwards.
test('a start that waits for its batch is not sent when the data centre of its target is evacuated meanwhile', async t => {
  const { clock, relayed, evacuated, target } = await createPool()
  const first = target.start(createStart('task-1'))
  await clock.advance(50)
  const late = target.start(createStart('task-2'))
  const stopped = target.stop({ task: 'task-1', attempt: 1, fencingToken: FENCE })
  evacuated.add('attica-a')
  await clock.advance(50)
  t.like(await first, { outcome: 'started' })
  t.deepEqual(await late, { outcome: 'refused', refusal: 'unhealthy' })
  t.is(await stopped, 'stopping')
  evacuated.clear()
  const after = target.start(createStart('task-3'))
  await clock.advance(50)
  t.like(await after, { outcome: 'started' })
  t.deepEqual(relayed.orders, ['start task-1#1 text', 'stop task-1#1', 'start task-3#1 text'])
})

test('a start whose relay was lost is reported as unknown and is not sent a second time', async t => {
  const { clock, direct, lost, target } = await createPool()
  lost.add('entry-2')
  const started = target.start(createStart('task-1'))
  await clock.advance(400)
  t.like(await started, { outcome: 'unknown' })
  t.deepEqual(direct.orders, [])
})

test('the leases on the targets of a lost relay are renewed directly, and by the next relay', async t => {
  const { clock, direct, relayed, lost, pool, target } = await createPool()
  lost.add('entry-2')
  const renewal = { fencingToken: FENCE, acknowledged: 0, waitMs: 0 }
  const failed = target.renew(renewal)
  await clock.advance(400)
  t.like(await failed, { outcome: 'failed' })
  const direct1 = target.renew(renewal)
  await clock.advance(10)
  t.like(await direct1, { outcome: 'report' })
  t.deepEqual(direct.orders, ['renew'])
  pool.update(RELAYS)
  await clock.advance(20)
  t.deepEqual(pool.relays, ['entry-3'], 'a relay that failed is avoided for some time')
  const next = target.renew(renewal)
  await clock.advance(50)
  t.like(await next, { outcome: 'report' })
  t.deepEqual(relayed.orders, ['renew'])
})

test('change of coordinator: the sessions of many targets begin through the relays that the predecessor named, not with a connection each', async t => {
  const { clock, direct, relayed, pool, target } = await createPool({ expected: RELAYS, candidates: [] })
  const prepared = pool.prepare()
  await clock.advance(20)
  await prepared
  const renewed = target.renew({ fencingToken: FENCE, acknowledged: 0, waitMs: 0 })
  await clock.advance(50)
  t.like(await renewed, { outcome: 'report' })
  t.deepEqual([relayed.orders.length, direct.orders.length], [1, 0])
})

test('change of coordinator: a named relay that is gone too is replaced at once', async t => {
  const { clock, pool } = await createPool({ expected: RELAYS, candidates: [], lostRelays: ['entry-2'] })
  const prepared = pool.prepare()
  await clock.advance(60)
  await prepared
  t.deepEqual(pool.relays, ['entry-3'])
  const { clock: other, pool: withoutNamed } = await createPool({ expected: RELAYS, candidates: [], lostRelays: ['entry-2', 'entry-3'] })
  const small = { address: 'entry-4', region: 'attica', processors: 0.1 }
  const used = new Set<string>()
  for (let waitedMs = 0; waitedMs < 8_000; waitedMs += 500) {
    withoutNamed.update([small])
    if (waitedMs > 2_500) for (const address of withoutNamed.relays) used.add(address)
    await other.advance(500)
  }
  t.deepEqual([...used], ['entry-4'], 'instances that have not reported by now are not expected any more')
})

test('loss of all instances: the sessions wait for the first relays, which report to a new coordinator soon, but not for longer than 0.3 s', async t => {
  const { clock, pool } = await createPool({ candidates: [] })
  let prepared = false
  pool.prepare().then(() => { prepared = true }, error => t.fail(String(error)))
  await clock.advance(150)
  t.false(prepared)
  pool.update(RELAYS)
  await clock.advance(30)
  t.true(prepared)
  const { clock: other, pool: alone } = await createPool({ candidates: [] })
  const preparedAtMs = alone.prepare().then(() => other.monotonicMs())
  await other.advance(1_000)
  t.true(await preparedAtMs <= 350)
})

test('overload: a relay that answers stays in use while the coordinator misses its reports, instead of being replaced by an idle one', async t => {
  const { clock, direct, relayed, pool, target } = await createPool()
  await clock.advance(3_000)
  pool.update([])
  t.deepEqual(pool.relays, ['entry-2'])
  const renewed = target.renew({ fencingToken: FENCE, acknowledged: 0, waitMs: 0 })
  await clock.advance(50)
  t.like(await renewed, { outcome: 'report' })
  t.deepEqual([relayed.orders.length, direct.orders.length], [1, 0])
  pool.update([{ address: 'entry-4', region: 'attica', processors: 1 }])
  t.deepEqual(pool.relays, ['entry-2'])
})
