import test from 'ava'
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

test('a list with a lag does not show a change early, skip one or turn back', async t => {
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

test('an HTTP read does not differ from the list behind it, and fails while the platform is cut off', async t => {
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
