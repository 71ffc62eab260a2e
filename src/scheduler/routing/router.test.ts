import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { SeededRandom } from '../../adapters/random/seededRandom.ts'
import { NO_RESOURCES, resources } from '../../model/resources.ts'
import type { InstanceDigest } from '../../model/digest.ts'
import { chooseInstance, CrossRegionBudget, HOP_ACROSS_REGIONS, HOP_INSIDE_REGION } from './router.ts'
import type { LocalView, RoutingRequest } from './router.ts'

const room = resources({ slots: 8 })
const request: RoutingRequest = { team: 'a', size: resources({ slots: 2 }), tasks: 1, bytes: 600, hops: 0 }
const local: LocalView = {
  ref: { name: 'self', incarnation: '1' }, dataCentre: 'd1', region: 'r1', fitsNow: false, mayWait: true, waitMs: 10_000
}

function describePeer (name: string, dataCentre: string, region: string, changes: Partial<InstanceDigest> = {}): InstanceDigest {
  return {
    ref: { name, incarnation: '1' },
    dataCentre,
    region,
    peerAddress: '',
    state: 'serving',
    configurationVersion: 1,
    heardAge: 0,
    free: room,
    largestFree: room,
    queued: 0,
    teams: [],
    ...changes
  }
}

const near = describePeer('near', 'd1', 'r1')
const region = describePeer('region', 'd2', 'r1')
const remote = describePeer('remote', 'd3', 'r2')

function createRoute (): (digests: readonly InstanceDigest[], changes?: Partial<RoutingRequest>, view?: Partial<LocalView>) => string {
  const random = new SeededRandom(3)
  const budget = new CrossRegionBudget(new ManualClock(), () => ({ bytesPerSecond: 100, burstBytes: 1_000 }))
  return (digests, changes = {}, view = {}) => {
    const route = chooseInstance({ ...request, ...changes }, { ...local, ...view }, digests,
      { random, budget, crossRegionRoundTripMs: 40, crossRegionWaitMs: 500 })
    return route.destination === 'peer' ? `${route.instance.ref.name} ${route.hops}` : route.destination
  }
}

test('a request is forwarded no further than necessary', t => {
  const route = createRoute()
  t.is(route([remote, region, near], {}, { fitsNow: true }), 'local')
  t.is(route([remote, region, near]), 'near 1')
  t.is(route([remote, region, { ...near, free: NO_RESOURCES, largestFree: NO_RESOURCES }]), 'region 1')
  t.is(route([remote], {}, { waitMs: 540 }), 'local')
  t.is(route([remote], {}, { waitMs: 541 }), 'remote 2')
})

test('a team does not exceed its byte budget on the link between regions', t => {
  const route = createRoute()
  t.is(route([remote]), 'remote 2')
  t.is(route([remote]), 'local')
  t.is(route([remote], { team: 'b' }), 'remote 2')
})

test('a request is not forwarded twice within a region or twice across regions', t => {
  const route = createRoute()
  t.is(route([near, region, remote], { hops: HOP_INSIDE_REGION }), 'remote 3')
  t.is(route([near, remote], { hops: HOP_ACROSS_REGIONS }), 'near 3')
  t.is(route([near, region, remote], { hops: HOP_INSIDE_REGION | HOP_ACROSS_REGIONS }), 'local')
  t.is(route([near], { hops: 3 }, { mayWait: false }), 'none')
})

test('a request is not sent to an instance that is draining, has an outdated digest, refused it or lacks capacity', t => {
  const route = createRoute()
  t.is(route([{ ...near, state: 'draining' }]), 'local')
  t.is(route([{ ...near, heardAge: 4_001 }]), 'local')
  t.is(route([near], { excluded: new Set(['near']) }), 'local')
  t.is(route([near], { tasks: 5 }), 'local')
  t.is(route([{ ...near, largestFree: resources({ slots: 1 }) }]), 'local')
  t.is(route([{ ...near, free: NO_RESOURCES, largestFree: NO_RESOURCES }], {}, { mayWait: false }), 'near 1')
})

test('requests do not all go to the least loaded instance, and rarely to the most loaded', t => {
  const route = createRoute()
  const peers = [0, 5, 50].map(queued => describePeer(`q${queued}`, 'd1', 'r1', { queued }))
  const chosen = Array.from({ length: 300 }, () => route(peers))
  t.is(chosen.filter(name => name === 'q50 1').length, 0)
  t.true(chosen.filter(name => name === 'q5 1').length > 50)
})

test('responses from another region are charged, and the budget refills to at most its burst', async t => {
  const clock = new ManualClock()
  const budget = new CrossRegionBudget(clock, () => ({ bytesPerSecond: 100, burstBytes: 1_000 }))
  budget.record('a', 1_500)
  await clock.advance(5_500)
  t.true(budget.tryTake('a', 50))
  t.false(budget.tryTake('a', 1))
  await clock.advance(60_000)
  t.is(budget.available('a'), 1_000)
  t.is(budget.totalBytes('a'), 1_550)
})
