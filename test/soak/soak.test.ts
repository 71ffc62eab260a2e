import test from 'ava'
import { PROGRAM } from '../processes/testTeam.ts'
import { createFaultPlan } from './faultPlan.ts'
import { runSoak } from './runSoak.ts'

const SHORT_MS = 12_000

test('the real program violates no promise under the faults of one seed', async t => {
  const { violations, accepted, starts, faults } = await runSoak({ seed: 7, durationMs: SHORT_MS, program: PROGRAM })
  t.deepEqual(violations, [])
  t.true(accepted > 0 && starts > 0 && faults.length > 0)
})

test('a seed always produces the same faults, so that a failed run can be reproduced', t => {
  const options = { seed: 11, durationMs: 30_000, instances: 3, workers: 6 }
  t.deepEqual(createFaultPlan(options), createFaultPlan(options))
  t.notDeepEqual(createFaultPlan(options), createFaultPlan({ ...options, seed: 12 }))
})
