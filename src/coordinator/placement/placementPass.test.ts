import test from 'ava'
import fc from 'fast-check'
import { DesiredStateIndex } from '../../jobs/desiredStateIndex.ts'
import { resources } from '../../model/resources.ts'
import { PlacementPass } from './placementPass.ts'
import type { TargetSession } from '../targets/targetSession.ts'

const SETTINGS = new DesiredStateIndex({ version: 1, queues: [], services: ['renders'], teams: [], maximumBodyBytes: 0 })
const SEED = 11

function session (free: { processors: number, memory: number, accelerators: number }): TargetSession {
  return { free, capacity: { total: resources({ processors: 64, memory: 256 }) }, description: { service: 'renders' } } as unknown as TargetSession
}

const size = fc.record({ processors: fc.integer({ min: 1, max: 80 }), memory: fc.integer({ min: 1, max: 300 }) }).map(given => resources(given))

test('caching sizes that did not fit does not change the number of tasks that fit', t => {
  fc.assert(fc.property(fc.array(size, { maxLength: 6 }), fc.array(size, { minLength: 1, maxLength: 20 }), (freeResources, wanted) => {
    const sessions = freeResources.map(free => session({ ...free }))
    const pass = new PlacementPass(SETTINGS, sessions)
    for (const task of wanted) {
      const expected = sessions.reduce((sum, { free }) => sum + Math.min(Math.floor(free.processors / task.processors), Math.floor(free.memory / task.memory)), 0)
      if (pass.tasksThatFit('renders', task, 1_000) !== expected) return false
      const first = sessions.find(({ free }) => free.processors >= task.processors && free.memory >= task.memory)
      if (first === undefined) continue
      const free = first.free as { processors: number, memory: number }
      free.processors -= task.processors
      free.memory -= task.memory
      pass.recordReservation('renders', task, 1)
      if (pass.freeProcessors('renders') !== sessions.reduce((sum, each) => sum + each.free.processors, 0)) return false
    }
    return true
  }), { seed: SEED })
  t.pass()
})
