import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import type { InstanceReport } from '../ports/coordinatorPeer.ts'
import { PeerDirectory } from './peerDirectory.ts'

const REPORT: InstanceReport = { instance: 'entry-2', address: 'entry-2:1', region: 'attica', processors: 1, desiredStateVersion: 1, reachesStore: true }

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
