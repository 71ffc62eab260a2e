import test from 'ava'
import { isWorthAsking } from './questionWorth.ts'
import type { FurtherQuestion } from './questionWorth.ts'

/** A step of three tasks that can hold none on its allowed targets now; other steps ask at the same time. */
const WAITING: FurtherQuestion = {
  definition: { gang: false }, count: 3, allowedCapacity: 0, namedCapacity: 4, laneWaitMs: 3_400, decisionMs: 600, timeUntilAllowedMs: () => 900, waitedMs: 0
}

// Guards against lanes in which every answer takes seconds, since hundreds of steps ask about each target that gets a little capacity.
test('full service with slow answers: a step whose allowed targets have capacity before the answer does not ask', t => {
  t.false(isWorthAsking(WAITING))
  t.true(isWorthAsking({ ...WAITING, laneWaitMs: 0, decisionMs: 4_000 }))
  t.true(isWorthAsking({ ...WAITING, laneWaitMs: 100 }))
})

// Guards against a gang that keeps a lane busy with each target that is free, and starts on none of them.
test('scarce capacity: a gang does not ask about targets that could not hold it even if all of them were allowed', t => {
  const gang = { ...WAITING, definition: { gang: true }, laneWaitMs: 100 }
  t.true(isWorthAsking(gang))
  t.false(isWorthAsking({ ...gang, namedCapacity: 2 }))
  t.true(isWorthAsking({ ...gang, namedCapacity: 2, allowedCapacity: 1 }))
})

// Guards against a step that waits for ever, since others take the capacity that was forecast for it, or since it may run on no target that it knows of.
test('a step asks again once it has waited twice as long as an answer takes, or if its allowed targets will never hold it', t => {
  t.false(isWorthAsking({ ...WAITING, waitedMs: 7_999 }))
  t.true(isWorthAsking({ ...WAITING, waitedMs: 8_000 }))
  t.true(isWorthAsking({ ...WAITING, definition: { gang: true }, namedCapacity: 1, timeUntilAllowedMs: () => Infinity }))
  t.true(isWorthAsking({ ...WAITING, definition: { gang: true }, namedCapacity: 1, waitedMs: 8_000 }), 'a gang too wide for one question')
})
