import test from 'ava'
import { createStep } from '../../jobs/testing/definitions.ts'
import { resources } from '../../model/resources.ts'
import { MAX_TARGETS_PER_QUESTION } from './adviceQuestion.ts'
import { decideAdvisedPlacement } from './advisedPlacement.ts'
import type { AdvisedDecision } from './advisedPlacement.ts'
import type { TargetAvailability } from '../placement/placeStep.ts'
import { StepAdvice } from './stepAdvice.ts'

const ALLOWED_FRACTION = 0.3
const VALID_MS = 2_000
const DECISION_MS = 700
const TARGETS = Array.from({ length: 246 }, (_, number) => createTarget(`target-${number}`))

function createTarget (key: string, processors = 64_000): TargetAvailability {
  return { key, free: { processors, memory: 262_144, accelerators: 0 }, rack: 'r-1', labels: [], sameStepTasks: 0, hasResponseTargetTasks: false, hasSpareFillingTasks: false, isUnreliable: false }
}

/** Records an advisor's answer that allows `ALLOWED_FRACTION` of the targets asked about. */
function answer (advice: StepAdvice, decision: AdvisedDecision<TargetAvailability>, nowMs: number): void {
  if (decision.action !== 'ask') return
  for (const targets of decision.questions) {
    const asked = new Map(targets.map(({ key }) => [key, key]))
    const allowed = targets.slice(0, Math.round(targets.length * ALLOWED_FRACTION)).map(({ key }) => ({ target: key, ticket: 'ticket' }))
    advice.recordAnswer(asked, allowed, nowMs, VALID_MS)
  }
}

/** Applies decisions until tasks are started or no further question is asked. */
/** No question waits for a lane, and the allowed targets never have capacity. */
const ALWAYS_WORTH_ASKING = { expectQuestion: () => ({ laneWaitMs: 0, decisionMs: 0 }), timeUntilAllowedMs: () => Infinity }

function place (count: number, gang: boolean, targets = TARGETS, advice = new StepAdvice(), idleLanes = 0): { questions: number, placed: number } {
  const definition = createStep(count, { gang, size: resources({ processors: 18_000, memory: 64_000 }) })
  let questions = 0
  for (;;) {
    const decision = decideAdvisedPlacement({ definition, count, advice, allowedShare: ALLOWED_FRACTION, targets, describe: target => target, nowMs: 0, decisionMs: DECISION_MS, idleLanes, ...ALWAYS_WORTH_ASKING })
    if (decision.action !== 'ask') return { questions, placed: decision.action === 'wait' ? 0 : decision.placed.length }
    questions += decision.questions.length
    answer(advice, decision, 0)
  }
}

test('a gang too large for the targets of one question asks about further targets', t => {
  t.deepEqual(place(20, true), { questions: 1, placed: 20 })
  t.deepEqual(place(120, true), { questions: 2, placed: 120 })
  t.deepEqual(place(400, true), { questions: 3, placed: 0 }, 'a gang that fits nowhere asks about each target only once')
})

test('a step asks about further targets when the allowed ones are full', t => {
  const advice = new StepAdvice()
  place(1, false, TARGETS, advice)
  const busy = TARGETS.map(target => advice.wasAsked(target.key) ? createTarget(target.key, 1_000) : target)
  t.deepEqual(place(3, false, busy, advice), { questions: 1, placed: 3 })
})

test('a question is limited to the maximum number of targets, those with the most free processors first', t => {
  const targets = TARGETS.map((target, number) => createTarget(target.key, number * 100))
  const decision = decideAdvisedPlacement({ definition: createStep(100_000), count: 100_000, advice: new StepAdvice(), allowedShare: ALLOWED_FRACTION, targets, describe: target => target, nowMs: 0, decisionMs: DECISION_MS, idleLanes: 0, ...ALWAYS_WORTH_ASKING })
  t.is(decision.action, 'ask')
  if (decision.action !== 'ask') return
  t.deepEqual(decision.questions.map(({ length }) => length), [MAX_TARGETS_PER_QUESTION])
  t.is(decision.questions[0]?.[0]?.key, 'target-245')
})

test('expired tickets are renewed for the chosen targets only', t => {
  const advice = new StepAdvice()
  place(2, false, TARGETS, advice)
  const definition = createStep(2, { size: resources({ processors: 18_000, memory: 64_000 }) })
  const decision = decideAdvisedPlacement({ definition, count: 2, advice, targets: TARGETS, allowedShare: ALLOWED_FRACTION, describe: target => target, nowMs: VALID_MS, decisionMs: DECISION_MS, idleLanes: 0, ...ALWAYS_WORTH_ASKING })
  t.is(decision.action, 'renew')
})

test('a step that has advice does not examine full targets', t => {
  const advice = new StepAdvice()
  place(1, false, TARGETS, advice)
  const full = TARGETS.map((target, number) => createTarget(target.key, number < 3 ? 20_000 : 1_000))
  let describeCalls = 0
  const definition = createStep(4, { size: resources({ processors: 18_000, memory: 64_000 }) })
  const decision = decideAdvisedPlacement({ definition, count: 4, advice, targets: full, allowedShare: ALLOWED_FRACTION, describe: target => { describeCalls += 1; return target }, nowMs: 0, decisionMs: DECISION_MS, idleLanes: 0, ...ALWAYS_WORTH_ASKING })
  t.is(decision.action, 'start')
  t.is(describeCalls, 3)
})

test('the advisor is not asked about full targets once a step has advice', t => {
  const advice = new StepAdvice()
  place(1, false, TARGETS, advice)
  const full = TARGETS.map(target => createTarget(target.key, 1_000))
  const definition = createStep(1, { size: resources({ processors: 18_000, memory: 64_000 }) })
  t.is(decideAdvisedPlacement({ definition, count: 1, advice, targets: full, allowedShare: ALLOWED_FRACTION, describe: target => target, nowMs: 0, decisionMs: DECISION_MS, idleLanes: 0, ...ALWAYS_WORTH_ASKING }).action, 'wait')
})

test('a gang on a busy cluster asks about all targets with capacity at once, each target once, and starts with the first answers that suffice', t => {
  const advice = new StepAdvice()
  const definition = createStep(20, { gang: true, size: resources({ processors: 18_000, memory: 64_000 }) })
  const decide = () => decideAdvisedPlacement({ definition, count: 20, advice, allowedShare: ALLOWED_FRACTION, targets: TARGETS, describe: target => target, nowMs: 0, decisionMs: DECISION_MS, idleLanes: 90, ...ALWAYS_WORTH_ASKING })
  const decision = decide()
  t.is(decision.action, 'ask')
  if (decision.action !== 'ask') return
  const named = decision.questions.flat().map(({ key }) => key)
  t.deepEqual([named.length, new Set(named).size], [TARGETS.length, TARGETS.length])
  advice.openQuestions = decision.questions.length
  answer(advice, { action: 'ask', questions: [] }, 0)
  t.is(decide().action, 'wait', 'nothing is asked twice while the answers are on their way')
  answer(advice, { action: 'ask', questions: decision.questions.slice(0, 1) }, 0)
  t.is(decide().action, 'start', 'a late answer to one question delays nothing')
})
