import test from 'ava'
import { SeededRandom } from '../../adapters/random/seededRandom.ts'
import { AllowedShare, countTargetsToName, MAX_TARGETS_PER_QUESTION, planQuestions } from './adviceQuestion.ts'

const SEED = 17
const STEPS = 2_000
const TARGETS = 378
const TARGET_PROCESSORS = 64

/** A kind of step, with the advisor's times as large deployments show them. */
interface Load {
  readonly name: string
  readonly tasks: number
  readonly processors: number
  readonly allowedShare: number
  readonly decisionMs: number
  readonly perTargetMs: number
  /** Highest share of a target that is in use; each target's share is drawn from 0 to this. */
  readonly usedShare: number
}

const WIDE_GANG: Load = { name: 'wide gangs', tasks: 20, processors: 18, allowedShare: 0.3, decisionMs: 700, perTargetMs: 6.7, usedShare: 0.5 }
const LOADS: readonly Load[] = [
  WIDE_GANG,
  { ...WIDE_GANG, name: 'wide gangs in a full cluster', usedShare: 1.3 },
  { name: 'batches', tasks: 19, processors: 11, allowedShare: 0.45, decisionMs: 200, perTargetMs: 2.9, usedShare: 0.8 },
  { name: 'urgent checks', tasks: 3, processors: 16, allowedShare: 0.7, decisionMs: 20, perTargetMs: 0.22, usedShare: 0.8 }
]

/** Mean time in milliseconds until a step has enough allowed capacity, when each question names as many targets as `choose` says. */
function meanAdviceMs (load: Load, choose: (tasks: number, capacities: readonly number[]) => number): number {
  const random = new SeededRandom(SEED)
  let totalMs = 0
  for (let step = 0; step < STEPS; step++) {
    const targets = Array.from({ length: TARGETS }, () => Math.floor(TARGET_PROCESSORS * Math.max(0, 1 - random.next() * load.usedShare) / load.processors))
    let unasked = targets.sort((left, right) => right - left)
    let held = 0
    while (held < load.tasks && unasked.some(capacity => capacity > 0)) {
      const named = choose(load.tasks, unasked)
      totalMs += load.decisionMs + load.perTargetMs * named
      for (const capacity of unasked.slice(0, named)) if (random.next() < load.allowedShare) held += capacity
      unasked = unasked.slice(named)
    }
  }
  return totalMs / STEPS
}

test('no load waits longer for advice than with questions about as many targets as possible', t => {
  for (const load of LOADS) {
    const naive = meanAdviceMs(load, (_tasks, capacities) => Math.min(capacities.length, MAX_TARGETS_PER_QUESTION))
    const ours = meanAdviceMs(load, (tasks, capacities) => countTargetsToName(tasks, capacities, load.allowedShare))
    t.log(`${load.name}: naive ${naive.toFixed(0)} ms, ours ${ours.toFixed(0)} ms`)
    t.true(ours <= naive, load.name)
  }
})

test('a question names the targets that hold the tasks, and never more than the limit or than there are', t => {
  t.is(countTargetsToName(1, Array(378).fill(4), 0.7), 30)
  t.is(countTargetsToName(1_000, Array(378).fill(4), 0.3), MAX_TARGETS_PER_QUESTION)
  t.is(countTargetsToName(20, Array(12).fill(3), 0.3), 12)
  t.is(countTargetsToName(20, Array(378).fill(0), 0.3), 30, 'full targets may have capacity later')
  t.is(countTargetsToName(20, [], 0.3), 0)
  const share = new AllowedShare()
  t.is(share.value, 0.3)
  for (let answer = 0; answer < 100; answer++) share.recordAnswer(50, 35)
  t.true(Math.abs(share.value - 0.7) < 0.02)
  for (let answer = 0; answer < 100; answer++) share.recordAnswer(50, 10)
  t.true(share.value < 0.3, 'a changed policy is noticed')
})

/** The renders of a large deployment on a calm day, whose other work uses 0.38 of the processors: they compete for the same targets. */
const COMPETING = { gangs: 60, intervalMs: 180, runMs: 5_000, tasks: 20, processors: 18, allowedShare: 0.3, decisionMs: 686, perTargetMs: 6.9, lanes: 95, usedShare: 0.38 }
const STEP_MS = 10

interface WaitingGang {
  readonly arrivedMs: number
  readonly allowed: Set<number>
  readonly asked: Set<number>
  answers: { readonly atMs: number, readonly targets: readonly number[] }[]
}

/** Mean time in milliseconds from the arrival of a gang to the placement of all its tasks. */
function meanWaitMs (plan: (capacities: readonly number[], idleLanes: number) => readonly number[]): number {
  const random = new SeededRandom(SEED)
  const free = Array.from({ length: TARGETS }, () => Math.floor(TARGET_PROCESSORS * (1 - random.next() * COMPETING.usedShare * 2)))
  const gangs: WaitingGang[] = []
  const waits: number[] = []
  const ends: { readonly atMs: number, readonly target: number }[] = []
  for (let nowMs = 0; waits.length < COMPETING.gangs; nowMs += STEP_MS) {
    if (nowMs % COMPETING.intervalMs === 0 && nowMs < COMPETING.gangs * COMPETING.intervalMs) {
      gangs.push({ arrivedMs: nowMs, allowed: new Set([...free.keys()].filter(() => random.next() < COMPETING.allowedShare)), asked: new Set(), answers: [] })
    }
    for (const { target } of ends.filter(({ atMs }) => atMs === nowMs)) free[target] = (free[target] ?? 0) + COMPETING.processors
    const busyLanes = gangs.reduce((sum, { answers }) => sum + answers.length, 0)
    for (const gang of [...gangs]) {
      for (const { targets } of gang.answers.filter(({ atMs }) => atMs <= nowMs)) for (const target of targets) gang.asked.add(target)
      gang.answers = gang.answers.filter(({ atMs }) => atMs > nowMs)
      const capacity = (target: number): number => Math.max(0, Math.floor((free[target] ?? 0) / COMPETING.processors))
      const usable = [...gang.asked].filter(target => gang.allowed.has(target)).flatMap(target => Array<number>(capacity(target)).fill(target))
      if (usable.length >= COMPETING.tasks) {
        for (const target of usable.slice(0, COMPETING.tasks)) {
          free[target] = (free[target] ?? 0) - COMPETING.processors
          ends.push({ atMs: nowMs + COMPETING.runMs, target })
        }
        waits.push(nowMs - gang.arrivedMs)
        gangs.splice(gangs.indexOf(gang), 1)
      } else if (gang.answers.length === 0) {
        const unasked = [...free.keys()].filter(target => !gang.asked.has(target) && (gang.asked.size === 0 || capacity(target) > 0)).sort((left, right) => capacity(right) - capacity(left))
        let named = 0
        for (const size of plan(unasked.map(capacity), COMPETING.lanes - busyLanes)) {
          gang.answers.push({ atMs: nowMs + Math.ceil((COMPETING.decisionMs + COMPETING.perTargetMs * size) / STEP_MS) * STEP_MS, targets: unasked.slice(named, named + size) })
          named += size
        }
      }
    }
  }
  return waits.reduce((sum, wait) => sum + wait, 0) / waits.length
}

test('wide gangs that compete for a nearly full cluster do not wait for one answer after the other while others take the capacity', t => {
  const naive = meanWaitMs(capacities => capacities.length === 0 ? [] : [countTargetsToName(COMPETING.tasks, capacities, COMPETING.allowedShare)])
  const ours = meanWaitMs((capacities, idleLanes) => planQuestions({ ...COMPETING, capacities, idleLanes }))
  t.log(`naive ${naive.toFixed(0)} ms, ours ${ours.toFixed(0)} ms`)
  t.true(ours <= naive)
})

test('questions to a quick policy, or with few idle lanes, are not multiplied', t => {
  const plan = (decisionMs: number, idleLanes: number): readonly number[] => planQuestions({ tasks: 20, capacities: Array<number>(378).fill(2), allowedShare: 0.3, decisionMs, idleLanes })
  t.deepEqual(plan(20, 90), plan(686, 0))
  t.is(plan(20, 90).length, 1)
  t.is(plan(686, 16).length, 4)
  t.true(plan(686, 90).every(size => size <= 30))
  t.deepEqual(planQuestions({ tasks: 20, capacities: [], allowedShare: 0.3, decisionMs: 686, idleLanes: 90 }), [])
})
