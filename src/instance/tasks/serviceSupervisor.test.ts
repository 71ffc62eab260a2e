import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { SeededRandom } from '../../adapters/random/seededRandom.ts'
import { resources } from '../../model/resources.ts'
import type { WorkRequest } from '../../model/request.ts'
import type { RunEvent } from '../../ports/peerClient.ts'
import type { LocalWork } from '../requests/localWork.ts'
import { ServiceSupervisor } from './serviceSupervisor.ts'
import type { TaskEnd } from './taskTracker.ts'

const LEASE_ENDED: TaskEnd = { outcome: 'ended', state: 'lease-ended' }

function createWork (change: Partial<WorkRequest> = {}): LocalWork {
  const request: WorkRequest = {
    id: 's1', kind: 'service', name: 'default', size: resources({ processors: 1_000 }), tasks: 1, deadlineMs: 1_000, repeatable: true, payload: null, ...change
  }
  return { attemptId: 'f.1', team: 'weavers', request, hops: 0, deadlineAt: 1_000, signal: new AbortController().signal, onStateChange: () => {} }
}

function createSupervisor (failures: number): { readonly clock: ManualClock, readonly supervisor: ServiceSupervisor, readonly starts: string[] } {
  const clock = new ManualClock()
  const starts: string[] = []
  const supervisor = new ServiceSupervisor({
    clock,
    random: new SeededRandom(1),
    isDraining: () => false,
    onRestart: () => {},
    run: async function * (context): AsyncIterable<RunEvent> {
      starts.push(context.admitted.request.id)
      if (starts.length <= failures) throw new Error('no capacity')
      yield { type: 'end', byteCount: 0 }
    }
  })
  return { clock, supervisor, starts }
}

test('a service is restarted after its worker failed, even if the first restart finds no capacity', async t => {
  const { clock, supervisor, starts } = createSupervisor(2)
  supervisor.watch(createWork(), Promise.resolve(LEASE_ENDED))
  await clock.advance(1_000)
  t.deepEqual(starts, ['s1', 's1', 's1'])
})

test('a request is not restarted if it was stopped or cancelled, is not repeatable, or is not a service', async t => {
  const { clock, supervisor, starts } = createSupervisor(0)
  supervisor.watch(createWork(), Promise.resolve({ outcome: 'ended', state: 'stopped' }))
  supervisor.watch(createWork({ id: 's2' }), Promise.resolve(LEASE_ENDED))
  supervisor.cancel('weavers', 's2')
  supervisor.watch(createWork({ repeatable: false }), Promise.resolve(LEASE_ENDED))
  supervisor.watch(createWork({ kind: 'gang' }), Promise.resolve(LEASE_ENDED))
  await clock.advance(1_000)
  t.deepEqual(starts, [])
})
