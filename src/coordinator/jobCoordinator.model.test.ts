import test from 'ava'
import fc from 'fast-check'
import type { QueueSettings } from '../jobs/desiredState.ts'
import type { StepDefinition } from '../jobs/job.ts'
import { createStep } from '../jobs/testing/definitions.ts'
import { resources } from '../model/resources.ts'
import type { CommitFault } from './testing/memoryTransactionalStore.ts'
import { ADVISED, BATCH, QUEUES, SimulatedCluster } from './testing/simulatedCluster.ts'
import { TARGET_FAULTS } from './testing/simulatedTarget.ts'
import type { TargetFault } from './testing/simulatedTarget.ts'

const TARGETS = 4
const SEED = 37
const RUNS = 20

const STEPS: Readonly<Record<string, readonly StepDefinition[]>> = {
  single: [createStep(1)],
  wide: [createStep(6)],
  large: [createStep(1, { size: resources({ processors: 7_000, memory: 10 }) })],
  chain: [createStep(2), createStep(2, { after: [0] }), createStep(1, { after: [1], gang: true })],
  gang: [createStep(5, { gang: true, size: resources({ processors: 2_000, memory: 10 }) })],
  // Together they leave room for each of the others, on each target and under the cap.
  lasting: [createStep(1, { longRunning: true, size: resources({ processors: 40, memory: 10 }) })]
}

type Step =
  | { readonly type: 'submit', readonly kind: string, readonly queue: number }
  | { readonly type: 'fault', readonly target: number, readonly fault: TargetFault, readonly lateMs?: number }
  | { readonly type: 'transit', readonly target: number, readonly requestMs: number, readonly answerMs: number }
  | { readonly type: 'restart', readonly target: number }
  | { readonly type: 'unlist', readonly target: number, readonly listed: boolean }
  | { readonly type: 'store', readonly faults: readonly CommitFault[] }
  | { readonly type: 'successor', readonly gapMs: number }
  | { readonly type: 'wait', readonly ms: number }

const target = fc.integer({ min: 0, max: TARGETS - 1 })
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ type: fc.constant('submit' as const), kind: fc.constantFrom(...Object.keys(STEPS)), queue: fc.integer({ min: 0, max: QUEUES.length - 1 }) }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 3_000 }) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('fault' as const), target, fault: fc.constantFrom(...TARGET_FAULTS) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('restart' as const), target }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('unlist' as const), target, listed: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('store' as const), faults: fc.array(fc.constantFrom<CommitFault[]>('none', 'unavailable', 'lost'), { maxLength: 5 }) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('successor' as const), gapMs: fc.integer({ min: 0, max: 3_000 }) }) }
)

async function apply (cluster: SimulatedCluster, step: Step): Promise<void> {
  switch (step.type) {
    case 'submit': cluster.submit(step.kind, QUEUES[step.queue] as QueueSettings, STEPS[step.kind] ?? []); return
    case 'fault': {
      const faulty = cluster.target(step.target)
      faulty.fault = step.fault
      faulty.lateMs = step.lateMs ?? faulty.lateMs
      return
    }
    case 'transit': cluster.target(step.target).transit = step; return
    case 'restart': return cluster.restartTarget(step.target)
    case 'unlist': cluster.target(step.target).listed = step.listed; return
    case 'store': return cluster.failCommits(step.faults)
    case 'successor': return await cluster.startSuccessor(step.gapMs)
    case 'wait': return await cluster.clock.advance(step.ms)
  }
}

// Guards against tasks that no longer run though they could, after orders, reports or coordinators were lost.
test('once all faults have ended, every accepted job is completed and every lasting task runs', async t => {
  const property = fc.asyncProperty(fc.array(anyStep, { minLength: 5, maxLength: 25 }), fc.integer({ min: 100, max: 11_000 }), fc.boolean(), async (steps, lateMs, failing) => {
    const cluster = new SimulatedCluster({ targets: TARGETS, cap: 14_000, lateMs, failing })
    await cluster.elect()
    await cluster.clock.advance(1_000)
    for (const step of steps) await apply(cluster, step)
    const stuck = await cluster.findStuckJobs()
    cluster.close()
    if (stuck.length > 0) throw new Error(stuck.join('; '))
  })
  await t.notThrowsAsync(async () => await fc.assert(property, { seed: SEED, numRuns: RUNS }))
})

const MAX_LATE_MS = 12_000
const TRANSIT_RUNS = 100
/** The targets that are given work first. */
const faultyTarget = fc.integer({ min: 0, max: 1 })
const anyTransitStep: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ type: fc.constant('submit' as const), kind: fc.constantFrom('single', 'wide'), queue: fc.constantFrom(0, 1) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 1_500 }) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 1_500, max: MAX_LATE_MS }) }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('fault' as const), target: faultyTarget, fault: fc.constantFrom<TargetFault[]>('none', 'cut', 'deaf', 'late', 'late', 'late'), lateMs: fc.oneof(fc.integer({ min: 1, max: 1_500 }), fc.integer({ min: 1_500, max: MAX_LATE_MS })) }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('restart' as const), target: faultyTarget }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('successor' as const), gapMs: fc.integer({ min: 0, max: 3_000 }) }) }
)

const SUBMIT: Step = { type: 'submit', kind: 'single', queue: 0 }
const RESTART: Step = { type: 'restart', target: 0 }
const SUCCESSOR: Step = { type: 'successor', gapMs: 0 }
const lateFor = (lateMs: number): Step => ({ type: 'fault', target: 0, fault: 'late', lateMs })
const setFault = (fault: TargetFault): Step => ({ type: 'fault', target: 0, fault })
const waitFor = (ms: number): Step => ({ type: 'wait', ms })
/** The shortest sequences that have led to a second run, with the failure that each guards against, and the duration of a run. */
const TRANSIT_EXAMPLES: readonly (readonly [string, readonly Step[], number])[] = [
  ['the first renewal after a restart acknowledges the end of a run on the next incarnation', [SUBMIT, waitFor(572), SUBMIT, RESTART], 5],
  ['leases are taken for lapsed before the run of a start that the next incarnation executed late has lost its own', [lateFor(905), SUBMIT, waitFor(500), RESTART, waitFor(10_000)], 5],
  ['the next incarnation executes a late start after the lapse of the leases, while its task runs elsewhere', [lateFor(11_000), SUBMIT, waitFor(500), RESTART, waitFor(20_000)], 4_000],
  ['the next incarnation executes a late start after the lapse of the leases, once its task is done elsewhere', [lateFor(11_900), SUBMIT, waitFor(3_500), RESTART, waitFor(20_000)], 5],
  ['the next incarnation confirms the stop of a late start, and the one after it executes the start', [lateFor(8_000), SUBMIT, waitFor(500), RESTART, setFault('none'), waitFor(2_500), RESTART], 5],
  ['the next incarnation executes a start and then an acknowledgement that were both in transit at the restart', [SUBMIT, waitFor(700), SUBMIT, waitFor(72), SUBMIT, lateFor(200), RESTART, waitFor(231), lateFor(200)], 5],
  ['the next incarnation executes a start of an earlier coordinator before the successor has reached it', [SUBMIT, waitFor(700), lateFor(501), SUBMIT, waitFor(28), setFault('none'), SUCCESSOR, RESTART, setFault('cut'), waitFor(2)], 100],
  ['a successor has reached a target before that restarts and executes a start of the earlier coordinator', [SUBMIT, waitFor(700), lateFor(3_000), SUBMIT, waitFor(28), setFault('none'), SUCCESSOR, waitFor(300), RESTART, setFault('cut'), waitFor(3_000)], 5],
  ['the second incarnation after a start confirms its stop, and the third executes the start', [SUBMIT, waitFor(700), lateFor(204), SUBMIT, waitFor(28), setFault('none'), RESTART, waitFor(203), RESTART, setFault('cut'), waitFor(72)], 5]
]

async function findRepeatedRuns (steps: readonly Step[], workMs: number): Promise<readonly string[]> {
  const cluster = new SimulatedCluster({ targets: TARGETS, cap: 14_000, lateMs: MAX_LATE_MS, failing: false, workMs: () => workMs })
  await cluster.elect()
  await cluster.clock.advance(1_000)
  for (const step of steps) await apply(cluster, step)
  cluster.endFaults()
  await cluster.clock.advance(MAX_LATE_MS * 2)
  const repeated = cluster.findRepeatedRuns()
  cluster.close()
  return repeated
}

for (const [failure, steps, workMs] of TRANSIT_EXAMPLES) {
  test(`no task runs twice when ${failure}`, async t => {
    t.deepEqual(await findRepeatedRuns(steps, workMs), [])
  })
}

// Guards against a successor that holds the starts of a queue for the validity of tickets which they do not carry.
test('no task runs twice when its queue has got an advisor and a successor since its start, which carries no ticket', async t => {
  const cluster = new SimulatedCluster({ targets: TARGETS, cap: 14_000, lateMs: MAX_LATE_MS, failing: false, workMs: () => 5 })
  await cluster.elect()
  await cluster.clock.advance(1_000)
  cluster.submit('single', BATCH, [createStep(1)])
  await cluster.clock.advance(700)
  for (const step of [lateFor(8_000), { type: 'submit', kind: 'single', queue: QUEUES.indexOf(BATCH) }, waitFor(100), setFault('none')] as const) await apply(cluster, step)
  cluster.setQueues(QUEUES.map(queue => queue === BATCH && ADVISED.advice !== undefined ? { ...BATCH, advice: ADVISED.advice } : queue))
  for (const step of [SUCCESSOR, waitFor(4_000), RESTART, setFault('cut'), waitFor(20_000)]) await apply(cluster, step)
  t.deepEqual(cluster.findRepeatedRuns(), [])
  cluster.close()
})

// Guards against a second run of a task after the next incarnation of a target executed calls intended for the earlier one.
test('no task runs again while it runs or once it is done, whichever incarnation of a target executes a delayed call', async t => {
  const property = fc.asyncProperty(fc.array(anyTransitStep, { minLength: 3, maxLength: 30 }), fc.oneof(fc.integer({ min: 5, max: 100 }), fc.integer({ min: 100, max: 4_000 })), async (steps, workMs) => {
    const repeated = await findRepeatedRuns(steps, workMs)
    if (repeated.length > 0) throw new Error(repeated.join('; '))
  })
  await t.notThrowsAsync(async () => await fc.assert(property, { seed: SEED, numRuns: TRANSIT_RUNS, includeErrorInReport: true }))
})
