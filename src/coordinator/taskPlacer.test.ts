import test from 'ava'
import { createStep } from '../jobs/testing/definitions.ts'
import { resources } from '../model/resources.ts'
import { BATCH, SimulatedCluster } from './testing/simulatedCluster.ts'

// Guards against tasks that never start, since the processors reserved for urgent tasks are kept from them for ever.
test('a task that needs all processors of its service, or all that lasting tasks leave, is started', async t => {
  for (const lasting of [0, 1_000]) {
    const cluster = new SimulatedCluster({ targets: 1, cap: 0, lateMs: 0, failing: false })
    await cluster.elect()
    if (lasting > 0) cluster.submit('lasting', BATCH, [createStep(1, { longRunning: true, size: resources({ processors: lasting }) })])
    await cluster.clock.advance(1_000)
    cluster.submit('whole', BATCH, [createStep(1, { size: resources({ processors: 8_000 - lasting }) })])
    t.deepEqual(await cluster.findStuckJobs(), [])
    cluster.close()
  }
})
