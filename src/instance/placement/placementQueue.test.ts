import test from 'ava'
import { resources } from '../../model/resources.ts'
import type { PlacementRequest } from './placementQueue.ts'
import { LocalSchedulerHarness } from '../testing/localSchedulerHarness.ts'

function createRequest (taskId: string, change: Partial<PlacementRequest> = {}): PlacementRequest {
  return { team: 'cooks', requestId: taskId, kind: 'urgent', size: resources({ slots: 2 }), taskIds: [taskId], deadlineAt: 5_000, bytes: 10, repeatable: true, hops: 0, ...change }
}

const never = new AbortController().signal

test('an adoption that is retried while the store is unavailable charges the team only once', async t => {
  const harness = new LocalSchedulerHarness()
  const task = { taskId: 'a', targetId: 'r-1', team: 'cooks', requestId: 'a', kind: 'service' as const, size: resources({ slots: 1 }), repeatable: false, startedAt: 0 }
  harness.adopt = async () => { throw new Error('the store is down') }
  for (let attempt = 0; attempt < 3; attempt++) await t.throwsAsync(harness.placements.adopt(task, undefined))
  t.is(harness.ledger.used('cooks').slots, 1)
  harness.placements.release('a')
  t.deepEqual(harness.held, [])
})

test('waiting requests are refused as not-run when the queue is full, at their deadline, and during a drain', async t => {
  const harness = new LocalSchedulerHarness({ queueEntries: 2 })
  await harness.placements.wait(createRequest('first'), never)
  const waiting = [harness.placements.wait(createRequest('batch', { kind: 'batch', deadlineAt: 1_000 }), never), harness.placements.wait(createRequest('urgent'), never)]
  const refused = Promise.allSettled(waiting)
  await t.throwsAsync(harness.placements.wait(createRequest('shed', { kind: 'batch' }), never), { message: 'the queue is full' })
  harness.placements.expire(2_000)
  harness.placements.close()
  await t.throwsAsync(harness.placements.wait(createRequest('late'), never), { message: /draining/ })
  t.deepEqual((await refused).map(result => result.status === 'rejected' && result.reason.code + ' ' + result.reason.verdict), ['deadline not-run', 'draining not-run'])
  t.deepEqual(harness.placements.waiting('cooks'), { size: resources({}), entries: 0 })
  harness.placements.release('first')
  t.deepEqual(harness.held, [])
})

test('the abort listener is removed from the signal when the wait ends', async t => {
  const harness = new LocalSchedulerHarness()
  const { signal } = new AbortController()
  let listeners = 0
  const { addEventListener, removeEventListener } = signal
  signal.addEventListener = (...given: Parameters<typeof addEventListener>) => { listeners++; addEventListener.apply(signal, given) }
  signal.removeEventListener = (...given: Parameters<typeof removeEventListener>) => { listeners--; removeEventListener.apply(signal, given) }
  await harness.placements.wait(createRequest('first'), signal)
  const second = harness.placements.wait(createRequest('second', { deadlineAt: 1_000 }), signal)
  harness.placements.expire(2_000)
  await t.throwsAsync(second)
  t.is(listeners, 0)
})
