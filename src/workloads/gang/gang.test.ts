import test from 'ava'
import { resources } from '../../model/resources.ts'
import { gangPolicy } from './index.ts'

test('a gang task prefers a tightly fitting worker to an empty one', t => {
  const capacity = resources({ processors: 64_000, memory: 262_144 })
  const size = resources({ processors: 8_000, memory: 1_024 })
  const context = { tasksInRack: () => 0 }
  const tight = { rack: 'r1', capacity, free: resources({ processors: 9_000, memory: 2_048 }) }
  const empty = { rack: 'r1', capacity, free: capacity }
  t.true(gangPolicy.score(tight, size, context) < gangPolicy.score(empty, size, context))
})
