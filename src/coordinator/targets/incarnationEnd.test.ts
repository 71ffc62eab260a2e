import test from 'ava'
import { createStep } from '../../jobs/testing/definitions.ts'
import { resources } from '../../model/resources.ts'
import { SimulatedCluster, URGENT } from '../testing/simulatedCluster.ts'

const CAP = 1_000
const createLargest = () => createStep(1, { size: resources({ processors: CAP, memory: 10 }) })

// Guards against a team that starts nothing for as long as starts may be in transit that its targets have refused.
test('a start that the next incarnation of its target has refused leaves the cap of its team to others', async t => {
  const cluster = new SimulatedCluster({ targets: 2, cap: CAP, lateMs: 0, failing: false })
  await cluster.elect()
  await cluster.clock.advance(1_000)
  cluster.target(0).fault = 'cut'
  const held = cluster.submit('single', URGENT, [createLargest()])
  await cluster.clock.advance(500)
  cluster.restartTarget(0)
  cluster.target(0).fault = 'none'
  await cluster.clock.advance(1_000)
  const other = cluster.submit('single', URGENT, [createLargest()])
  await cluster.clock.advance(3_000)
  const stateOf = (id: string): unknown => cluster.coordinator.table.finished.get(id)?.state ?? 'waiting'
  t.deepEqual([held, other].map(stateOf), ['waiting', 'completed'])
  await cluster.clock.advance(20_000)
  t.deepEqual([held, other].map(stateOf), ['completed', 'completed'])
  t.deepEqual(cluster.findRepeatedRuns(), [])
  cluster.close()
})
