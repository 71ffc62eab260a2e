import test from 'ava'
import type { ExecutionContext } from 'ava'
import fc from 'fast-check'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { SeededRandom } from '../adapters/random/seededRandom.ts'
import { MemoryStore } from '../adapters/store/memoryStore.ts'
import { ChangeLog } from '../configuration/changeLog.ts'
import { AcceptorRegistry } from '../configuration/registry.ts'
import { InputError } from '../model/errors.ts'
import { resources } from '../model/resources.ts'
import { ClaimLog } from './claims/claimLog.ts'
import { parseSegment, serialiseSegment } from './claims/claimSegment.ts'
import { parseAllotment, serialiseAllotment } from './limits/allotmentRecord.ts'
import { EntryReclaimer } from './limits/entryReclaimer.ts'
import { parseOwnership, serialiseOwnership } from './ownership/ownershipRecord.ts'
import { OwnershipView } from './ownership/ownershipView.ts'

const OWNERSHIP = serialiseOwnership({
  members: ['entry-1/a'], targets: { 'r-1': { owner: 'entry-1/a', epoch: 3, fenced: true, previous: [] } }
})
const ALLOTMENT = serialiseAllotment({
  limit: { slots: 8 }, limitVersion: 2, holders: { 'entry-1/a': { dataCentre: 'howrah', amount: resources({ slots: 3 }), sequence: 4 } }
})
const SEGMENT = serialiseSegment({ number: 2, writtenAt: 1_700_000_000_000, entries: [{ identity: '0a', holder: 'f' }] })

/** Generates records with one value replaced by an arbitrary one, and texts that are not records. */
function corruptedRecords (valid: string): fc.Arbitrary<string> {
  const replaced = fc.tuple(fc.nat(), fc.oneof(fc.jsonValue(), fc.constantFrom(null, -1, 1e308, '5', [], {}))).map(([position, value]) => {
    let place = 0
    const count = (json: unknown): number => json !== null && typeof json === 'object' ? Object.values(json).reduce((sum: number, part) => sum + count(part), 1) : 1
    const chosen = position % count(JSON.parse(valid))
    const replace = (json: unknown): unknown => {
      if (place++ === chosen) return value
      if (Array.isArray(json)) return json.map(replace)
      return json !== null && typeof json === 'object' ? Object.fromEntries(Object.entries(json).map(([key, part]) => [key, replace(part)])) : json
    }
    return JSON.stringify(replace(JSON.parse(valid)))
  })
  return fc.oneof({ arbitrary: replaced, weight: 5 }, fc.string(), fc.json())
}

const formats = [
  { name: 'ownership', valid: OWNERSHIP, rewrite: (value: string) => serialiseOwnership(parseOwnership(value)) },
  { name: 'allotment', valid: ALLOTMENT, rewrite: (value: string) => serialiseAllotment(parseAllotment(value)) },
  { name: 'claim', valid: SEGMENT, rewrite: (value: string) => serialiseSegment(parseSegment(value)) }
]

for (const { name, valid, rewrite } of formats) {
  test(`a corrupt ${name} record causes an error that names it, and a readable one loses nothing when it is rewritten`, t => {
    t.is(rewrite(valid), valid)
    fc.assert(fc.property(corruptedRecords(valid), value => {
      try {
        t.deepEqual(JSON.parse(rewrite(value)), JSON.parse(value))
      } catch (error) {
        t.true(error instanceof InputError && error.message.includes(name), `${value}: ${String(error)}`)
      }
    }), { seed: 61, numRuns: 1_000 })
  })
}

test('epochs and amounts that could let two owners share an epoch or a team exceed its limit are refused', t => {
  for (const epoch of [-1, 0.5, 2 ** 53, '3', null]) t.throws(() => parseOwnership(OWNERSHIP.replace('"epoch":3', `"epoch":${JSON.stringify(epoch)}`)))
  for (const slots of [-1, '3', null]) t.throws(() => parseAllotment(ALLOTMENT.replace('"slots":3', `"slots":${JSON.stringify(slots)}`)))
})

interface StoreFixture { readonly clock: ManualClock, readonly store: MemoryStore }

async function storeCorrupted (key: string, value: string): Promise<StoreFixture> {
  const clock = new ManualClock()
  const store = new MemoryStore(clock)
  await store.put(key, value, { expectedVersion: 0 })
  return { clock, store }
}

async function assertUntouched (t: ExecutionContext, { store }: StoreFixture, key: string, value: string): Promise<void> {
  t.deepEqual(await store.get(key), { key, value, version: 1 })
}

test('a corrupt ownership record causes no takeover, and the record read before is not used in its place', async t => {
  const fixture = await storeCorrupted('ownership/howrah', '{"members":null}')
  const view = new OwnershipView(fixture.store, fixture.clock, 'ownership/howrah')
  for (let attempt = 0; attempt < 2; attempt++) await t.throwsAsync(view.read(), { instanceOf: InputError })
  await t.throwsAsync(view.update(record => ({ ...record, members: ['entry-2/b'] })), { instanceOf: InputError })
  await assertUntouched(t, fixture, 'ownership/howrah', '{"members":null}')
})

test('no claim is made on a corrupt claim segment', async t => {
  const key = 'claim/2/head'
  const fixture = await storeCorrupted(key, '[1,2,["0a"]]')
  const claims = new ClaimLog(fixture)
  const outcomes = claims.claim([{ identity: '0a', holder: 'f' }])
  await fixture.clock.advance(1_000)
  await claims.stop()
  t.deepEqual(await outcomes, ['unavailable'])
  await assertUntouched(t, fixture, key, '[1,2,["0a"]]')
})

test('a corrupt allotment record is left unchanged, and allotments of other teams are still reclaimed', async t => {
  const fixture = await storeCorrupted('allotment/cooks', 'null')
  await fixture.store.put('allotment/weavers', ALLOTMENT, { expectedVersion: 0 })
  const record = { members: ['entry-2/b' as const], targets: {} }
  const entries = new EntryReclaimer(fixture.store, fixture.clock, 'howrah', {
    self: { name: 'entry-2', incarnation: 'b' }, joined: true, record, readRecord: async () => record
  })
  await t.throwsAsync(entries.reclaim(), { instanceOf: InputError })
  t.deepEqual(parseAllotment((await fixture.store.get('allotment/weavers'))?.value).holders, {})
  await assertUntouched(t, fixture, 'allotment/cooks', 'null')
})

const corruptConfigurationRecords: ReadonlyArray<readonly [key: string, value: string]> = [
  ['configuration/change/1', '{}'],
  ['configuration/change/1', '{"id":"c","version":7,"baseVersion":0,"operator":"o","acceptedAt":0,"operations":[]}'],
  ['configuration/change/1', '{"id":"c","version":1,"baseVersion":0,"operator":"o","acceptedAt":0,"operations":[{"type":"newer"}]}'],
  ['configuration/snapshot', '{"version":"9"}'],
  ['configuration/floor', 'x']
]

for (const [key, value] of corruptConfigurationRecords) {
  test(`a corrupt ${key} is neither skipped nor taken for the end of the log: ${value}`, async t => {
    const { clock, store } = await storeCorrupted(key, value)
    const log = new ChangeLog({ store, clock, random: new SeededRandom(1), validate: () => [], mayAccept: () => true })
    await t.throwsAsync(log.load(), { message: /the record configuration\/\S+ (can not be read|is not JSON|holds version)/ })
    t.is(log.version, 0)
    await assertUntouched(t, { clock, store }, key, value)
  })
}

test('a corrupt registry is not replaced by one that lacks its acceptors', async t => {
  const fixture = await storeCorrupted('registry', '[{"ref":{}}]')
  const registry = new AcceptorRegistry(fixture)
  await t.throwsAsync(registry.register({ ref: { name: 'entry-1', incarnation: 'a' }, dataCentre: 'howrah', peerAddress: '127.0.0.1:1' }), { instanceOf: InputError })
  await assertUntouched(t, fixture, 'registry', '[{"ref":{}}]')
})
