import test from 'ava'
import { LEASE_MS, LocalSchedulerHarness } from '../testing/localSchedulerHarness.ts'

async function startService (harness: LocalSchedulerHarness): Promise<void> {
  await harness.finish(harness.run({ kind: 'service', payload: { runMs: 600_000 } }))
}

test('a crashed target does not hold capacity beyond the lease of its tasks, even if renewals are retried', async t => {
  const harness = new LocalSchedulerHarness({ type: 'worker' })
  await startService(harness)
  await harness.clock.advance(LEASE_MS)
  t.not(harness.held.length, 0)
  harness.targets[0]!.crash()
  await harness.clock.advance(LEASE_MS * 2)
  t.deepEqual(harness.held, [])
})

test('a task is not considered ended while it may run, even if the answers to its renewals are lost', async t => {
  const harness = new LocalSchedulerHarness({ type: 'worker' })
  await startService(harness)
  harness.client.chooseFault = () => ({ type: 'loseAnswer' })
  await harness.clock.advance(LEASE_MS * 4)
  t.is(harness.targets[0]!.history[0]?.endedAtWallMs, undefined)
  t.not(harness.held.length, 0)
})

test('a task that ended longer ago than targets remember is not reported as never started', async t => {
  const harness = new LocalSchedulerHarness({ type: 'worker' })
  const target = harness.targets[0]!
  const ended = harness.tracker.track({
    taskId: 'old',
    target: target.info,
    epoch: 1,
    leaseMs: 10_000_000,
    sentAt: 0,
    startByWallMs: harness.clock.wallMs()
  })
  await harness.clock.advance(700_000)
  harness.tracker.stop('old')
  t.deepEqual(await harness.finish(ended), { outcome: 'ended', state: 'stopped' })
})
