import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import type { InstanceReport } from '../ports/coordinatorPeer.ts'
import { PeerDirectory } from './peerDirectory.ts'

const REPORT: InstanceReport = { instance: 'entry-2', address: 'entry-2:1', region: 'attica', processors: 1, peersDigest: '', reachesStore: true }

test('a peer that does not report, or is known only through others, is not alive and is removed after a minute', async t => {
  const clock = new ManualClock()
  const peers = new PeerDirectory(clock)
  peers.addAddresses(['entry-3:1'])
  peers.recordReport(REPORT)
  t.deepEqual(peers.alive.map(({ instance }) => instance), ['entry-2'])
  await clock.advance(1_500)
  t.deepEqual(peers.alive, [])
  t.deepEqual(peers.addresses, ['entry-3:1', 'entry-2:1'])
  await clock.advance(58_000)
  peers.evictSilent()
  t.deepEqual(peers.addresses, ['entry-2:1'])
  peers.addAddresses(['entry-2:1'])
  await clock.advance(2_000)
  peers.evictSilent()
  t.deepEqual(peers.addresses, [], 'an address from another instance does not extend the time until a peer is removed')
})

test('the digest changes with the set of addresses only, so that an unchanged set is not sent again with each report', async t => {
  const clock = new ManualClock()
  const peers = new PeerDirectory(clock)
  const empty = peers.digest
  t.true(peers.recordReport(REPORT), 'a new peer')
  const one = peers.digest
  t.not(one, empty)
  t.false(peers.recordReport(REPORT), 'an unchanged report')
  t.is(peers.digest, one)
  t.true(peers.recordReport({ ...REPORT, processors: 2 }), 'a peer with other processors')
  await clock.advance(2_000)
  t.true(peers.recordReport(REPORT), 'a peer that is alive again')
  peers.addAddresses(['entry-3:1'])
  t.not(peers.digest, one)
  await clock.advance(59_000)
  peers.recordReport(REPORT)
  t.true(peers.evictSilent())
  t.is(peers.digest, one)
})
