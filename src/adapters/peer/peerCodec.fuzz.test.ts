import test from 'ava'
import fc from 'fast-check'
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { DescMessage, MessageShape } from '@bufbuild/protobuf'
import { FreshnessTracker } from '../../configuration/freshness.ts'
import * as wire from '../../generated/peer_pb.ts'
import { MembershipTable } from '../../membership/membershipTable.ts'
import { AnswerDecoder } from '../../membership/answerDecoder.ts'
import type { InstanceDigest, NamedUpdate } from '../../model/digest.ts'
import { InputError, RefusalError } from '../../model/errors.ts'
import { DIMENSIONS, resources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import { ShareLedger } from '../../scheduler/shares/shareLedger.ts'
import { ManualClock } from '../clock/manualClock.ts'
import { REFUSAL_STATUS } from '../caller/refusalStatus.ts'
import { decodeExchangeAnswer, decodeExchangeSender, encodeExchangeAnswer } from './exchangeCodec.ts'
import { decodeClaims, decodeForwardedRequest, decodeRunEvent } from './peerCodec.ts'

const SELF = { name: 'entry-1', incarnation: 'a' }

const VALID_UPDATE: NamedUpdate = {
  handle: 1,
  ref: { name: 'entry-2', incarnation: 'b' },
  place: { dataCentre: 'attica-a', region: 'attica', peerAddress: '127.0.0.1:1' },
  state: 'serving',
  configurationVersion: 7,
  heardAge: 0,
  storeReadAge: 100,
  quietAge: 100,
  load: { version: 1, free: resources({ slots: 4 }), largestFree: resources({ slots: 4 }), queued: 1 },
  teams: [{ team: 'weavers', used: resources({ slots: 4 }), spare: resources({ slots: 1 }), queued: 1, version: 1 }]
}

const OWN_DIGEST: InstanceDigest = {
  ref: SELF,
  dataCentre: 'attica-a',
  region: 'attica',
  peerAddress: '127.0.0.1:2',
  state: 'serving',
  configurationVersion: 7,
  heardAge: 0,
  free: resources({ slots: 4 }),
  largestFree: resources({ slots: 4 }),
  queued: 0,
  teams: []
}

function encodeUpdates (updates: readonly NamedUpdate[]): wire.ExchangeResponse {
  return encodeExchangeAnswer({ instances: updates, acknowledged: true, revision: 1 })
}

/** Values of the wire's integer types, including their limits. */
const small = fc.oneof(fc.nat(), fc.constantFrom(0, 2 ** 32 - 1))
const large = fc.oneof(fc.bigInt({ min: 0n, max: 2n ** 64n - 1n }), fc.constantFrom(0n, 2n ** 53n, 2n ** 64n - 1n))
const amounts = fc.record({ slots: small, processors: large, memory: large, accelerators: small }).map(given => create(wire.AmountsSchema, given))

/** A digest message with an arbitrary number in every numeric field. */
const arbitraryDigest = fc.record({ version: large, loadVersion: large, ages: fc.tuple(small, small, small), amounts, queued: small })
  .map(({ version, loadVersion, ages: [heardAge, storeReadAge, quietAge], amounts, queued }) => {
    const [message] = encodeUpdates([{ ...VALID_UPDATE, handle: 2, ref: { name: 'entry-3', incarnation: 'c' } }]).instances
    Object.assign(message!, { configurationVersion: version, heardAge, storeReadAge, quietAge })
    Object.assign(message!.load!, { version: loadVersion, free: amounts, largestFree: amounts, queued })
    for (const team of message!.teams) Object.assign(team, { used: amounts, spare: amounts, queued, version: loadVersion })
    return message!
  })

function isValidAmount (amounts: Resources): boolean {
  return DIMENSIONS.every(dimension => amounts[dimension] >= 0 && amounts[dimension] <= Number.MAX_SAFE_INTEGER)
}

function readAnswer (message: wire.ExchangeResponse): readonly NamedUpdate[] {
  return new AnswerDecoder().decode('127.0.0.1:1', undefined, decodeExchangeAnswer(message))
}

test('no number in an exchange response corrupts the membership table, the share ledger or the freshness', t => {
  fc.assert(fc.property(fc.array(arbitraryDigest, { minLength: 1, maxLength: 3 }), messages => {
    const clock = new ManualClock(100_000)
    const table = new MembershipTable({ clock, self: SELF, dataCentre: 'attica-a' })
    const ledger = new ShareLedger()
    ledger.setCapacity(resources({ slots: 16 }))
    const tracker = new FreshnessTracker({
      clock, self: SELF, log: { version: 7, pending: false, onRead: () => () => {} }, registry: { acceptors: [], registeredAt: undefined, release: () => {} }
    })
    const answer = encodeUpdates([VALID_UPDATE])
    answer.instances.push(...messages)
    const updates = readAnswer(answer)
    table.merge(updates, clock.monotonicMs())
    tracker.noteAnswer(updates, clock.monotonicMs())
    table.merge([{ ...VALID_UPDATE, configurationVersion: 8 }], clock.monotonicMs())
    ledger.observe(table.others().map(({ digest }) => digest))

    t.true(tracker.ageMs() >= 0 && tracker.ageMs() <= 100)
    t.true(Number.isFinite(ledger.weightedShare('weavers')) && ledger.weightedShare('weavers') >= 0)
    t.is(table.find(VALID_UPDATE.ref)?.digest.configurationVersion, 8)
    for (const { digest } of table.others()) {
      t.true(Number.isSafeInteger(digest.configurationVersion) && digest.heardAge >= 0)
      t.true([digest.free, digest.largestFree, ...digest.teams.flatMap(team => [team.used, team.spare])].every(isValidAmount))
    }
  }), { seed: 51, numRuns: 500 })
})

test('a heartbeat without a valid age does not prevent the suspicion of an unresponsive instance', async t => {
  const clock = new ManualClock(100_000)
  const table = new MembershipTable({ clock, self: SELF, dataCentre: 'attica-a' })
  for (let second = 0; second < 10; second++) {
    table.setOwnDigest(OWN_DIGEST)
    table.merge([{ ...VALID_UPDATE, heardAge: NaN }], clock.monotonicMs())
    await clock.advance(1_000)
  }
  t.true(table.isSuspected(VALID_UPDATE.ref))
})

const bytes = fc.oneof(
  fc.uint8Array({ maxLength: 200 }),
  fc.tuple(fc.nat(), fc.nat(255), fc.nat()).map(([position, value, cut]) => {
    const valid = toBinary(wire.ExchangeResponseSchema, encodeUpdates([VALID_UPDATE]))
    valid[position % valid.length] = value
    return cut % 4 === 0 ? valid.subarray(0, cut % valid.length) : valid
  }))

test('decoding arbitrary bytes of a peer gives a valid message or an input error', t => {
  fc.assert(fc.property(bytes, bytes => {
    const read = <Shape extends DescMessage, Value>(schema: Shape, decode: (message: MessageShape<Shape>) => Value): Value | undefined => {
      let message: MessageShape<Shape>
      try {
        message = fromBinary(schema, bytes)
      } catch {
        return undefined
      }
      try {
        return decode(message)
      } catch (error) {
        t.true(error instanceof InputError || error instanceof RefusalError, String(error))
        return undefined
      }
    }
    const updates = read(wire.ExchangeResponseSchema, readAnswer) ?? []
    t.true(updates.every(({ ref, heardAge, load }) => ref.name !== '' && heardAge >= 0 && (load === undefined || isValidAmount(load.free))))
    const sender = read(wire.ExchangeRequestSchema, decodeExchangeSender)
    t.true(sender === undefined || (sender.ref.name !== '' && Number.isSafeInteger(sender.configurationVersion)))
    const event = read(wire.RunEventSchema, decodeRunEvent)
    t.true(event?.type !== 'refused' || Object.hasOwn(REFUSAL_STATUS, event.code))
    read(wire.RunRequestSchema, decodeForwardedRequest)
    read(wire.ClaimRequestSchema, decodeClaims)
  }), { seed: 52, numRuns: 2_000 })
})

test('an invalid first entry is not replaced by another one, and other invalid entries are dropped', t => {
  const invalid = create(wire.InstanceDigestSchema, { handle: 3, ref: create(wire.InstanceRefSchema, {}) })
  const [valid] = encodeUpdates([VALID_UPDATE]).instances
  t.throws(() => readAnswer(create(wire.ExchangeResponseSchema, { instances: [invalid, valid!] })), { message: /reference/ })
  t.deepEqual(readAnswer(create(wire.ExchangeResponseSchema, { instances: [valid!, invalid] })), [VALID_UPDATE])
  t.throws(() => readAnswer(create(wire.ExchangeResponseSchema, {})), { message: /does not describe/ })
})

test('a forwarded request that could run twice or without a deadline is rejected', t => {
  const request = { id: 'q', kind: 'urgent', name: 'n', size: resources({ slots: 1 }), tasks: 1, deadlineMs: 1_000, repeatable: false, payload: null }
  const decode = (change: object, json: object = {}) => decodeForwardedRequest(create(wire.RunRequestSchema, {
    attemptId: 'f.1', team: 'weavers', requestJson: JSON.stringify({ ...request, ...json }), remainingMs: 900, hops: 1, configurationVersion: 7n, ...change
  }))
  t.deepEqual(decode({}).request as unknown, request)
  for (const change of [{ attemptId: '' }, { attemptId: 'without-a-number' }, { attemptId: '.1' }, { team: '' }, { remainingMs: NaN }, { remainingMs: Infinity }, { requestJson: 'null' }, { requestJson: '{' }]) {
    t.throws(() => decode(change), undefined, JSON.stringify(change))
  }
  for (const json of [{ size: undefined }, { size: { slots: -1 } }, { deadlineMs: undefined }, { kind: 'toString' }]) t.throws(() => decode({}, json), undefined, JSON.stringify(json))
})
