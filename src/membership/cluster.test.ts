import test from 'ava'
import type { ExecutionContext } from 'ava'
import { KeyRing, createKey } from '../configuration/keys.ts'
import { summarizeConfirmations } from '../configuration/confirmations.ts'
import { Cluster, KEY_GRACE_MS } from './testing/cluster.ts'
import type { ClusterNode } from './testing/cluster.ts'

const SIZES = { 'attica-a': 3, 'attica-b': 2, 'macedonia-a': 2 }

async function startCluster (t: ExecutionContext, sizes: Readonly<Record<string, number>> = SIZES): Promise<Cluster> {
  const cluster = new Cluster()
  await cluster.start(sizes)
  t.teardown(() => cluster.stopAll())
  t.true(cluster.nodes.every(node => node.registry.mayAccept))
  return cluster
}

function isFresh (node: ClusterNode): boolean {
  return node.tracker.ageMs() <= KEY_GRACE_MS
}

function oldestAgeMs (nodes: readonly ClusterNode[]): number {
  return Math.max(...nodes.map(node => node.tracker.ageMs()))
}

test('a store outage does not stop keyed work while all instances can reach each other', async t => {
  const cluster = await startCluster(t)
  cluster.setStoreDown(true)
  let maxAgeMs = 0
  await cluster.advanceAndCheck(60_000, () => { maxAgeMs = Math.max(maxAgeMs, oldestAgeMs(cluster.nodes)) })
  t.true(maxAgeMs <= KEY_GRACE_MS, `oldest configuration: ${maxAgeMs} ms`)
  t.log(`oldest configuration in the outage: ${maxAgeMs} ms`)
})

test('a store outage with one partitioned instance stops keyed work everywhere after the grace period', async t => {
  const cluster = await startCluster(t, { 'attica-a': 2, 'attica-b': 1 })
  cluster.setStoreDown(true)
  cluster.setPartitioned('attica-b', true)
  cluster.setStoreDown(true)
  await cluster.clock.advance(KEY_GRACE_MS + 1)
  t.false(cluster.nodes.some(isFresh))
  cluster.setPartitioned('attica-b', false)
  cluster.setStoreDown(true)
  await cluster.clock.advance(4_000)
  t.true(cluster.nodes.every(isFresh))
})

test('after an instance stops in a store outage, the others are not fresh until they have read the change that it accepted last', async t => {
  const cluster = await startCluster(t, { 'attica-a': 3 })
  const [dying, ...others] = cluster.nodes as [ClusterNode, ...ClusterNode[]]
  const submitted = dying.log.submit({ id: 'last', baseVersion: 0, operator: 'eleni', operations: [{ type: 'drain', scope: 'target', name: 't1' }] })
  t.is((await submitted).outcome, 'accepted')
  await cluster.stop(dying)
  cluster.setStoreDown(true)
  await cluster.clock.advance(KEY_GRACE_MS + 1)
  await cluster.advanceAndCheck(60_000, () => t.false(others.some(isFresh)))
  cluster.setStoreDown(false)
  await cluster.clock.advance(3_000)
  t.true(others.every(node => isFresh(node) && node.log.version === 1))
  await cluster.clock.advance(30_000)
  t.is(others[0]?.registry.acceptors.length, 1)
})

test('a partitioned data centre stops keyed work after the grace period; the others continue', async t => {
  const cluster = await startCluster(t)
  cluster.setPartitioned('macedonia-a', true)
  await cluster.clock.advance(KEY_GRACE_MS + 1)
  await cluster.advanceAndCheck(20_000, () => {
    for (const node of cluster.nodes) t.is(isFresh(node), node.dataCentre !== 'macedonia-a')
  })
  cluster.setPartitioned('macedonia-a', false)
  await cluster.clock.advance(4_000)
  t.true(cluster.nodes.every(isFresh))
})

test('a key withdrawn during a partition of a data centre is accepted nowhere after the grace period', async t => {
  const cluster = await startCluster(t)
  const [accepting] = cluster.nodes as [ClusterNode]
  const { key, keyId, hash } = createKey()
  const rings = new Map<ClusterNode, KeyRing>()
  for (const node of cluster.nodes) node.log.onChange(state => rings.set(node, new KeyRing(state.keys.values())))
  const isKeyAccepted = (node: ClusterNode): boolean => isFresh(node) && rings.get(node)?.authenticate(key)?.team === 'weavers'
  const draft = { baseVersion: 0, operator: 'eleni' }
  await accepting.log.submit({ ...draft, id: 'create', operations: [{ type: 'createKey', keyId, hash, team: 'weavers' }] })
  await cluster.clock.advance(4_000)
  t.true(cluster.nodes.every(isKeyAccepted))
  cluster.setPartitioned('macedonia-a', true)
  await accepting.log.submit({ ...draft, baseVersion: 1, id: 'withdraw', operations: [{ type: 'withdrawKey', keyId }] })
  const accepted = { version: 2, acceptedAtWallMs: cluster.clock.wallMs(), keyGraceMs: KEY_GRACE_MS }
  await cluster.clock.advance(KEY_GRACE_MS + 1)
  const { unconfirmed, refusesFromWallMs } = summarizeConfirmations(accepted, accepting.table.digests())
  t.deepEqual(unconfirmed, ['macedonia-a'])
  t.true((refusesFromWallMs ?? 0) < cluster.clock.wallMs())
  await cluster.advanceAndCheck(5_000, () => t.false(cluster.nodes.some(isKeyAccepted)))
  cluster.setPartitioned('macedonia-a', false)
  await cluster.advanceAndCheck(5_000, () => t.false(cluster.nodes.some(isKeyAccepted)))
  t.true(cluster.nodes.every(node => isFresh(node) && node.log.version === 2))
  t.deepEqual(summarizeConfirmations(accepted, accepting.table.digests()).unconfirmed, [])
})

test('an instance that resumes after a pause neither uses its stale configuration nor suspects its peers', async t => {
  const cluster = await startCluster(t, { 'attica-a': 3 })
  const [paused, other] = cluster.nodes as [ClusterNode, ClusterNode]
  cluster.pause(paused)
  await cluster.clock.advance(4_500)
  t.true(other.table.isSuspected(paused.ref))
  await cluster.clock.advance(5_500)
  t.false(isFresh(paused))
  t.false(paused.table.isSuspected(other.ref))
  paused.pauseGate.resume()
  await cluster.clock.settle()
  t.false(paused.table.isSuspected(other.ref))
  await cluster.clock.advance(2_500)
  t.true(isFresh(paused))
  t.false(other.table.isSuspected(paused.ref))
  t.is(paused.table.inDataCentre('attica-a').length, 3)
})

test('two instances of a data centre that can not reach only each other are not suspected and stay fresh without the store', async t => {
  const cluster = await startCluster(t, { 'attica-a': 3, 'macedonia-a': 1 })
  const [first, second, third] = cluster.nodes as [ClusterNode, ClusterNode, ClusterNode]
  const others = [third.ref.name, 'macedonia-a-0']
  first.reachable = new Set([first.ref.name, ...others])
  second.reachable = new Set([second.ref.name, ...others])
  cluster.setStoreDown(true)
  await cluster.advanceAndCheck(30_000, () => {
    t.false(first.table.isSuspected(second.ref) || second.table.isSuspected(first.ref))
    t.true(isFresh(first) && isFresh(second))
  })
})

test('a change reaches every instance through its peers, with few reads of the store', async t => {
  const cluster = await startCluster(t)
  const calls = (): number => cluster.nodes.reduce((sum, node) => sum + node.client.calls, 0)
  const before = calls()
  await cluster.clock.advance(60_000)
  const callsPerSecond = (calls() - before) / 60
  t.true(callsPerSecond < 6)
  t.log(`${callsPerSecond} store calls/s`)
  const [accepting] = cluster.nodes as [ClusterNode]
  const operations = [{ type: 'set', path: '/', values: { share: 2 } }] as const
  t.is((await accepting.log.submit({ id: 'a', baseVersion: 0, operator: 'eleni', operations })).outcome, 'accepted')
  cluster.setStoreDown(true)
  await cluster.clock.advance(KEY_GRACE_MS)
  t.true(cluster.nodes.every(node => node.log.version === 1))
})
