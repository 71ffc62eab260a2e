import test from 'ava'
import { RackDemands } from './rackDemands.ts'

// Guards against memory that grows with each name of a rack that a caller has made up.
test('only the demands of the latest 1,024 racks are kept, and none for longer than 70 s', t => {
  const demands = new RackDemands()
  demands.record('early', 10_000, 0)
  for (let number = 0; number < 5_000; number++) {
    demands.record(`rack-${number}`, 10_000, 0)
    demands.record('busy', 10_000, 0)
  }
  t.is(demands.size, 1_024)
  t.deepEqual(['early', 'rack-3976', 'rack-3977', 'busy'].map(key => demands.processors(key, 0)), [undefined, undefined, 1, 5_000])
  demands.record('late', 10_000, 70_001)
  demands.record('x'.repeat(1_001), 10_000, 70_001)
  t.is(demands.size, 1)
})
