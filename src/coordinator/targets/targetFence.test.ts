import test from 'ava'
import { TargetFence } from './targetFence.ts'

// Guards against a start of the earlier incarnation that the next one executes after a start of its own session, and that extends its leases.
test('a start to the next incarnation has a higher token than the starts to the earlier one', t => {
  let revision = 10
  const fence = new TargetFence(10, () => revision)
  fence.tokenForRenewal()
  revision = 11
  const earlier = fence.tokenForStart()
  fence.raiseBeforeNextRequest()
  revision = 12
  t.is(earlier, 11)
  t.is(fence.tokenForStart(), 12)
})

// Guards against a start with a token that the earlier incarnation's requests have, since the coordinator has not written to the store.
test('a start waits for a token that is higher than those of the earlier incarnation', t => {
  let revision = 11
  const fence = new TargetFence(10, () => revision)
  t.is(fence.tokenForStart(), 10)
  fence.raiseBeforeNextRequest()
  t.is(fence.tokenForStart(), 11)
  fence.raiseBeforeNextRequest()
  t.is(fence.tokenForStart(), undefined)
  revision = 12
  t.is(fence.tokenForStart(), 12)
})
