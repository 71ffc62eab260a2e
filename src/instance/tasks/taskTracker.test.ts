import test from 'ava'
import type { TargetClient } from '../../ports/targetClient.ts'
import { LEASE_MS, LocalSchedulerHarness } from '../testing/localSchedulerHarness.ts'
import { TaskTracker } from './taskTracker.ts'

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

// Guards against a task that is reported as never started while it runs: its start arrived after the command, whose answer was late.
test('a target does not show that a task never started if it was asked before the start could not arrive any more', async t => {
  const harness = new LocalSchedulerHarness({ type: 'worker' })
  const { clock } = harness
  let answered = 0
  const command = async (): Promise<undefined> => {
    answered += 1
    await clock.sleep(3_000)
  }
  const tracker = new TaskTracker(clock, { command } as unknown as TargetClient)
  let end: unknown
  tracker.track({ taskId: 'early', target: harness.targets[0]!.info, epoch: 1, leaseMs: 600_000, sentAt: clock.monotonicMs(), startByWallMs: clock.wallMs() + 2_000 }).then(ended => { end = ended }, () => {})
  tracker.checkpoint('early').catch(() => {})
  await clock.advance(3_100)
  t.is(answered, 1)
  t.is(end, undefined)
  tracker.checkpoint('early').catch(() => {})
  await clock.advance(3_100)
  t.not(end, undefined)
})
