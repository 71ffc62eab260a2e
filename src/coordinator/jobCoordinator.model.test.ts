import test from 'ava'
import fc from 'fast-check'
import type { QueueSettings } from '../jobs/desiredState.ts'
import type { StepDefinition } from '../jobs/job.ts'
import { createStep } from '../jobs/testing/definitions.ts'
import { resources } from '../model/resources.ts'
import type { CommitFault } from './testing/memoryTransactionalStore.ts'
import { INITIAL_BORN_MS, INITIAL_CLOCK_MS, initialClockRateOf, restartsOf } from './testing/restartClocks.ts'
import { ADVISED, BATCH, QUEUES, SimulatedCluster } from './testing/simulatedCluster.ts'
import type { SimulatedClusterOptions } from './testing/simulatedCluster.ts'
import { TARGET_FAULTS } from './testing/simulatedTarget.ts'
import type { IncarnationStart, TargetFault } from './testing/simulatedTarget.ts'

const TARGETS = 4
const SEED = 37
/** Other sequences by hand: MODEL_SEED=1 MODEL_RUNS=5000 npx ava --timeout 30m --match 'directed search*' src/coordinator/jobCoordinator.model.test.ts */
const DIRECTED_SEED = Number(process.env.MODEL_SEED ?? SEED)
const DIRECTED_RUNS = Number(process.env.MODEL_RUNS ?? 500)
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
  | { readonly type: 'restart', readonly target: number } & IncarnationStart
  | { readonly type: 'unlist', readonly target: number, readonly listed: boolean }
  | { readonly type: 'store', readonly faults: readonly CommitFault[] }
  | { readonly type: 'commitDelay', readonly ms: number }
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
    case 'restart': return cluster.restartTarget(step.target, step)
    case 'unlist': cluster.target(step.target).listed = step.listed; return
    case 'store': return cluster.failCommits(step.faults)
    case 'commitDelay': cluster.store.commitDelayMs = step.ms; return
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

const SUBMIT = { type: 'submit', kind: 'single', queue: 0 } as const
const SUBMIT_ADVISED: Step = { ...SUBMIT, queue: 2 }
const LEAVE: Step = { type: 'unlist', target: 0, listed: false }
const RESTART: Step = { type: 'restart', target: 0 }
/** The clock of the next incarnation starts behind the earlier one's, and far from 0. */
const RESTART_BEHIND: Step = { ...RESTART, clockMs: 1_000_000 }
const SUCCESSOR: Step = { type: 'successor', gapMs: 0 }
const lateFor = (lateMs: number): Step => ({ type: 'fault', target: 0, fault: 'late', lateMs })
const setFault = (fault: TargetFault): Step => ({ type: 'fault', target: 0, fault })
const setTransit = (requestMs: number, answerMs: number): Step => ({ type: 'transit', target: 0, requestMs, answerMs })
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
  ['the second incarnation after a start confirms its stop, and the third executes the start', [SUBMIT, waitFor(700), lateFor(204), SUBMIT, waitFor(28), setFault('none'), RESTART, waitFor(203), RESTART, setFault('cut'), waitFor(72)], 5],
  ['an acknowledgement is sent after the next incarnation has executed a start that stays unanswered', [SUBMIT, waitFor(45), SUBMIT, waitFor(14), lateFor(2), RESTART, waitFor(1_000)], 5],
  ['the answer of the next incarnation to a start is in transit when the time limit expires', [SUBMIT_ADVISED, waitFor(96), SUBMIT, setTransit(400, 801), waitFor(13), RESTART, waitFor(2_000)], 13],
  ['the answer to a start that was sent after the restart is lost before the restart is noticed', [SUBMIT, waitFor(70), RESTART, SUBMIT, setFault('deaf'), waitFor(1_400)], 5],
  ['an acknowledgement for the earlier incarnation follows a start with a ticket of the next one', [SUBMIT, waitFor(40), setTransit(0, 150), waitFor(40), RESTART, SUBMIT_ADVISED, waitFor(45)], 5],
  ['the next incarnation executes a start and then an acknowledgement of an earlier coordinator', [SUBMIT, waitFor(59), RESTART, SUBMIT, lateFor(400), waitFor(150), SUCCESSOR], 5],
  ['the run of a start whose stop was confirmed by the next incarnation is done on the one after it before the start is withdrawn', [SUBMIT, lateFor(251), waitFor(25), RESTART, SUBMIT, waitFor(3), setFault('none'), waitFor(250), RESTART], 5],
  ['the next incarnation of a target that has left the list executes a late start shortly before the leases are taken for lapsed', [SUBMIT, lateFor(10_000), LEAVE, RESTART, waitFor(10_000)], 40],
  ['the next incarnation answers a start that was in transit at the restart, and works on the run for long', [SUBMIT, waitFor(700), setTransit(100, 0), SUBMIT, waitFor(30), RESTART, waitFor(1_000)], 1_000],
  ['a target restarts after two changes of coordinator and executes a start of the first one', [SUBMIT, waitFor(700), lateFor(11_900), SUBMIT, waitFor(28), setFault('none'), SUCCESSOR, waitFor(5_000), SUCCESSOR, waitFor(5_000), RESTART, setFault('cut'), waitFor(3_000)], 5],
  ['a target that has left the list keeps the end of a late start beyond the time at which the leases are taken for lapsed', [lateFor(1_400), SUBMIT, RESTART, waitFor(2_000), LEAVE, waitFor(8_357)], 40]
]

/** Executes the steps on a new cluster. */
async function play (steps: readonly Step[], workMs: number, targets: number, initialClockMs = 0, options: Partial<SimulatedClusterOptions> = {}): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster({ targets, cap: 14_000, lateMs: MAX_LATE_MS, failing: false, workMs: () => workMs, initialClockMs, ...options })
  await cluster.elect()
  await cluster.clock.advance(1_000)
  for (const step of steps) await apply(cluster, step)
  return cluster
}

async function findRepeatedRuns (steps: readonly Step[], workMs: number, targets = TARGETS, initialClockMs = 0, options: Partial<SimulatedClusterOptions> = {}): Promise<readonly string[]> {
  const cluster = await play(steps, workMs, targets, initialClockMs, options)
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

  // Guards against runs of the next incarnation that are taken for those of the earlier one, since clocks were expected to start with 0.
  test(`no task runs twice, with a clock that starts anywhere, when ${failure}`, async t => {
    t.deepEqual(await findRepeatedRuns(steps.map(step => step.type === 'restart' ? RESTART_BEHIND : step), workMs, TARGETS, INITIAL_CLOCK_MS), [])
  })
}

// Guards against an answer of the next incarnation that is taken for one of the earlier incarnation, since its clock by chance continues the earlier one's.
test('no task runs twice when the next incarnation, whose clock continues the earlier one, answers a start that was sent to it', async t => {
  const continued: Step = { ...RESTART, clockMs: 2_002_889 }
  const steps = [SUBMIT, waitFor(700), setFault('none'), SUBMIT, waitFor(340), SUBMIT, setFault('cut'), continued, setFault('deaf')]
  t.deepEqual(await findRepeatedRuns(steps, 1_397, TARGETS, INITIAL_CLOCK_MS), [])
})

/** A target with faults, and another, so that most tasks are placed on the former. */
const DIRECTED_TARGETS = 2
const RESTART_EQUAL: Step = { ...RESTART, clockDifferenceMs: 0 }
/** The shortest sequences that have led to a second run because the clock of the next incarnation continues the earlier one's. */
const RESTART_EXAMPLES: readonly (readonly [string, readonly Step[], number])[] = [
  ['the next incarnation, whose clock shows what the earlier one\'s would, answers a start that was in transit at the restart', [SUBMIT, RESTART_EQUAL], 700],
  ['the run of a start that was in transit at the restart is done on the next incarnation, whose clock shows what the earlier one\'s would', [SUBMIT, RESTART_EQUAL], 140],
  ['the next incarnation, whose start time is set back and whose clock shows what the earlier one\'s would, answers a start that was in transit at the restart', [SUBMIT, { ...RESTART_EQUAL, bornDifferenceMs: -1 }], 700]
]

/** The start time of each next incarnation is set back, and its clock far behind. */
const RESTART_SET_BACK: Step = { ...RESTART, clockDifferenceMs: -500_000, bornDifferenceMs: -1 }
const SLOW_STORE: Step = { type: 'commitDelay', ms: 402 }
/** The slow store delays the end of the first session, so that the start time of its incarnation does not count any more once the third one reports. */
const LATE_REPORT_STEPS: readonly Step[] = [RESTART_SET_BACK, waitFor(242), SLOW_STORE, waitFor(76), setTransit(34, 764), waitFor(194)]
/** A run of the later incarnation, which is up when a late report of the earlier one arrives. */
const LATE_REPORT_EXAMPLES: readonly (readonly [string, readonly Step[], number])[] = [
  ['has been reported and is done', [SUBMIT_ADVISED, waitFor(22), SUBMIT, ...LATE_REPORT_STEPS, SUBMIT_ADVISED, RESTART_SET_BACK], 95],
  ['has been answered and is done', [SUBMIT, waitFor(22), ...LATE_REPORT_STEPS, SUBMIT, RESTART_SET_BACK], 300],
  ['has been answered and lasts', [SUBMIT, waitFor(22), ...LATE_REPORT_STEPS, SUBMIT, RESTART_SET_BACK], 1_000]
]

for (const [run, steps, workMs] of LATE_REPORT_EXAMPLES) {
  // Guards against a late report that ends the session of a later incarnation, whose start time is lower, so that its runs count as lost.
  test(`no task runs twice when the start time is set back and a late report of the earlier incarnation arrives after a run of the later one ${run}`, async t => {
    t.deepEqual(await findRepeatedRuns(steps, workMs, DIRECTED_TARGETS, INITIAL_CLOCK_MS, { initialBornMs: INITIAL_BORN_MS }), [])
  })
}

for (const [failure, steps, workMs] of RESTART_EXAMPLES) {
  // Guards against a start that the next incarnation has executed, but that ends with the earlier one, so that its task is placed again.
  test(`no task runs twice when ${failure}`, async t => {
    t.deepEqual(await findRepeatedRuns(steps, workMs, TARGETS, INITIAL_CLOCK_MS, { initialBornMs: INITIAL_BORN_MS }), [])
  })
}

// Guards against a run beyond the time at which its lease is taken for lapsed, which a start that was sent before its own extends.
test('no task runs twice when the next incarnation answers a start, and executes an earlier one seconds later, while it is cut off', async t => {
  const steps = [SUBMIT, waitFor(700), lateFor(6_000), SUBMIT, waitFor(30), setFault('none'), setTransit(20, 10), SUBMIT, waitFor(30), RESTART, waitFor(25), setFault('cut'), waitFor(25_000)]
  t.deepEqual(await findRepeatedRuns(steps, 14_000, DIRECTED_TARGETS, INITIAL_CLOCK_MS, { initialBornMs: INITIAL_BORN_MS }), [])
})

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

/** The delay of the calls in transit and the duration of a run, by which sequences time some of their steps. */
interface DirectedTimes {
  readonly delayMs: number
  readonly workMs: number
}

/** A step and the time after it: a base and a difference. */
interface DirectedStep {
  readonly step: Step
  readonly base: number | keyof DirectedTimes
  readonly offsetMs: number
}

interface DirectedSequence extends DirectedTimes {
  /** Whether the clocks of targets start anywhere, not with 0. */
  readonly anyClock: boolean
  readonly steps: readonly DirectedStep[]
}

const MAX_RESTARTS = 3
const CLOSE = [0, 0, 0, 20, 40, 'workMs'] as const
const WITHIN_DELAY = [...CLOSE, 70, 150, 250, 'delayMs'] as const
/** Among them the time limits of the coordinator and its calls, and the ticket validity. */
const ANY_TIME = [...WITHIN_DELAY, 500, 1_000, 1_200, 2_000, 'delayMs'] as const
const offsetMs = fc.oneof({ weight: 3, arbitrary: fc.integer({ min: 0, max: 10 }) }, { weight: 2, arbitrary: fc.integer({ min: -80, max: 80 }) })
const then = (step: fc.Arbitrary<Step>, bases: readonly DirectedStep['base'][]): fc.Arbitrary<DirectedStep> => fc.record({ step, base: fc.constantFrom(...bases), offsetMs })
const sometimes = (percent: number, steps: fc.Arbitrary<readonly DirectedStep[]>): fc.Arbitrary<readonly DirectedStep[]> =>
  fc.oneof({ weight: 100 - percent, arbitrary: fc.constant([]) }, { weight: percent, arbitrary: steps })

const delayMs = fc.oneof(fc.integer({ min: 2, max: 40 }), fc.integer({ min: 150, max: 400 }), fc.integer({ min: 400, max: 1_400 }), fc.integer({ min: 1_400, max: MAX_LATE_MS }))
const transitMs = fc.oneof(fc.integer({ min: 0, max: 40 }), fc.integer({ min: 150, max: 400 }), fc.integer({ min: 400, max: 1_200 }))
const submission = then(fc.record({ type: fc.constant('submit' as const), kind: fc.constantFrom('single', 'wide'), queue: fc.constantFrom(0, 1, 2, 2) }), CLOSE)
const callsInTransit = then(fc.oneof(
  { weight: 6, arbitrary: fc.constant(setFault('late')) },
  { weight: 2, arbitrary: delayMs.map(lateFor) },
  { weight: 4, arbitrary: fc.constantFrom<Step[]>(setFault('deaf'), setFault('cut'), setFault('none'), setFault('none')) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('transit' as const), target: fc.constant(0), requestMs: transitMs, answerMs: transitMs }) }
), WITHIN_DELAY)
const restart = then(fc.constant(RESTART), ANY_TIME)
const successor = then(fc.record({ type: fc.constant('successor' as const), gapMs: fc.oneof(fc.integer({ min: 0, max: 30 }), fc.integer({ min: 0, max: 3_000 })) }), ANY_TIME)
/** After terms in which records about the starts of earlier ones are stored. */
const laterSuccessor = then(fc.record({ type: fc.constant('successor' as const), gapMs: fc.integer({ min: 0, max: 3_000 }) }), ['delayMs', 1_000, 2_000, 5_000])
const absence = then(fc.boolean().map(listed => ({ type: 'unlist', target: 0, listed })), ANY_TIME)
const slowStore = then(fc.oneof(fc.constant(0), fc.integer({ min: 10, max: 400 }), fc.integer({ min: 400, max: 3_000 })).map(ms => ({ type: 'commitDelay', ms })), CLOSE)

/** Calls of one or two tasks and what becomes of them, up to the loss of their target or of their coordinator. */
const createBurst = (restart: fc.Arbitrary<DirectedStep>): fc.Arbitrary<readonly DirectedStep[]> => fc.tuple(
  sometimes(10, fc.tuple(fc.oneof(absence, slowStore))),
  sometimes(30, fc.tuple(callsInTransit)),
  fc.array(submission, { maxLength: 3 }),
  sometimes(70, fc.tuple(callsInTransit)),
  sometimes(10, fc.tuple(fc.oneof(absence, slowStore))),
  fc.oneof({ weight: 5, arbitrary: fc.tuple(restart) }, { weight: 2, arbitrary: fc.tuple(successor) }, { weight: 1, arbitrary: fc.constant([]) }),
  sometimes(15, fc.array(laterSuccessor, { minLength: 1, maxLength: 3 }))
).map(groups => groups.flat())

const directedSequence: fc.Arbitrary<DirectedSequence> = fc.record({
  steps: fc.tuple(sometimes(50, fc.tuple(submission)), fc.array(createBurst(restart), { minLength: 1, maxLength: 3 })).map(([first, bursts]) => limitRestarts([...first, ...bursts.flat()])),
  delayMs,
  anyClock: fc.boolean(),
  workMs: fc.oneof({ weight: 3, arbitrary: fc.integer({ min: 5, max: 40 }) }, { weight: 1, arbitrary: fc.integer({ min: 40, max: 400 }) }, { weight: 1, arbitrary: fc.integer({ min: 400, max: 4_000 }) })
})

function limitRestarts (steps: readonly DirectedStep[]): readonly DirectedStep[] {
  const restarts = steps.filter(({ step }) => step.type === 'restart').slice(0, MAX_RESTARTS)
  return steps.filter(each => each.step.type !== 'restart' || restarts.includes(each))
}

function expandSequence ({ steps, anyClock, ...times }: DirectedSequence): readonly Step[] {
  return steps.flatMap(({ step, base, offsetMs }) => {
    const ms = (typeof base === 'number' ? base : times[base]) + offsetMs
    if (anyClock && step.type === 'restart') return [RESTART_BEHIND, ...ms > 0 ? [waitFor(ms)] : []]
    return [step.type === 'fault' && step.fault === 'late' ? { lateMs: times.delayMs, ...step } : step, ...ms > 0 ? [waitFor(ms)] : []]
  })
}

// Guards against a second run of a task after calls in transit, restarts and a successor have met in a rare order.
test('directed search: no task runs again while it runs or once it is done', async t => {
  const property = fc.asyncProperty(directedSequence, async sequence => {
    const repeated = await findRepeatedRuns(expandSequence(sequence), sequence.workMs, DIRECTED_TARGETS, sequence.anyClock ? INITIAL_CLOCK_MS : 0)
    if (repeated.length > 0) throw new Error(`${repeated.join('; ')}, run of ${sequence.workMs} ms: ${JSON.stringify(expandSequence(sequence))}`)
  })
  await t.notThrowsAsync(async () => await fc.assert(property, { seed: DIRECTED_SEED, numRuns: DIRECTED_RUNS, includeErrorInReport: true }))
})

// Guards against tasks that are held for ever, since a call that they wait for is never known to be answered or out of transit.
test('directed search: once all faults have ended, every accepted job is completed', async t => {
  const property = fc.asyncProperty(directedSequence, async sequence => {
    const cluster = await play(expandSequence(sequence), sequence.workMs, DIRECTED_TARGETS, sequence.anyClock ? INITIAL_CLOCK_MS : 0)
    const stuck = await cluster.findStuckJobs()
    cluster.close()
    if (stuck.length > 0) throw new Error(`${stuck.join('; ')}, run of ${sequence.workMs} ms: ${JSON.stringify(expandSequence(sequence))}`)
  })
  await t.notThrowsAsync(async () => await fc.assert(property, { seed: DIRECTED_SEED, numRuns: Math.ceil(DIRECTED_RUNS / 4), includeErrorInReport: true }))
})

/** Sequences by hand with one kind of clock: MODEL_CLOCKS=continued MODEL_SEED=1 MODEL_RUNS=5000 npx ava --timeout 30m --match 'directed search*whatever the clocks*' src/coordinator/jobCoordinator.model.test.ts */
const RESTART_RUNS = Number(process.env.MODEL_RUNS ?? 150)

interface RestartSequence extends DirectedTimes {
  readonly initialClockRate: number
  readonly steps: readonly DirectedStep[]
}

const clockedRestart = then(restartsOf(process.env.MODEL_CLOCKS).map(start => ({ ...RESTART, ...start })), ANY_TIME)
/** Most tasks need no ticket, since a start with the ticket of one incarnation is refused by the next one. */
const unadvisedSubmission = then(fc.record({ type: fc.constant('submit' as const), kind: fc.constantFrom('single', 'single', 'wide'), queue: fc.constantFrom(0, 0, 1, 2) }), CLOSE)
const lossAfterRestart = then(fc.constantFrom<Step[]>(setFault('deaf'), setFault('cut'), setFault('late'), setFault('none')), WITHIN_DELAY)
/** Starts that are sent shortly before and after a restart, and what becomes of the answers and reports of the next incarnation. */
const startsAroundRestart = fc.tuple(
  sometimes(40, fc.tuple(callsInTransit)),
  fc.array(unadvisedSubmission, { maxLength: 2 }),
  sometimes(20, fc.tuple(callsInTransit)),
  fc.tuple(clockedRestart),
  sometimes(50, fc.tuple(unadvisedSubmission)),
  sometimes(50, fc.tuple(lossAfterRestart)),
  sometimes(10, fc.tuple(slowStore)),
  sometimes(15, fc.tuple(successor))
).map(groups => groups.flat())

const restartSequence: fc.Arbitrary<RestartSequence> = fc.record({
  steps: fc.tuple(sometimes(50, fc.tuple(submission)), fc.array(fc.oneof({ weight: 2, arbitrary: startsAroundRestart }, { weight: 1, arbitrary: createBurst(clockedRestart) }), { minLength: 1, maxLength: 3 }))
    .map(([first, bursts]) => limitRestarts([...first, ...bursts.flat()])),
  delayMs,
  initialClockRate: initialClockRateOf(process.env.MODEL_CLOCKS),
  workMs: fc.oneof({ weight: 2, arbitrary: fc.integer({ min: 5, max: 100 }) }, { weight: 1, arbitrary: fc.integer({ min: 100, max: 700 }) }, { weight: 2, arbitrary: fc.integer({ min: 700, max: 4_000 }) })
})

const expandRestarts = ({ steps, delayMs, workMs }: RestartSequence): readonly Step[] => expandSequence({ steps, delayMs, workMs, anyClock: false })

// Guards against a run of one incarnation that is attributed to another one, because a clock or a start time happens to fit.
test('directed search: no task runs again while it runs or once it is done, whatever the clocks of restarted targets show', async t => {
  const property = fc.asyncProperty(restartSequence, async sequence => {
    const { workMs, initialClockRate } = sequence
    const repeated = await findRepeatedRuns(expandRestarts(sequence), workMs, DIRECTED_TARGETS, INITIAL_CLOCK_MS, { initialClockRate, initialBornMs: INITIAL_BORN_MS })
    if (repeated.length > 0) throw new Error(`${repeated.join('; ')}, run of ${workMs} ms, clock rate ${initialClockRate}: ${JSON.stringify(expandRestarts(sequence))}`)
  })
  await t.notThrowsAsync(async () => await fc.assert(property, { seed: DIRECTED_SEED, numRuns: RESTART_RUNS, includeErrorInReport: true }))
})

// Guards against tasks and targets that wait for ever, since the clock or the start time of an incarnation contradicts what is expected.
test('directed search: once all faults have ended, every accepted job is completed, whatever the clocks of restarted targets show', async t => {
  const property = fc.asyncProperty(restartSequence, async sequence => {
    const { workMs, initialClockRate } = sequence
    const cluster = await play(expandRestarts(sequence), workMs, DIRECTED_TARGETS, INITIAL_CLOCK_MS, { initialClockRate, initialBornMs: INITIAL_BORN_MS })
    const stuck = await cluster.findStuckJobs()
    cluster.close()
    if (stuck.length > 0) throw new Error(`${stuck.join('; ')}, run of ${workMs} ms, clock rate ${initialClockRate}: ${JSON.stringify(expandRestarts(sequence))}`)
  })
  await t.notThrowsAsync(async () => await fc.assert(property, { seed: DIRECTED_SEED, numRuns: Math.ceil(RESTART_RUNS / 4), includeErrorInReport: true }))
})
