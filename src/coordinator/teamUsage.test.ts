import test from 'ava'
import type { TeamSettings } from '../jobs/desiredState.ts'
import { resources } from '../model/resources.ts'
import { TeamUsage } from './teamUsage.ts'

const TEAM: TeamSettings = { name: 'weavers', keys: [], weight: 27, cap: resources({ processors: 1_000_000, memory: 4_000_000 }) }
const RENDER = resources({ processors: 18_000, memory: 68_000 })
const CHECK = resources({ processors: 5_600, memory: 21_000 })

test('no team gets more than its cap', t => {
  const usage = new TeamUsage()
  t.is(usage.allowedCount(TEAM, resources({ processors: 300_000 }), 9, true), 3)
  usage.add('weavers', resources({ processors: 990_000 }))
  t.is(usage.allowedCount(TEAM, CHECK, 3, true), 1)
  usage.remove('weavers', resources({ processors: 990_000 }))
  t.is(usage.allowedCount(TEAM, CHECK, 3, true), 3)
})

test('a cap of zero means no limit, and usage of other teams is not counted', t => {
  const usage = new TeamUsage()
  usage.add('dyers', resources({ processors: 5_000_000, memory: 5_000_000 }))
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
  t.true(renders * RENDER.processors > 0.75 * TEAM.cap.processors, `${renders} renders`)
  t.is(usage.allowedCount(TEAM, CHECK, 10, true), 10)
})

test('a step may use the whole cap, including the reserve for urgent jobs, only while its team is idle', t => {
  const usage = new TeamUsage()
  t.is(usage.allowedCount(TEAM, resources({ processors: 90_000 }), 11, false), 11)
  usage.add('weavers', CHECK)
  t.is(usage.allowedCount(TEAM, resources({ processors: 90_000 }), 11, false), 8)
})
