import test from 'ava'
import fc from 'fast-check'
import { RUN_ENDS, START_REFUSALS, STOP_OUTCOMES } from '../../ports/jobTarget.ts'
import type { NumberedOrder, RelayResult } from '../../relay/relayMessages.ts'
import { encodeRelayAnswer, encodeRelayBatch, relayAnswerSchema, relayBatchSchema } from './relayCodec.ts'

const RUNS = { numRuns: 300, seed: 7001 }
const time = fc.record({ monotonicMs: fc.nat(), wallMs: fc.nat() })
const numbered = { number: fc.integer({ min: 1, max: 1e6 }), target: fc.record({ address: fc.string(), id: fc.string(), bornMs: fc.nat() }) }
const spec = fc.constantFrom('', 'first text', 'second text')
const startOrder = fc.record({ task: fc.string(), attempt: fc.nat(), spec, leaseUntilTargetMs: fc.nat(), fencingToken: fc.nat(), checkpoint: fc.string(), ticket: fc.string() }, { requiredKeys: ['task', 'attempt', 'spec', 'leaseUntilTargetMs', 'fencingToken', 'checkpoint'] })
const renewOrder = fc.record({ fencingToken: fc.nat(), acknowledged: fc.nat(), leaseUntilTargetMs: fc.nat(), waitMs: fc.nat() }, { requiredKeys: ['fencingToken', 'acknowledged', 'waitMs'] })
const order = fc.oneof(
  fc.record({ ...numbered, type: fc.constant('start' as const), order: startOrder }),
  fc.record({ ...numbered, type: fc.constant('stop' as const), order: fc.record({ task: fc.string(), attempt: fc.nat(), fencingToken: fc.nat() }) }),
  fc.record({ ...numbered, type: fc.constant('renew' as const), order: renewOrder })
) as fc.Arbitrary<NumberedOrder>
const batch = fc.record({ fence: fc.nat(), channel: fc.string(), validUntil: time, waitMs: fc.nat(), orders: fc.array(order) }, { requiredKeys: ['fence', 'channel', 'waitMs', 'orders'] })
const run = { task: fc.string(), attempt: fc.nat(), checkpoint: fc.string() }
const report = fc.record({ bornMs: fc.nat(), clockMs: fc.nat(), running: fc.array(fc.record({ ...run, percent: fc.nat(100) })), finished: fc.array(fc.record({ ...run, number: fc.nat(), end: fc.constantFrom(...RUN_ENDS) })), mayOmitFinished: fc.boolean() })
const message = { outcome: fc.constant('unknown' as const), message: fc.string() }
const result = fc.oneof(
  fc.record({ type: fc.constant('start' as const), outcome: fc.oneof(fc.record({ outcome: fc.constant('started' as const), clockMs: fc.nat() }), fc.record({ outcome: fc.constant('refused' as const), refusal: fc.constantFrom(...START_REFUSALS) }), fc.record(message)) }),
  fc.record({ type: fc.constant('stop' as const), outcome: fc.constantFrom(...STOP_OUTCOMES) }),
  fc.record({ type: fc.constant('renew' as const), outcome: fc.oneof(fc.record({ outcome: fc.constant('report' as const), report }), fc.record({ outcome: fc.constantFrom('fenced' as const, 'other-life' as const) })) }),
  fc.record({ type: fc.constantFrom('not-sent' as const, 'unanswered' as const), reason: fc.string() })
) as fc.Arbitrary<RelayResult>
const answer = fc.record({ state: fc.constantFrom('open' as const, 'closing' as const, 'superseded' as const), time, outcomes: fc.array(fc.record({ number: fc.nat(), result })) })

/** As it arrives at the other instance. */
function transmit (value: unknown): unknown {
  return JSON.parse(JSON.stringify(value))
}

test('no field of an order or of an outcome is lost between a coordinator and a relay', t => {
  fc.assert(fc.property(batch, value => { t.deepEqual(relayBatchSchema.parse(transmit(encodeRelayBatch(value))), transmit(value)) }), RUNS)
  fc.assert(fc.property(answer, value => { t.deepEqual(relayAnswerSchema.parse(transmit(encodeRelayAnswer(value))), transmit(value)) }), RUNS)
})

test('the text of a job is sent once for all of its tasks in a batch', t => {
  const start = (number: number): NumberedOrder => ({
    number, type: 'start', target: { address: 'a', id: 'b', bornMs: 1 }, order: { task: `task-${number}`, attempt: 1, spec: 'x'.repeat(4_000), leaseUntilTargetMs: 1, fencingToken: 7, checkpoint: '' }
  })
  const encoded = encodeRelayBatch({ fence: 7, channel: 'c', waitMs: 0, orders: [start(1), start(2), start(3)] })
  t.true(JSON.stringify(encoded).length < 5_000)
})

test('a malformed batch is rejected whole, and never throws another error than that of the schema', t => {
  const value = { fence: 7, channel: 'c', waitMs: 0, specs: ['text'], orders: [] }
  t.true(relayBatchSchema.safeParse(value).success)
  const target = { address: 'a', id: 'b', bornMs: 1 }
  const startOf = (position: unknown): unknown => ({ number: 1, type: 'start', target, order: { task: 't', attempt: 1, spec: position, leaseUntilTargetMs: 1, fencingToken: 7, checkpoint: '' } })
  for (const damaged of [
    null, 'text', { ...value, fence: '7' }, { ...value, orders: [startOf(1)] }, { ...value, orders: [startOf(-1)] }, { ...value, orders: [startOf('text')] },
    { ...value, orders: [{ number: 1, type: 'erase', target, order: {} }] }, { ...value, orders: [{ number: 0, type: 'stop', target, order: { task: 't', attempt: 1, fencingToken: 7 } }] }
  ]) t.false(relayBatchSchema.safeParse(damaged).success, JSON.stringify(damaged))
  fc.assert(fc.property(fc.jsonValue(), json => { t.notThrows(() => relayBatchSchema.safeParse(json)) }), RUNS)
})
