import { setMaxListeners } from 'node:events'
import test from 'ava'
import type { InstanceDigest } from '../../model/digest.ts'
import type { RefusalError } from '../../model/errors.ts'
import type { KindName } from '../../model/request.ts'
import { resources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import { CrossRegionBudget, HOP_ACROSS_REGIONS } from '../../scheduler/routing/router.ts'
import { LocalSchedulerHarness } from '../testing/localSchedulerHarness.ts'
import { WaitingRerouter } from './waitingRerouter.ts'

const REGION = 'Kolkata'
const OTHER_REGION = 'Mumbai'
const NEVER_ABORTED = new AbortController().signal
const QUEUE_ENTRIES = 2_000
setMaxListeners(0, NEVER_ABORTED)

function createPeer (name: string, region: string, slots: number, change: Partial<InstanceDigest> = {}): InstanceDigest {
  return {
    ref: { name, incarnation: 'a' },
    dataCentre: `${region}-1`,
    region,
    peerAddress: `${name}:1`,
    state: 'serving',
    configurationVersion: 1,
    heardAge: 0,
    free: resources({ slots }),
    largestFree: resources({ slots }),
    queued: 0,
    teams: [],
    ...change
  }
}

/** An instance whose targets are full, so that every request waits. */
class FullInstance {
  readonly harness = new LocalSchedulerHarness({ queueEntries: QUEUE_ENTRIES })
  readonly results = new Map<string, string>()
  peers: readonly InstanceDigest[] = []
  bytesPerSecond = 250_000
  readonly #rerouter: WaitingRerouter

  constructor (peers: readonly InstanceDigest[]) {
    this.peers = peers
    const { clock, placements } = this.harness
    this.#rerouter = new WaitingRerouter({
      clock,
      placements,
      location: { dataCentre: 'howrah', region: REGION },
      allotments: { mayFitElsewhere: () => false },
      settings: { find: (_team, kind) => ({ crossRegionWaitMs: kind === 'urgent' ? 50 : 500 }) },
      budget: new CrossRegionBudget(clock, () => ({ bytesPerSecond: this.bytesPerSecond, burstBytes: this.bytesPerSecond })),
      peers: () => this.peers
    })
    this.add('running', { slots: 2 })
  }

  /** The IDs of the refused requests, in the order of their refusals. */
  get refused (): readonly string[] {
    return [...this.results].flatMap(([id, result]) => result === 'placed' ? [] : [id])
  }

  add (id: string, { hops = 0, kind = 'batch' as KindName, slots = 1, bytes = 10 } = {}): void {
    const request = { team: 'cooks', requestId: id, kind, size: resources({ slots }), taskIds: [id], deadlineAt: 1e6, bytes, repeatable: true, hops }
    this.harness.placements.wait(request, NEVER_ABORTED).then(
      () => { this.results.set(id, 'placed') },
      ({ code, verdict, retryable }: RefusalError) => { this.results.set(id, `${code} ${verdict}${retryable ? ' retryable' : ''}`) })
  }

  /** Advances the clock and makes a pass every 250 ms as the instance does, the last one at the end. */
  async pass (durationMs: number): Promise<void> {
    for (let left = durationMs; left > 0; left -= 250) {
      await this.harness.clock.advance(Math.min(250, left))
      this.#rerouter.run()
    }
    await this.harness.clock.advance(0)
  }
}

// Guards against requests that wait at a full instance, to which an outdated digest sent them, while targets of their
// own region are free.
test('a request from another region is returned when an instance there has capacity', async t => {
  const instance = new FullInstance([createPeer('full', REGION, 0), createPeer('free', OTHER_REGION, 1)])
  for (const id of ['first', 'second']) instance.add(id, { hops: HOP_ACROSS_REGIONS })
  await instance.pass(500)
  t.deepEqual(instance.refused, [], 'crossRegionWait has not passed')
  await instance.pass(250)
  t.deepEqual(instance.refused, ['first'], 'the other instance has capacity for one request')
  t.is(instance.results.get('first'), 'no-capacity not-run retryable')
  instance.harness.placements.release('running')
  await instance.pass(250)
  t.is(instance.results.get('second'), 'placed')
  t.deepEqual(instance.harness.held, ['second', 'second', '1 slots', 'share'], 'the returned request is not run here as well')
})

// Guards against use of the link between regions before its settings allow it.
test('a request of this region is offered to another region only after crossRegionWait and within the byte budget', async t => {
  const instance = new FullInstance([createPeer('free', OTHER_REGION, 10)])
  const add = (id: string, kind: KindName, bytes: number): void => { instance.add(id, { kind, bytes }) }
  add('urgent', 'urgent', 10)
  add('batch', 'batch', 10)
  add('large', 'batch', 200_000)
  add('too large', 'batch', 200_000)
  await instance.pass(250)
  t.deepEqual(instance.refused, ['urgent'])
  await instance.pass(500)
  t.deepEqual(instance.refused, ['urgent', 'batch', 'large'], 'the budget covers one large request in a pass')
  const confined = new FullInstance([createPeer('free', OTHER_REGION, 10)])
  confined.bytesPerSecond = 0
  confined.add('confined')
  await confined.pass(2_000)
  t.deepEqual(confined.refused, [], 'a budget of 0 keeps work in the region')
  confined.add('returning', { hops: HOP_ACROSS_REGIONS })
  await confined.pass(1_000)
  t.deepEqual(confined.refused, ['returning'], 'a return to the region of the caller sends no request')
})

test('capacity of the region is used before that of another region', async t => {
  const instance = new FullInstance([createPeer('far', OTHER_REGION, 1), createPeer('near', REGION, 1)])
  for (const id of ['first', 'second', 'third']) instance.add(id)
  await instance.pass(250)
  t.deepEqual(instance.refused, ['first'], 'the capacity in the region needs no longer wait')
  instance.peers = [createPeer('far', OTHER_REGION, 1)]
  await instance.pass(500)
  t.deepEqual(instance.refused, ['first', 'second'], 'the other capacity was not reserved by the first request')
})

// Digests of other regions may be several seconds old; without lasting reservations, every pass would send further
// requests to the same free slots.
test('capacity of another region is not offered again until a newer digest can have arrived', async t => {
  const instance = new FullInstance([createPeer('free', OTHER_REGION, 2), createPeer('silent', OTHER_REGION, 100, { heardAge: 15_001 })])
  for (let index = 0; index < 10; index++) instance.add(`q-${index}`, { hops: HOP_ACROSS_REGIONS })
  await instance.pass(750)
  t.is(instance.refused.length, 2)
  await instance.pass(4_500)
  t.is(instance.refused.length, 2)
  await instance.pass(1_000)
  t.is(instance.refused.length, 4)
})

// Guards against a pass that compares each waiting request with each instance: 100,000 comparisons at this size.
test('a pass over 2,000 waiting requests of one size looks only once at each instance without room', async t => {
  let reads = 0
  const largestFree: Resources = { ...resources({}), get slots () { reads++; return 0 } }
  const instance = new FullInstance(Array.from({ length: 50 }, (_, index) =>
    createPeer(`full-${index}`, index % 2 === 0 ? REGION : OTHER_REGION, 0, { free: resources({}), largestFree })))
  for (let index = 0; index < QUEUE_ENTRIES; index++) instance.add(`q-${index}`)
  t.is(instance.harness.placements.length, QUEUE_ENTRIES)
  await instance.pass(750)
  reads = 0
  await instance.pass(250)
  t.true(reads > 0 && reads <= 100, `${reads} reads`)
  t.deepEqual(instance.refused, [])
})
