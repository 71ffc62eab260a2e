import test from 'ava'
import { LEASE_MS, LocalBench } from '../testing/localBench.ts'

async function startService (bench: LocalBench): Promise<void> {
  await bench.finish(bench.run({ kind: 'service', payload: { runMs: 600_000 } }))
}

test('a crashed target does not hold capacity beyond the lease of its tasks, however often a renewal is tried', async t => {
  const bench = new LocalBench({ type: 'worker' })
  await startService(bench)
  await bench.clock.advance(LEASE_MS)
  t.not(bench.held.length, 0)
  bench.targets[0]!.crash()
  await bench.clock.advance(LEASE_MS * 2)
  t.deepEqual(bench.held, [])
})

test('renewals whose answers are lost do not let a task be taken for ended while it may run', async t => {
  const bench = new LocalBench({ type: 'worker' })
  await startService(bench)
  bench.client.chooseFault = () => ({ type: 'loseAnswer' })
  await bench.clock.advance(LEASE_MS * 4)
  t.is(bench.targets[0]!.history[0]?.endedAtWallMs, undefined)
  t.not(bench.held.length, 0)
})

test('a task that ended longer ago than targets remember is not taken for one that never started', async t => {
  const bench = new LocalBench({ type: 'worker' })
  const target = bench.targets[0]!
  const ended = bench.tracker.track({
    taskId: 'old',
    target: target.info,
    epoch: 1,
    leaseMs: 10_000_000,
    sentAt: 0,
    startByWallMs: bench.clock.wallMs()
  })
  await bench.clock.advance(700_000)
  bench.tracker.stop('old')
  t.deepEqual(await bench.finish(ended), { outcome: 'ended', state: 'stopped' })
})
