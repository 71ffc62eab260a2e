import test from 'ava'
import { DEFAULT_LATE_MS } from '../../src/platform/standIn/standInWorker.ts'
import { PROGRAM } from '../processes/testTeam.ts'
import { createFaultPlan, findLongestDelay } from './faultPlan.ts'
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

test('the margin for late orders follows the longest delay of the plan', t => {
  const plan = createFaultPlan({ seed: 4501, durationMs: 30_000, instances: 3, workers: 6 })
  t.is(findLongestDelay(plan.filter(({ fault }) => fault.type !== 'worker-dark-crash')), DEFAULT_LATE_MS)
  t.is(findLongestDelay([{ atMs: 0, fault: { type: 'worker-dark-crash', workers: [0], darkMs: 500, lateMs: 9_000 } }]), 9_500)
})
