import test from 'ava'
import { resources } from '../../model/resources.ts'
import { servicePolicy } from './index.ts'

test('a service prefers an unused rack to a tighter fit in a rack that its team already uses', t => {
  const capacity = resources({ processors: 64_000, memory: 262_144 })
  const size = resources({ processors: 1_000, memory: 1_024 })
  const context = { tasksInRack: (rack: string) => rack === 'used' ? 1 : 0 }
  const tight = { rack: 'used', capacity, free: size }
  const empty = { rack: 'unused', capacity, free: capacity }
  t.true(servicePolicy.score(empty, size, context) < servicePolicy.score(tight, size, context))
})
