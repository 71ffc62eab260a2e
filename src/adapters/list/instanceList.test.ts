import test from 'ava'
import fc from 'fast-check'
import { InputError } from '../../model/errors.ts'
import type { ListSnapshot } from '../../ports/instanceList.ts'
import { ManualClock } from '../clock/manualClock.ts'
import { HttpInstanceList } from './httpInstanceList.ts'
import { HttpInstanceListServer } from './httpInstanceListServer.ts'
import { parseListSnapshot } from './listSchema.ts'
import { MemoryInstanceList } from './memoryInstanceList.ts'

function createSnapshot (...names: readonly string[]): ListSnapshot {
  const instances = names.map(name => ({ name, dataCentre: 'howrah', region: 'Kolkata', peerAddress: '127.0.0.1:1', leaving: false }))
  return { instances, targets: [] }
}

test('a lagging list does not show a change early, skip one or revert one', async t => {
  const clock = new ManualClock()
  const list = new MemoryInstanceList(clock, createSnapshot('a'), 10_000)
  const shown: string[] = []
  for (const names of [['a', 'b'], ['b'], undefined, undefined, undefined]) {
    if (names !== undefined) list.set(createSnapshot(...names))
    await clock.advance(4_999)
    shown.push((await list.read()).instances.map(({ name }) => name).join('+'))
  }
  t.deepEqual(shown, ['a', 'a', 'a+b', 'b', 'b'])
})

test('an HTTP read returns the served list unchanged, and fails while the platform is unreachable', async t => {
  const memory = new MemoryInstanceList(new ManualClock(), createSnapshot('a', 'b'))
  const server = new HttpInstanceListServer(memory, '127.0.0.1:0')
  await server.start()
  const list = new HttpInstanceList({ address: server.address })
  t.teardown(async () => {
    await list.stop()
    await server.stop()
  })
  t.deepEqual(await list.read(), createSnapshot('a', 'b'))
  memory.available = false
  await t.throwsAsync(list.read(), { message: /503/ })
  await server.stop()
  await t.throwsAsync(list.read())
})

test('a list with a bad entry is refused with its place', t => {
  t.throws(() => parseListSnapshot({ instances: [{ name: '' }], targets: [] }, 'list.json'), { message: /list\.json: [^]*instances\[0\]\.name/ })
})

const listedTarget = {
  id: 'r-1',
  type: 'runner',
  address: '127.0.0.1:1',
  dataCentre: 'howrah',
  region: 'Kolkata',
  rack: '',
  capacity: { slots: 8 },
  connections: 64,
  features: { fencing: true, startBy: true, inventory: true, checkpoint: true, remembersEnded: true },
  leaving: false
}

test('parsing a list keeps the feature remembersEnded of a target, on which the verdict not-run depends', t => {
  t.true(parseListSnapshot({ instances: [], targets: [listedTarget] }, 'the list').targets[0]?.features.remembersEnded)
})

test('no list with an amount that would corrupt placement is accepted, and every rejection has a message', t => {
  const value = fc.oneof(fc.jsonValue(), fc.constantFrom(-1, 1e308, NaN, Infinity, '', null))
  const targets = fc.array(fc.constantFrom('capacity', 'connections', 'id', 'features').chain(name =>
    value.map(value => ({ ...listedTarget, [name]: name === 'capacity' ? { slots: value } : value }))), { maxLength: 2 })
  const lists = fc.oneof(
    { arbitrary: targets.map(targets => ({ instances: [], targets })), weight: 4 },
    fc.record({ instances: fc.jsonValue(), targets: fc.jsonValue() }), fc.jsonValue())
  let accepted = 0
  fc.assert(fc.property(lists, list => {
    try {
      for (const { id, capacity, connections } of parseListSnapshot(list, 'the list').targets) {
        accepted++
        t.true(id !== '' && connections > 0 && Object.values(capacity).every(amount => amount >= 0 && amount <= Number.MAX_SAFE_INTEGER))
      }
    } catch (error) {
      t.true(error instanceof InputError && error.message.startsWith('the list'), String(error))
    }
  }), { seed: 72, numRuns: 1_000 })
  t.true(accepted > 0)
})
