import test from 'ava'
import fc from 'fast-check'
import { createStep } from '../jobs/testing/definitions.ts'
import { INITIAL_BORN_MS, INITIAL_CLOCK_MS, restartsOf } from './testing/restartClocks.ts'
import { BATCH, SimulatedCluster, URGENT } from './testing/simulatedCluster.ts'
import type { SimulatedClusterOptions } from './testing/simulatedCluster.ts'
import { RELAY_FAULTS, SimulatedRelays } from './testing/simulatedRelay.ts'
import type { RelayFault } from './testing/simulatedRelay.ts'
import type { IncarnationStart, TargetFault } from './testing/simulatedTarget.ts'

const TARGETS = 4
const SEED = 37
const RUNS = 60
const HELD_BACK_RUNS = 100
/** Other sequences by hand: MODEL_CLOCKS=continued MODEL_SEED=1 MODEL_RUNS=5000 npx ava --timeout 30m --match '*whatever the clocks*' src/coordinator/relayedCoordinator.model.test.ts */
const RESTART_SEED = Number(process.env.MODEL_SEED ?? SEED)
const RESTART_RUNS = Number(process.env.MODEL_RUNS ?? 60)
const MAX_LATE_MS = 12_000
const MAX_RELAY_DELAY_MS = 1_500

type Step =
  | { readonly type: 'submit', readonly tasks: number, readonly urgent: boolean }
  | { readonly type: 'fault', readonly target: number, readonly fault: TargetFault, readonly lateMs: number }
  | { readonly type: 'restart', readonly target: number } & IncarnationStart
  /** Concerns both relays in use if none is named. */
  | { readonly type: 'relay', readonly relay?: number, readonly fault: RelayFault, readonly delayMs: number }
  | { readonly type: 'pause', readonly relay: number, readonly ms: number }
  | { readonly type: 'successor', readonly gapMs: number }
  | { readonly type: 'wait', readonly ms: number }

/** The targets that are given work first, and the relays in use. */
const firstTwo = fc.integer({ min: 0, max: 1 })
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ type: fc.constant('submit' as const), tasks: fc.constantFrom(1, 6), urgent: fc.boolean() }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.oneof(fc.integer({ min: 1, max: 100 }), fc.integer({ min: 100, max: 1_500 }), fc.integer({ min: 1_500, max: MAX_LATE_MS })) }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('relay' as const), relay: firstTwo, fault: fc.constantFrom(...RELAY_FAULTS), delayMs: fc.integer({ min: 1, max: MAX_RELAY_DELAY_MS }) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('pause' as const), relay: firstTwo, ms: fc.integer({ min: 1, max: 3_000 }) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('restart' as const), target: firstTwo }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('fault' as const), target: firstTwo, fault: fc.constantFrom<TargetFault[]>('none', 'cut', 'deaf', 'late'), lateMs: fc.integer({ min: 1, max: MAX_LATE_MS }) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('successor' as const), gapMs: fc.integer({ min: 0, max: 3_000 }) }) }
)

const submitStep = fc.record({ type: fc.constant('submit' as const), tasks: fc.constantFrom(1, 1, 2), urgent: fc.constant(true) })
const delayStep: fc.Arbitrary<Step> = fc.record({ type: fc.constant('relay' as const), fault: fc.constantFrom<RelayFault[]>('late', 'late', 'late', 'none', 'repeating', 'deaf'), delayMs: fc.integer({ min: 1, max: 720 }) })
const shortWait: fc.Arbitrary<Step> = fc.record({ type: fc.constant('wait' as const), ms: fc.oneof(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 60, max: 750 })) })
const restartStep: fc.Arbitrary<Step> = fc.record({ type: fc.constant('restart' as const), target: fc.constantFrom(0, 0, 0, 1) })
const cutStep: fc.Arbitrary<Step> = fc.record({ type: fc.constant('fault' as const), target: fc.constant(0), fault: fc.constantFrom<TargetFault[]>('cut', 'deaf'), lateMs: fc.constant(0) })
const successorStep: fc.Arbitrary<Step> = fc.record({ type: fc.constant('successor' as const), gapMs: fc.constantFrom(0, 0, 100) })
/** Restarts of a target, and possibly a successor, while relays hold back starts and acknowledgements. */
const createHeldBackSteps = (restartStep: fc.Arbitrary<Step>): fc.Arbitrary<readonly Step[]> => fc.tuple(
  submitStep, fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 500, max: 800 }) }),
  fc.array(fc.oneof({ weight: 4, arbitrary: delayStep }, { weight: 3, arbitrary: submitStep }, { weight: 5, arbitrary: shortWait }), { minLength: 2, maxLength: 7 }), restartStep,
  fc.array(fc.oneof({ weight: 3, arbitrary: delayStep }, { weight: 1, arbitrary: submitStep }, { weight: 5, arbitrary: shortWait }, { weight: 2, arbitrary: restartStep }, { weight: 1, arbitrary: cutStep }, { weight: 1, arbitrary: successorStep }), { maxLength: 7 })
).map(([first, pause, before, restart, after]) => [first, pause, ...before, restart, ...after])

async function apply (cluster: SimulatedCluster, relays: SimulatedRelays, step: Step): Promise<void> {
  switch (step.type) {
    case 'submit': cluster.submit('single', step.urgent ? URGENT : BATCH, [createStep(step.tasks)]); return
    case 'fault': {
      const faulty = cluster.target(step.target)
      faulty.fault = step.fault
      faulty.lateMs = step.lateMs
      return
    }
    case 'restart': return cluster.restartTarget(step.target, step)
    case 'relay': {
      for (const relay of step.relay === undefined ? [0, 1] : [step.relay]) relays.setFault(relay, step.fault, step.delayMs)
      return
    }
    case 'pause': relays.relay(step.relay).pause(step.ms); return
    case 'successor':
      relays.endTerm()
      return await cluster.startSuccessor(step.gapMs)
    case 'wait': return await cluster.clock.advance(step.ms)
  }
}

async function findRepeatedRuns (steps: readonly Step[], workMs: number, options: Partial<SimulatedClusterOptions> = {}): Promise<readonly string[]> {
  const relays = new SimulatedRelays()
  const cluster = new SimulatedCluster({ targets: TARGETS, cap: 14_000, lateMs: MAX_LATE_MS, failing: false, workMs: () => workMs, wrapConnector: relays.wrapConnector, ...options })
  await cluster.elect()
  await cluster.clock.advance(1_000)
  for (const step of steps) await apply(cluster, relays, step)
  cluster.endFaults()
  relays.endFaults()
  await cluster.clock.advance(MAX_LATE_MS * 2)
  const repeated = cluster.findRepeatedRuns()
  relays.endTerm()
  cluster.close()
  return repeated
}

const SUBMIT: Step = { type: 'submit', tasks: 1, urgent: true }
const RESTART: Step = { type: 'restart', target: 0 }
const SUCCESSOR: Step = { type: 'successor', gapMs: 0 }
const delayBatches = (delayMs: number): Step => ({ type: 'relay', fault: 'late', delayMs })
const waitFor = (ms: number): Step => ({ type: 'wait', ms })
/** The shortest sequences that have led to a second run and that need a relay, with the failure that each guards against, and the duration of a run. */
const EXAMPLES: readonly (readonly [string, readonly Step[], number])[] = [
  ['the next incarnation executes a start that a relay held back at the restart, and then a later acknowledgement', [SUBMIT, waitFor(500), SUBMIT, waitFor(42), SUBMIT, delayBatches(49), waitFor(18), RESTART, waitFor(7)], 5],
  ['a relay that does not know the successor sends a start that it held back to the next incarnation, before the successor reaches it', [SUBMIT, waitFor(501), delayBatches(1), RESTART, SUBMIT, delayBatches(497), waitFor(25), SUCCESSOR, RESTART], 55]
]

for (const [failure, steps, workMs] of EXAMPLES) {
  test(`no task runs twice when ${failure}`, async t => {
    t.deepEqual(await findRepeatedRuns(steps, workMs), [])
  })
}

// Guards against a start that the next incarnation has executed, but that ends with the earlier one, so that its task is placed again.
test('no task runs twice when the next incarnation, whose clock shows what the earlier one\'s would, answers a start through a relay', async t => {
  const steps: readonly Step[] = [SUBMIT, waitFor(500), SUBMIT, { ...RESTART, clockDifferenceMs: 0 }]
  t.deepEqual(await findRepeatedRuns(steps, 700, { initialClockMs: INITIAL_CLOCK_MS, initialBornMs: INITIAL_BORN_MS }), [])
})

const workTime = fc.oneof(fc.integer({ min: 5, max: 100 }), fc.integer({ min: 100, max: 4_000 }))

function createProperty (sequences: fc.Arbitrary<readonly Step[]>, options: Partial<SimulatedClusterOptions> = {}): fc.IAsyncPropertyWithHooks<[readonly Step[], number]> {
  return fc.asyncProperty(sequences, workTime, async (steps, workMs) => {
    const repeated = await findRepeatedRuns(steps, workMs, options)
    if (repeated.length > 0) throw new Error(repeated.join('; '))
  })
}

// Guards against a second run of a task after a relay or the next incarnation of a target executed calls that had been given up.
test('no task runs again while it runs or once it is done, whatever relays lose, delay or repeat', async t => {
  const sequences = fc.array(anyStep, { minLength: 3, maxLength: 30 })
  await t.notThrowsAsync(async () => await fc.assert(createProperty(sequences), { seed: SEED, numRuns: RUNS, includeErrorInReport: true }))
})

// Guards against the same in sequences that rarely arise at random: requests held back by a relay while their target restarts.
test('no task runs again while it runs or once it is done, whichever incarnation executes what a relay has held back', async t => {
  await t.notThrowsAsync(async () => await fc.assert(createProperty(createHeldBackSteps(restartStep)), { seed: SEED, numRuns: HELD_BACK_RUNS, includeErrorInReport: true }))
})

const clockedRestartStep: fc.Arbitrary<Step> = fc.tuple(restartStep, restartsOf(process.env.MODEL_CLOCKS)).map(([step, start]) => ({ ...step, ...start }))

// Guards against a run of one incarnation that is attributed to another one, because a clock or a start time in an answer or report through a relay happens to fit.
test('no task runs again while it runs or once it is done, whatever the clocks of targets show that restart behind a relay', async t => {
  const property = createProperty(createHeldBackSteps(clockedRestartStep), { initialClockMs: INITIAL_CLOCK_MS, initialBornMs: INITIAL_BORN_MS })
  await t.notThrowsAsync(async () => await fc.assert(property, { seed: RESTART_SEED, numRuns: RESTART_RUNS, includeErrorInReport: true }))
})

// Guards against a model whose relays are not used, so that the other tests would show nothing about them.
test('requests travel through the relays of the model', async t => {
  const relays = new SimulatedRelays()
  const cluster = new SimulatedCluster({ targets: TARGETS, cap: 14_000, lateMs: MAX_LATE_MS, failing: false, workMs: () => 500, wrapConnector: relays.wrapConnector })
  await cluster.elect()
  await cluster.clock.advance(1_000)
  for (const relay of [0, 1]) relays.setFault(relay, 'late', 200)
  cluster.submit('single', URGENT, [createStep(6)])
  await cluster.clock.advance(150)
  t.deepEqual(cluster.running, [])
  await cluster.clock.advance(250)
  t.is(cluster.running.length, 6)
  relays.endTerm()
  cluster.close()
})
