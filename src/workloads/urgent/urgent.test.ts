import test from 'ava'
import { resources } from '../../model/resources.ts'
import { urgentPolicy } from './index.ts'

test('urgent work prefers an idle runner to a loaded one', t => {
  const capacity = resources({ slots: 8 })
  const context = { tasksInRack: () => 0 }
  const idle = { rack: 'r1', capacity, free: capacity }
  const loaded = { rack: 'r1', capacity, free: resources({ slots: 2 }) }
  t.true(urgentPolicy.score(idle, resources({ slots: 1 }), context) < urgentPolicy.score(loaded, resources({ slots: 1 }), context))
})
