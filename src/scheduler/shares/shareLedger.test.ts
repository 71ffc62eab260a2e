import test from 'ava'
import fc from 'fast-check'
import { addResources, DIMENSIONS, dominantFraction, NO_RESOURCES, resources, scaleResources } from '../../model/resources.ts'
import type { Dimension, Resources } from '../../model/resources.ts'
import { ShareLedger } from './shareLedger.ts'
import type { PreemptionCandidate } from './shareLedger.ts'
import { computeMaxMinShares } from './waterFilling.ts'
import type { TeamDemand } from './waterFilling.ts'

const capacity = resources({ slots: 240, processors: 1_000, memory: 4_000, accelerators: 2 })

/**
 * Reference model: gives each unsatisfied team a small step in turn. A dimension that cannot take a step counts as
 * exhausted for all teams.
 */
function fillStepByStep (teams: readonly TeamDemand[], steps: number): Map<string, number> {
  const shares = new Map(teams.map(({ team }) => [team, 0]))
  let used = NO_RESOURCES
  const stopped = new Set<string>()
  const usedUp = new Set<Dimension>()
  while (stopped.size < teams.length) {
    for (const { team, weight, demand } of teams) {
      const wanted = dominantFraction(demand, capacity)
      const share = shares.get(team)!
      const step = Math.min(weight / steps, wanted - share)
      const increased = step > 0 ? addResources(used, scaleResources(demand, step / wanted)) : used
      DIMENSIONS.filter(dimension => increased[dimension] > capacity[dimension]).forEach(dimension => usedUp.add(dimension))
      if (step <= 0 || [...usedUp].some(dimension => demand[dimension] > 0)) stopped.add(team)
      if (stopped.has(team)) continue
      shares.set(team, share + step)
      used = increased
    }
  }
  return shares
}

const demands = fc.array(fc.record({
  weight: fc.integer({ min: 1, max: 5 }),
  demand: fc.record({ slots: fc.nat(300), processors: fc.nat(1_500), memory: fc.nat(5_000), accelerators: fc.nat(1) })
}), { minLength: 1, maxLength: 7 }).map(teams => teams.map((team, index) => ({ ...team, team: `t${index}` })))

test('entitlements match water filling in small steps', t => {
  fc.assert(fc.property(demands, teams => {
    const exact = computeMaxMinShares(teams, capacity)
    const steps = 4_000
    const naive = fillStepByStep(teams, steps)
    for (const { team, weight } of teams) {
      const difference = Math.abs((exact.get(team) ?? 0) - naive.get(team)!)
      t.true(difference <= weight * teams.length * 5 / steps, `${team}: ${exact.get(team)} instead of ${naive.get(team)}`)
    }
  }), { seed: 20_263, numRuns: 150 })
})

const loads = fc.array(fc.record({
  team: fc.constantFrom('a', 'a', 'a', 'b', 'c', 'd'),
  size: fc.integer({ min: 1, max: 80 }).map(processors => resources({ processors, memory: processors })),
  checkpointing: fc.nat(9).map(draw => draw === 0)
}), { minLength: 10, maxLength: 40 })

function loadLedger (tasks: readonly Omit<PreemptionCandidate, 'taskId' | 'targetId' | 'startedAt'>[]): { ledger: ShareLedger, candidates: PreemptionCandidate[] } {
  const ledger = new ShareLedger()
  ledger.setCapacity(capacity)
  const candidates = tasks.map((task, index) => ({ ...task, taskId: `${index}`, targetId: 'w', startedAt: index }))
  for (const { team, size } of candidates) ledger.charge(team, size)
  return { ledger, candidates }
}

test('preemption frees no more than the deficit and leaves no preempted team below its entitlement', t => {
  let planned = 0
  fc.assert(fc.property(loads, fc.integer({ min: 1, max: 900 }), (tasks, processors) => {
    const { ledger, candidates } = loadLedger(tasks)
    ledger.setWaiting('d', resources({ processors }), 1)
    const owed = Math.max(0, ledger.entitlement('d') - ledger.dominantShare('d'))
    const { checkpoints } = ledger.planPreemption({ now: 0, candidates })
    planned += checkpoints.length
    const pending = candidates.filter(({ checkpointing }) => checkpointing)
    const sum = (list: readonly PreemptionCandidate[]): Resources => list.reduce((total, { size }) => addResources(total, size), NO_RESOURCES)
    if (checkpoints.length > 0) t.true(dominantFraction(sum([...checkpoints, ...pending]), capacity) <= owed + 1e-6)
    for (const team of new Set(checkpoints.map(checkpoint => checkpoint.team))) {
      const taken = dominantFraction(sum([...checkpoints, ...pending].filter(task => task.team === team)), capacity)
      t.true(ledger.dominantShare(team) - taken >= ledger.entitlement(team) - 1e-6)
    }
    t.true(checkpoints.every(({ checkpointing, team }) => !checkpointing && team !== 'd'))
  }), { seed: 20_264, numRuns: 400 })
  t.true(planned > 100, `${planned} checkpoints were planned`)
})

test('the newest task of the team furthest above its entitlement is preempted first, and rounds are at least one second apart', t => {
  const size = resources({ processors: 100 })
  const { ledger, candidates } = loadLedger(['a', 'a', 'b', 'a', 'a', 'a', 'a', 'b', 'b', 'b']
    .map(team => ({ team, size, checkpointing: false })))
  ledger.setWaiting('a', resources({ processors: 1_000 }), 1)
  ledger.setWaiting('b', resources({ processors: 1_000 }), 1)
  ledger.setWaiting('c', size, 1)
  const { checkpoints } = ledger.planPreemption({ now: 0, candidates })
  t.deepEqual(checkpoints.map(({ taskId }) => taskId), ['6'])
  t.deepEqual(ledger.planPreemption({ now: 999, candidates }).checkpoints, [])
  t.is(ledger.planPreemption({ now: 1_000, candidates }).checkpoints.length, 1)
})

test('preemption for urgent tasks does not wait for the next round and checkpoints no more than they need', t => {
  const { ledger, candidates } = loadLedger([1, 4, 1, 2, 2].map(slots => ({ team: 'a', size: resources({ slots }), checkpointing: false })))
  const placed = candidates.map((candidate, index) => ({ ...candidate, targetId: index < 3 ? 'r1' : 'r2' }))
  const need = { size: resources({ slots: 3 }), tasks: 1, freeOn: () => NO_RESOURCES }
  const plan = (list: readonly PreemptionCandidate[]): readonly string[] =>
    ledger.planPreemption({ now: 0, candidates: list, urgent: need }).checkpoints.map(({ taskId }) => taskId)
  t.deepEqual(plan(placed), ['4', '3'])
  t.deepEqual(plan(placed.slice(0, 3)), ['1'])
  t.deepEqual(plan(placed.map(task => ({ ...task, checkpointing: task.targetId === 'r2' }))), [])
})

test('usage and queued requests of other instances are counted exactly once', t => {
  const ledger = new ShareLedger()
  ledger.setCapacity(capacity)
  ledger.charge('a', resources({ processors: 100 }))
  ledger.setWaiting('b', resources({ processors: 1_000 }), 1)
  const base = {
    ref: { name: 'i', incarnation: '1' },
    dataCentre: 'd',
    region: 'r',
    peerAddress: '',
    state: 'serving' as const,
    configurationVersion: 1,
    heardAge: 0,
    free: NO_RESOURCES,
    largestFree: NO_RESOURCES,
    queued: 3
  }
  const teams = [
    { team: 'a', used: resources({ processors: 700 }), spare: NO_RESOURCES, queued: 0 },
    { team: 'b', used: NO_RESOURCES, spare: NO_RESOURCES, queued: 3 }
  ]
  ledger.observe([{ ...base, teams }])
  ledger.observe([{ ...base, teams }])
  t.is(ledger.dominantShare('a'), 0.8)
  t.is(ledger.localPartOfWaiting('b'), 0.25)
  t.true(Math.abs(ledger.entitlement('b') - 0.5) < 1e-9)
  t.is(DIMENSIONS.filter(dimension => ledger.used('a')[dimension] > 0).length, 1)
})
