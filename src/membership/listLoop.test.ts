import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import type { ListSnapshot } from '../ports/instanceList.ts'
import { ListLoop } from './listLoop.ts'

test('list outage: the last snapshot is kept, its age grows, and polling resumes afterwards', async t => {
  const clock = new ManualClock()
  let fault: 'none' | 'fails' | 'hangs' = 'none'
  let reads = 0
  const read = async (): Promise<ListSnapshot> => {
    if (fault === 'fails') throw new Error('the list is down')
    if (fault === 'hangs') await new Promise(() => {})
    reads++
    return { instances: [], targets: [] }
  }
  const loop = new ListLoop({ list: { read }, clock, onSnapshot: () => { throw new Error('the listener failed') } })
  await loop.start()
  for (const kind of ['fails', 'hangs'] as const) {
    fault = kind
    const before = loop.ageMs
    await clock.advance(20_000)
    t.is(loop.ageMs, before + 20_000)
    t.truthy(loop.snapshot)
  }
  fault = 'none'
  await clock.advance(10_000)
  t.true(loop.ageMs <= 5_000 && reads > 1)
  await loop.stop()
  await clock.advance(60_000)
  t.true(loop.ageMs > 60_000)
})
