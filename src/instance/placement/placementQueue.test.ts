import test from 'ava'
import { resources } from '../../model/resources.ts'
import type { PlacementRequest } from './placementQueue.ts'
import { LocalBench } from '../testing/localBench.ts'

function createRequest (taskId: string, change: Partial<PlacementRequest> = {}): PlacementRequest {
  return { team: 'cooks', requestId: taskId, kind: 'urgent', size: resources({ slots: 2 }), taskIds: [taskId], deadlineAt: 5_000, bytes: 10, repeatable: true, ...change }
}

const never = new AbortController().signal

test('an adoption that is repeated while the store is down does not charge the team twice', async t => {
  const bench = new LocalBench()
  const task = { taskId: 'a', targetId: 'r-1', team: 'cooks', requestId: 'a', kind: 'service' as const, size: resources({ slots: 1 }), repeatable: false, startedAt: 0 }
  bench.adopt = async () => { throw new Error('the store is down') }
  for (let attempt = 0; attempt < 3; attempt++) await t.throwsAsync(bench.placements.adopt(task, undefined))
  t.is(bench.ledger.used('cooks').slots, 1)
  bench.placements.release('a')
  t.deepEqual(bench.held, [])
})

test('what waits is refused as not run when the queue is full, at the deadline, and in a drain', async t => {
  const bench = new LocalBench({ queueEntries: 2 })
  await bench.placements.wait(createRequest('first'), never)
  const waiting = [bench.placements.wait(createRequest('batch', { kind: 'batch', deadlineAt: 1_000 }), never), bench.placements.wait(createRequest('urgent'), never)]
  const refused = Promise.allSettled(waiting)
  await t.throwsAsync(bench.placements.wait(createRequest('shed', { kind: 'batch' }), never), { message: 'the queue is full' })
  bench.placements.expire(2_000)
  bench.placements.close()
  await t.throwsAsync(bench.placements.wait(createRequest('late'), never), { message: /draining/ })
  t.deepEqual((await refused).map(result => result.status === 'rejected' && result.reason.code + ' ' + result.reason.verdict), ['deadline not-run', 'draining not-run'])
  t.deepEqual(bench.placements.waiting('cooks'), { size: resources({}), entries: 0 })
  bench.placements.release('first')
  t.deepEqual(bench.held, [])
})

test('a signal that outlives the wait keeps no listener of it', async t => {
  const bench = new LocalBench()
  const { signal } = new AbortController()
  let listeners = 0
  const { addEventListener, removeEventListener } = signal
  signal.addEventListener = (...given: Parameters<typeof addEventListener>) => { listeners++; addEventListener.apply(signal, given) }
  signal.removeEventListener = (...given: Parameters<typeof removeEventListener>) => { listeners--; removeEventListener.apply(signal, given) }
  await bench.placements.wait(createRequest('first'), signal)
  const second = bench.placements.wait(createRequest('second', { deadlineAt: 1_000 }), signal)
  bench.placements.expire(2_000)
  await t.throwsAsync(second)
  t.is(listeners, 0)
})
