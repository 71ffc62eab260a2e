import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import type { ListedInstance } from '../ports/instanceList.ts'
import { MemoryStore } from './testing/memoryStore.ts'
import { createNode } from './testing/testNode.ts'
import type { TestNode } from './testing/testNode.ts'

function acceptorOf ({ ref, dataCentre }: TestNode): { ref: TestNode['ref'], dataCentre: string, peerAddress: string } {
  return { ref, dataCentre, peerAddress: `${ref.name}:1` }
}

function listed (...nodes: readonly TestNode[]): readonly ListedInstance[] {
  return nodes.map(node => ({ ...acceptorOf(node), ...node.ref, region: 'east', leaving: false }))
}

async function createNodes (...names: readonly string[]): Promise<{ clock: ManualClock, store: MemoryStore, nodes: TestNode[] }> {
  const [clock, store] = [new ManualClock(), new MemoryStore()]
  const nodes = names.map(name => createNode(store, clock, name, 'howrah'))
  for (const node of nodes) await node.registry.register(acceptorOf(node))
  return { clock, store, nodes }
}

function names (node: TestNode | undefined): readonly string[] {
  return node?.registry.acceptors.map(({ ref }) => `${ref.name}${ref.incarnation}`).sort() ?? []
}

test('a new instance does not accept changes before the instances registered earlier track it', async t => {
  const { clock, nodes: [first, second] } = await createNodes('a', 'b')
  t.true(first?.registry.mayAccept)
  t.false(second?.registry.mayAccept)
  t.is((await second?.log.submit({ id: 'x', baseVersion: 0, operator: 'eleni', operations: [] }))?.outcome, 'unavailable')
  if (first === undefined || second === undefined) return
  second.registry.noteAcknowledged(first.ref, clock.monotonicMs() - 1)
  t.false(second.registry.mayAccept, 'the acknowledgement was requested before the registration')
  second.registry.noteAcknowledged(first.ref, clock.monotonicMs())
  t.true(second.registry.mayAccept)
  t.true(first.registry.mayAccept, 'an instance that may accept changes does not wait for later ones')
})

test('stale list: a new instance that is not listed yet is not considered gone', async t => {
  const { clock, nodes: [first, second] } = await createNodes('a', 'b')
  if (first === undefined || second === undefined) return
  for (let reading = 0; reading < 10; reading++) {
    first.registry.observeList(listed(first), clock.monotonicMs())
    await first.registry.maintain()
    await clock.advance(5_000)
  }
  first.registry.release(clock.monotonicMs())
  t.deepEqual(names(first), ['b1'])
  first.registry.observeList(listed(first, second), clock.monotonicMs())
  for (const passed of [1, 9_000, 2_000]) {
    await clock.advance(passed)
    first.registry.observeList(listed(first), clock.monotonicMs())
    first.registry.release(Infinity)
    t.deepEqual(names(first), passed === 2_000 ? [] : ['b1'])
  }
  first.registry.acknowledge(acceptorOf(second))
  first.registry.release(Infinity)
  t.true(first.registry.isCounted(second.ref), 'it requested an acknowledgement after the list had wrongly omitted it')
})

test('an acknowledged instance is not considered deregistered because of a registry read from before its registration', async t => {
  const { clock, store, nodes: [first] } = await createNodes('a')
  const second = createNode(store, clock, 'b', 'howrah')
  first?.registry.acknowledge(acceptorOf(second))
  await first?.registry.maintain()
  first?.registry.release(Infinity)
  t.deepEqual(names(first), ['b1'])
})

test('a delayed exchange from an ended incarnation does not keep that incarnation tracked forever', async t => {
  const { clock, store, nodes: [first, second] } = await createNodes('a', 'b')
  if (first === undefined || second === undefined) return
  await first.registry.maintain()
  const successor = createNode(store, clock, 'b', 'howrah', '2')
  await clock.advance(100)
  await successor.registry.register(acceptorOf(successor))
  await first.registry.maintain()
  first.registry.acknowledge(acceptorOf(second))
  for (let reading = 0; reading < 20; reading++) {
    await clock.advance(1_000)
    // The list does not distinguish incarnations, so it still contains the name.
    first.registry.observeList(listed(first, successor).map(({ incarnation: _, ...entry }) => entry), clock.monotonicMs())
    await first.registry.maintain()
    first.registry.release(clock.monotonicMs())
  }
  t.deepEqual(names(first), ['b2'])
})

test('a deregistered instance does not request acknowledgements, which would make others track it again', async t => {
  const { clock, nodes: [first, second] } = await createNodes('a', 'b')
  if (first === undefined || second === undefined) return
  t.true(second.registry.needsAcknowledgement)
  second.registry.noteAcknowledged(first.ref, clock.monotonicMs())
  t.false(second.registry.needsAcknowledgement)
  await second.registry.deregister()
  t.false(second.registry.needsAcknowledgement)
})

test('an ended instance stays tracked until the log has been read after its end', async t => {
  const { clock, nodes: [first, second] } = await createNodes('a', 'b')
  await first?.registry.maintain()
  await clock.advance(100)
  await second?.registry.deregister()
  await first?.registry.maintain()
  first?.registry.release(clock.monotonicMs())
  t.deepEqual(names(first), ['b1'])
  first?.registry.release(clock.monotonicMs() + 1)
  t.deepEqual(names(first), [])
})

test('changes of an instance that deregistered before this one registered are covered only by a later read of the log', async t => {
  const { clock, store, nodes: [first] } = await createNodes('a')
  const second = createNode(store, clock, 'b', 'howrah')
  await second.log.load()
  await first?.log.submit({ id: 'x', baseVersion: 0, operator: 'eleni', operations: [] })
  await first?.registry.deregister()
  await clock.advance(1_000)
  await second.registry.register(acceptorOf(second))
  t.true(second.tracker.ageMs() >= 1_000)
  await clock.advance(1)
  await second.log.refresh()
  t.is(second.tracker.ageMs(), 0)
})

test('lost response to a registration: the instance is registered once and replaces its earlier incarnation', async t => {
  const { clock, store, nodes: [first] } = await createNodes('a', 'b')
  await first?.registry.maintain()
  const restarted = createNode(store, clock, 'b', 'howrah', '2')
  restarted.client.dropsWriteAnswers = true
  await restarted.registry.register(acceptorOf(restarted))
  await clock.advance(1)
  await first?.registry.maintain()
  t.deepEqual(names(first), ['b1', 'b2'])
  first?.registry.release(clock.monotonicMs() + 1)
  t.deepEqual(names(first), ['b2'])
})
