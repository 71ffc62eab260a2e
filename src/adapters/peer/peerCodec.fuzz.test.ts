import test from 'ava'
import fc from 'fast-check'
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { DescMessage, MessageShape } from '@bufbuild/protobuf'
import { FreshnessTracker } from '../../configuration/freshness.ts'
import * as wire from '../../generated/peer_pb.ts'
import { MembershipTable } from '../../membership/membershipTable.ts'
import type { InstanceDigest } from '../../model/digest.ts'
import { InputError, RefusalError } from '../../model/errors.ts'
import { DIMENSIONS, resources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import { ShareLedger } from '../../scheduler/shares/shareLedger.ts'
import { ManualClock } from '../clock/manualClock.ts'
import { REFUSAL_STATUS } from '../caller/refusalStatus.ts'
import { decodeClaims, decodeDigest, decodeDigests, decodeForwarded, decodeRunEvent, encodeDigest } from './peerCodec.ts'

const SELF = { name: 'entry-1', incarnation: 'a' }

const honest: InstanceDigest = {
  ref: { name: 'entry-2', incarnation: 'b' },
  dataCentre: 'attica-a',
  region: 'attica',
  peerAddress: '127.0.0.1:1',
  state: 'serving',
  configurationVersion: 7,
  heardAge: 0,
  storeReadAge: 100,
  quietAge: 100,
  free: resources({ slots: 4 }),
  largestFree: resources({ slots: 4 }),
  queued: 1,
  teams: [{ team: 'weavers', used: resources({ slots: 4 }), spare: resources({ slots: 1 }), queued: 1 }]
}

const number = fc.oneof(fc.double(), fc.constantFrom(NaN, Infinity, -Infinity, -1, 1e308, Number.MAX_VALUE, -0))
const vector = fc.record({ slots: number, processors: number, memory: number, accelerators: number })

/** A digest as its message, with any number in every place. */
const poisoned = fc.record({
  version: fc.oneof(fc.bigInt({ min: 0n, max: 2n ** 64n - 1n }), fc.nat().map(BigInt)),
  heardAge: number,
  storeReadAge: number,
  quietAge: number,
  vector
}).map(({ version, vector, ...ages }) => {
  const message = encodeDigest({ ...honest, ref: { name: 'entry-3', incarnation: 'c' } })
  const amounts = create(wire.ResourcesSchema, vector)
  Object.assign(message, ages, { configurationVersion: version, free: amounts, largestFree: amounts })
  for (const team of message.teams) Object.assign(team, { used: amounts, spare: amounts })
  return message
})

function isSane (amounts: Resources): boolean {
  return DIMENSIONS.every(dimension => amounts[dimension] >= 0 && amounts[dimension] <= Number.MAX_SAFE_INTEGER)
}

test('no number in a digest poisons the membership, the ledger or the freshness', t => {
  fc.assert(fc.property(fc.array(poisoned, { minLength: 1, maxLength: 3 }), messages => {
    const clock = new ManualClock(100_000)
    const table = new MembershipTable({ clock, self: SELF, dataCentre: 'attica-a' })
    const ledger = new ShareLedger()
    ledger.setCapacity(resources({ slots: 16 }))
    const tracker = new FreshnessTracker({
      clock, self: SELF, log: { version: 7, pending: false, onRead: () => () => {} }, registry: { acceptors: [], registeredAt: undefined, release: () => {} }
    })
    const decoded = decodeDigests([encodeDigest(honest), ...messages])
    table.merge(decoded, clock.monotonicMs())
    for (const digest of decoded) table.noteRequest(digest)
    tracker.noteAnswer(decoded, clock.monotonicMs())
    table.merge([{ ...honest, configurationVersion: 8 }], clock.monotonicMs())
    ledger.observe(table.others().map(({ digest }) => digest))

    t.true(tracker.ageMs() >= 0 && tracker.ageMs() <= 100)
    t.true(Number.isFinite(ledger.weightedShare('weavers')) && ledger.weightedShare('weavers') >= 0)
    t.is(table.find(honest.ref)?.digest.configurationVersion, 8)
    for (const { digest } of table.others()) {
      t.true(Number.isSafeInteger(digest.configurationVersion) && digest.heardAge >= 0)
      t.true([digest.free, digest.largestFree, ...digest.teams.flatMap(team => [team.used, team.spare])].every(isSane))
    }
  }), { seed: 51, numRuns: 500 })
})

test('no heartbeat without a valid age keeps a silent instance alive', async t => {
  const clock = new ManualClock(100_000)
  const table = new MembershipTable({ clock, self: SELF, dataCentre: 'attica-a' })
  for (let second = 0; second < 10; second++) {
    table.setOwnDigest({ ...honest, ref: SELF })
    table.merge([{ ...honest, heardAge: NaN }], clock.monotonicMs())
    await clock.advance(1_000)
  }
  t.true(table.isSuspected(honest.ref))
})

const bytes = fc.oneof(
  fc.uint8Array({ maxLength: 200 }),
  fc.tuple(fc.nat(), fc.nat(255), fc.nat()).map(([position, value, cut]) => {
    const valid = toBinary(wire.InstanceDigestSchema, encodeDigest(honest))
    valid[position % valid.length] = value
    return cut % 4 === 0 ? valid.subarray(0, cut % valid.length) : valid
  }))

test('no bytes of a peer are taken for a message that the scheduler can not trust', t => {
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
    const digest = read(wire.InstanceDigestSchema, decodeDigest)
    t.true(digest === undefined || (digest.ref.name !== '' && digest.heardAge >= 0 && isSane(digest.free)))
    const event = read(wire.RunEventSchema, decodeRunEvent)
    t.true(event?.type !== 'refused' || Object.hasOwn(REFUSAL_STATUS, event.code))
    read(wire.RunRequestSchema, decodeForwarded)
    read(wire.ClaimRequestSchema, decodeClaims)
  }), { seed: 52, numRuns: 2_000 })
})

test('an invalid digest does not stand in for the instance that answered', t => {
  const invalid = create(wire.InstanceDigestSchema, {})
  t.throws(() => decodeDigests([invalid, encodeDigest(honest)]), { message: /reference/ })
  t.deepEqual(decodeDigests([encodeDigest(honest), invalid]), [honest])
})

test('a forwarded request that could run twice or without an end is refused', t => {
  const request = { id: 'q', kind: 'urgent', name: 'n', size: resources({ slots: 1 }), tasks: 1, deadlineMs: 1_000, repeatable: false, payload: null }
  const decode = (change: object, json: object = {}) => decodeForwarded(create(wire.RunRequestSchema, {
    attemptId: 'f.1', team: 'weavers', requestJson: JSON.stringify({ ...request, ...json }), remainingMs: 900, hops: 1, configurationVersion: 7n, ...change
  }))
  t.deepEqual(decode({}).request as unknown, request)
  for (const change of [{ attemptId: '' }, { attemptId: 'without-a-number' }, { attemptId: '.1' }, { team: '' }, { remainingMs: NaN }, { remainingMs: Infinity }, { requestJson: 'null' }, { requestJson: '{' }]) {
    t.throws(() => decode(change), undefined, JSON.stringify(change))
  }
  for (const json of [{ size: undefined }, { size: { slots: -1 } }, { deadlineMs: undefined }, { kind: 'toString' }]) t.throws(() => decode({}, json), undefined, JSON.stringify(json))
})
