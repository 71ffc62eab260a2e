import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { TargetContact } from './targetContact.ts'
import { TargetLease } from './targetLease.ts'

const LEASE_MS = 9_500

// Guards against runs that outlast the leases which a successor counts on: the coordinator was paused after the check of its authority.
test('a lease ends at most its duration after the coordinator was known to have authority', t => {
  const clock = new ManualClock()
  const contact = new TargetContact(clock)
  contact.recordReport(clock.monotonicMs(), 0, clock.monotonicMs())
  const checkedMs = clock.monotonicMs()
  const hasAuthority = (): boolean => {
    clock.pause(1_000)
    return true
  }
  const lease = new TargetLease({ clock, leaseMs: LEASE_MS, hasAuthority, isReplaced: () => false, priorLeasesExtendedUntilMs: -Infinity }, contact)
  t.is(lease.extend(), checkedMs + LEASE_MS)
})
