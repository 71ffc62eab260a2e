import test from 'ava'
import { JobProgress } from '../../jobs/jobProgress.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../../jobs/testing/definitions.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import { resources } from '../../model/resources.ts'
import { GangPrecedence } from './gangPrecedence.ts'
import type { ServiceCapacity } from './gangPrecedence.ts'

const SERVICE = 'renders'
const TARGETS = 20
const TARGET_PROCESSORS = 64_000
const SMALL = { processors: 7_000, runMs: 2_700, queue: { ...TEST_QUEUE, name: 'batches', priority: 2, stretchFactor: 4, latencyObjectiveMs: 3_000 } }
const GANG = { processors: 18_000, tasks: 12, runMs: 5_000, queue: { ...TEST_QUEUE, stretchFactor: 2.2, latencyObjectiveMs: 1_200 } }
const TICK_MS = 50
/** Arrival of the gang, when the small steps already fill the cluster. */
const GANG_AT_MS = 4_000

function createTestStep (id: string, acceptedAtMs: number, { processors, runMs, queue }: typeof SMALL, tasks: number, gang: boolean): StepProgress {
  const definition = createStep(tasks, { size: resources({ processors }), estimateMs: runMs, gang })
  return new JobProgress(createJobRecord(id, [definition]), queue, acceptedAtMs).steps[0] as StepProgress
}

interface Outcome {
  /** Time at which the gang was placed; undefined if it never was. */
  readonly gangAtMs: number | undefined
  /** Longest time that a small step waited. */
  readonly longestWaitMs: number
}

/** Simulates a cluster in which small steps arrive faster than they end, and a gang that arrives when no capacity is free. */
function simulate (withPrecedence: boolean): Outcome {
  const free = Array.from({ length: TARGETS }, () => TARGET_PROCESSORS)
  const ends: { readonly atMs: number, readonly target: number, readonly processors: number }[] = []
  const waiting: StepProgress[] = []
  const gang = createTestStep('gang', GANG_AT_MS, GANG, GANG.tasks, true)
  let gangAtMs: number | undefined
  let longestWaitMs = 0
  for (let nowMs = 0; nowMs <= 20_000; nowMs += TICK_MS) {
    for (const end of ends.filter(({ atMs }) => atMs === nowMs)) free[end.target] = (free[end.target] ?? 0) + end.processors
    for (let arrival = 0; arrival < 4 && waiting.length < 40; arrival++) waiting.push(createTestStep(`small-${nowMs}-${arrival}`, nowMs, SMALL, 1, false))
    const capacity: ServiceCapacity = { freeProcessors: () => free.reduce((sum, each) => sum + each, 0), totalProcessors: () => TARGETS * TARGET_PROCESSORS }
    const precedence = new GangPrecedence(capacity, nowMs)
    const place = ({ processors, runMs }: typeof SMALL, count: number): boolean => {
      const remaining = [...free]
      const targets: number[] = []
      for (let task = 0; task < count; task++) {
        const target = remaining.findIndex(each => each >= processors)
        if (target < 0) return false
        remaining[target] = (remaining[target] ?? 0) - processors
        targets.push(target)
      }
      for (const target of targets) {
        free[target] = (free[target] ?? 0) - processors
        ends.push({ atMs: nowMs + runMs, target, processors })
      }
      return true
    }
    if (nowMs >= GANG_AT_MS && gangAtMs === undefined) {
      if (place(GANG, GANG.tasks)) gangAtMs = nowMs
      else if (withPrecedence) precedence.recordWaitingGang(gang, SERVICE)
    }
    for (const step of [...waiting]) {
      if (precedence.yields(step, SERVICE) || !place(SMALL, 1)) continue
      waiting.splice(waiting.indexOf(step), 1)
      longestWaitMs = Math.max(longestWaitMs, nowMs - step.job.acceptedAtMs)
    }
  }
  return { gangAtMs, longestWaitMs }
}

test('under a constant stream of small steps, a gang and all small steps meet their latency objectives', t => {
  t.is(simulate(false).gangAtMs, undefined, 'without precedence the gang is never placed')
  const { gangAtMs = Infinity, longestWaitMs } = simulate(true)
  const { latencyObjectiveMs, stretchFactor } = GANG.queue
  t.true(gangAtMs + GANG.runMs <= GANG_AT_MS + latencyObjectiveMs + stretchFactor * GANG.runMs, `the gang was placed at ${gangAtMs} ms`)
  t.true(longestWaitMs <= 3_000 + 3 * SMALL.runMs, `a small step waited for ${longestWaitMs} ms`)
})

test('a gang waiting in a cluster with half its processors free does not block other steps', t => {
  const capacity: ServiceCapacity = { freeProcessors: () => 500, totalProcessors: () => 1_000 }
  const precedence = new GangPrecedence(capacity, 1_000)
  precedence.recordWaitingGang(createTestStep('gang', 0, GANG, GANG.tasks, true), SERVICE)
  t.false(precedence.yields(createTestStep('small', 0, SMALL, 1, false), SERVICE))
})

test('a step with little slack, or of the same priority, does not yield to a waiting gang', t => {
  const capacity: ServiceCapacity = { freeProcessors: () => 100, totalProcessors: () => 1_000 }
  const precedence = new GangPrecedence(capacity, 9_000)
  precedence.recordWaitingGang(createTestStep('gang', 8_000, GANG, GANG.tasks, true), SERVICE)
  t.true(precedence.yields(createTestStep('fresh', 8_500, SMALL, 1, false), SERVICE))
  t.false(precedence.yields(createTestStep('old', 0, SMALL, 1, false), SERVICE))
  t.false(precedence.yields(createTestStep('render', 8_500, GANG, 1, false), SERVICE))
})

// Guards against lasting tasks that do not run although there is capacity: how long a gang waits for more is not bounded for them.
test('a lasting step does not yield to a waiting gang', t => {
  const capacity: ServiceCapacity = { freeProcessors: () => 100, totalProcessors: () => 1_000 }
  const precedence = new GangPrecedence(capacity, 9_000)
  precedence.recordWaitingGang(createTestStep('gang', 8_000, GANG, GANG.tasks, true), SERVICE)
  const lasting = new JobProgress(createJobRecord('lasting', [createStep(1, { longRunning: true, estimateMs: 60_000 })]), SMALL.queue, 8_500).steps[0] as StepProgress
  t.false(precedence.yields(lasting, SERVICE))
})
