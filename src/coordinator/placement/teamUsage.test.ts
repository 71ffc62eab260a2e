import test from 'ava'
import type { TeamSettings } from '../../jobs/desiredState.ts'
import type { StepDefinition } from '../../jobs/job.ts'
import { createStep } from '../../jobs/testing/definitions.ts'
import { resources } from '../../model/resources.ts'
import { TeamUsage } from './teamUsage.ts'

const TEAM: TeamSettings = { name: 'weavers', keys: [], weight: 27, cap: resources({ processors: 1_000_000, memory: 4_000_000 }) }
const RENDER = sized(18_000, { memory: 68_000 })
const CHECK = sized(5_600, { memory: 21_000 })

function sized (processors: number, { memory = 0, ...overrides }: Partial<StepDefinition> & { readonly memory?: number } = {}): StepDefinition {
  return createStep(1, { size: resources({ processors, memory }), ...overrides })
}

test('no team gets more than its cap', t => {
  const usage = new TeamUsage()
  t.is(usage.allowedCount(TEAM, sized(300_000), 9, true), 3)
  usage.add('weavers', sized(990_000))
  t.is(usage.allowedCount(TEAM, CHECK, 3, true), 1)
  usage.remove('weavers', sized(990_000))
  t.is(usage.allowedCount(TEAM, CHECK, 3, true), 3)
})

test('a cap of zero means no limit, and usage of other teams is not counted', t => {
  const usage = new TeamUsage()
  usage.add('dyers', sized(5_000_000, { memory: 5_000_000 }))
  t.is(usage.allowedCount({ ...TEAM, cap: resources({}) }, RENDER, 400, false), 400)
  t.is(usage.allowedCount(TEAM, RENDER, 8, false), 8)
})

test('non-urgent steps of a team leave part of its cap to its urgent jobs', t => {
  const usage = new TeamUsage()
  let renders = 0
  while (usage.allowedCount(TEAM, RENDER, 1, false) === 1) {
    usage.add('weavers', RENDER)
    renders += 1
  }
  t.true(renders * RENDER.size.processors > 0.75 * TEAM.cap.processors, `${renders} renders`)
  t.is(usage.allowedCount(TEAM, CHECK, 10, true), 10)
})

test('a step may use the whole cap only while its team is idle, and otherwise one task reaches into the reserve for urgent jobs', t => {
  const usage = new TeamUsage()
  const wide = sized(90_000)
  t.is(usage.allowedCount(TEAM, wide, 11, false), 11)
  usage.add('weavers', CHECK)
  t.is(usage.allowedCount(TEAM, wide, 11, false), 9)
  for (let task = 0; task < 9; task++) usage.add('weavers', wide)
  t.is(usage.allowedCount(TEAM, wide, 2, false), 0)
})

// Guards against tasks that fit under the cap and never start, since the reserve is kept from them as long as other work runs.
test('a task, or a gang, that does not fit beside the reserve starts while other work of its team runs', t => {
  const usage = new TeamUsage()
  const lasting = sized(400_000, { longRunning: true })
  usage.add('weavers', lasting)
  t.is(usage.allowedCount(TEAM, sized(450_000), 1, false), 1)
  t.is(usage.allowedCount(TEAM, sized(150_000, { gang: true }), 4, false), 4)
  t.is(usage.allowedCount(TEAM, sized(151_000, { gang: true }), 4, false), 3, 'the gang exceeds the cap')
  usage.add('weavers', lasting)
  t.is(usage.allowedCount(TEAM, sized(200_000), 1, false), 1, 'the reserve can not be regained from lasting work')
  usage.add('weavers', sized(170_000))
  t.is(usage.allowedCount(TEAM, CHECK, 1, false), 0, 'other work that ends leaves part of the rest to urgent jobs')
  usage.remove('weavers', sized(170_000))
  t.is(usage.allowedCount(TEAM, CHECK, 40, false), 29)
})

// Guards against tasks that wait for ever for resources that they do not need.
test('the reserve of a resource is kept only from tasks that need it', t => {
  const usage = new TeamUsage()
  usage.add('weavers', sized(1_000, { memory: 3_600_000 }))
  t.is(usage.allowedCount(TEAM, sized(1_000), 1, false), 1)
  t.is(usage.allowedCount(TEAM, CHECK, 1, false), 0)
})

// Guards against tasks and gangs that never start, since they need more than a cap that was lowered after their acceptance.
test('a task, or a gang, that needs more than the whole cap starts while half of it is free, and exceeds it by one task at most', t => {
  const usage = new TeamUsage()
  const [task, gang] = [sized(1_200_000), sized(300_000, { gang: true })]
  t.is(usage.allowedCount(TEAM, task, 3, false), 1)
  t.is(usage.allowedCount(TEAM, task, 0, false), 0, 'none is wanted, for example since the service has no room')
  t.is(usage.allowedCount(TEAM, gang, 4, false), 4)
  t.is(usage.allowedCount(TEAM, gang, 5, false), 3, 'it would exceed the cap by more than one task')
  usage.add('weavers', sized(100_000))
  t.is(usage.allowedCount(TEAM, gang, 4, false), 4)
  usage.add('weavers', sized(1_000))
  t.is(usage.allowedCount(TEAM, gang, 4, false), 2, 'three of four members do not fit beside other work')
  t.is(usage.allowedCount(TEAM, task, 1, false), 1)
  usage.add('weavers', sized(400_000))
  t.is(usage.allowedCount(TEAM, task, 1, false), 0, 'less than half is free')
})

// Guards against a cap that is exceeded for good: what exceeds it holds back all other work of the team until it has ended.
test('nothing else of a team starts beside a task that exceeds its cap', t => {
  const usage = new TeamUsage()
  usage.add('weavers', sized(1_200_000))
  t.deepEqual([usage.allowedCount(TEAM, sized(1_200_000), 1, true), usage.allowedCount(TEAM, CHECK, 1, true)], [0, 0])
})
