import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { resources } from '../../model/resources.ts'
import { createLogger } from '../../observability/logger.ts'
import type { JobTargetClient, RenewOrder, RunningTask, TargetIncarnation } from '../../ports/jobTarget.ts'
import type { ListedTarget } from '../../ports/targetDirectory.ts'
import { Evacuations } from './evacuations.ts'
import { TargetFleet } from './targetFleet.ts'
import type { TargetSession } from './targetSession.ts'

const ELECTION_REVISION = 10

function listIncarnation (bornMs: number): ListedTarget {
  return { id: 'worker-1', bornMs, address: '', service: 'renders', dataCentre: 'a', capacity: resources({ processors: 1_000, memory: 1_000 }), labels: [], draining: false }
}

interface Renewal {
  readonly atMs: number
  readonly order: RenewOrder
}

/** One target in all of its incarnations. */
class FakeTarget {
  readonly #clock: ManualClock
  bornMs = 1
  running: readonly RunningTask[] = []
  /** Renewals that were sent, by the incarnation that they were meant for. */
  readonly renewals = new Map<number, Renewal[]>()
  /** Incarnations whose sessions get no answer, and after which time they notice. */
  readonly unansweredMs = new Map<number, number>()
  /** Incarnations whose reports arrive late, and how much. */
  readonly reportDelayMs = new Map<number, number>()
  stopAnswer: Promise<void> = Promise.resolve()
  #fencingToken = 0

  constructor (clock: ManualClock) {
    this.#clock = clock
  }

  restart (bornMs = this.bornMs + 1): void {
    this.bornMs = bornMs
    this.#fencingToken = 0
    this.running = []
  }

  accepts (token: number): boolean {
    if (token < this.#fencingToken) return false
    this.#fencingToken = token
    return true
  }

  connect ({ bornMs }: TargetIncarnation): JobTargetClient {
    const clock = this.#clock
    return {
      start: async () => ({ outcome: 'started', clockMs: 0 }),
      stop: async ({ fencingToken }) => {
        await this.stopAnswer
        return this.accepts(fencingToken) ? 'stopping' : 'fenced'
      },
      renew: async order => {
        this.renewals.set(bornMs, [...this.renewals.get(bornMs) ?? [], { atMs: clock.monotonicMs(), order }])
        await clock.sleep(20)
        const unansweredMs = this.unansweredMs.get(bornMs)
        if (unansweredMs !== undefined) return await clock.sleep(unansweredMs).then(() => ({ outcome: 'failed', message: 'no answer' }))
        if (!this.accepts(order.fencingToken)) return { outcome: 'fenced' }
        await clock.sleep(order.waitMs)
        const report = { bornMs: this.bornMs, clockMs: clock.monotonicMs(), running: this.running, finished: [], mayOmitFinished: false }
        await clock.sleep(this.reportDelayMs.get(bornMs) ?? 0)
        return { outcome: 'report', report }
      },
      close: async () => {}
    }
  }
}

async function startFleet (firstBornMs = 1) {
  const clock = new ManualClock()
  const target = new FakeTarget(clock)
  target.bornMs = firstBornMs
  const events: string[] = []
  const lines: string[] = []
  const logger = createLogger({ level: 'info', instance: 'test', dataCentre: 'test', secrets: [], destination: { write: line => lines.push(line) } })
  let listed: readonly ListedTarget[] = [listIncarnation(firstBornMs)]
  let revision = ELECTION_REVISION
  const fleet: TargetFleet = new TargetFleet({
    clock,
    logger,
    connect: (_address, incarnation) => target.connect(incarnation),
    directory: { list: async () => listed },
    listener: {
      runEnded: async () => {},
      runLost: () => {},
      runHeld: () => {},
      startRefused: () => {},
      startConfirmed: () => {},
      runBegun: () => {},
      startUnanswered: () => {},
      targetCrashed: async () => {},
      reported: session => fleet.endEarlierIncarnations(session),
      joined: session => {
        fleet.markRecorded(session)
        revision += 1
      },
      incarnationEnded: (session: TargetSession, reason) => {
        events.push(`${session.description.bornMs} ended: ${reason}`)
        fleet.remove(session)
      },
      fenced: () => { events.push('fenced') },
      stateChanged: () => {},
      sizeOfRun: () => undefined
    },
    fencingToken: ELECTION_REVISION,
    latestRevision: () => revision,
    targetLeaseMs: 9_500,
    hasAuthority: () => true,
    evacuations: () => Evacuations.NONE,
    termStartedAtMs: 0
  })
  await fleet.start()
  await clock.advance(1_000)
  const findLine = (message: string): Record<string, unknown> | undefined => lines.map(line => JSON.parse(line)).find(({ msg }) => msg === message)
  return { clock, target, fleet, events, findLine, list: (...bornMs: readonly number[]) => { listed = bornMs.map(listIncarnation) } }
}

// Guards against calls of an earlier incarnation that its next one executes.
test('restarted targets: the first request to the next incarnation has a higher token than all to the earlier one', async t => {
  const { clock, target, events, list } = await startFleet()
  target.unansweredMs.set(1, 2_000)
  list(2)
  target.restart()
  await clock.advance(600)
  const tokens = (bornMs: number): readonly number[] => target.renewals.get(bornMs)?.map(({ order }) => order.fencingToken) ?? []
  t.true((tokens(2)[0] ?? 0) > Math.max(...tokens(1).slice(0, -1)))
  t.is(tokens(1)[0], ELECTION_REVISION)
  target.unansweredMs.clear()
  await clock.advance(3_000)
  t.deepEqual(events, ['1 ended: restarted'], 'the earlier session uses the higher token, too')
})

// Guards against leases in the time of another clock: a report of the earlier incarnation arrives after the next one has reported.
test('restarted targets: the session of an earlier incarnation ends when a later one has reported', async t => {
  const { clock, target, events, list } = await startFleet()
  target.reportDelayMs.set(1, 700)
  await clock.advance(2_500)
  const { atMs: requestedMs, order } = target.renewals.get(1)?.at(-1) as Renewal
  await clock.advance(requestedMs + order.waitMs + 30 - clock.monotonicMs())
  target.restart()
  list(2)
  await clock.advance(600)
  const joinedMs = clock.monotonicMs()
  await clock.advance(2_000)
  t.deepEqual(events, ['1 ended: restarted'])
  t.true(target.renewals.has(2))
  t.deepEqual(target.renewals.get(1)?.filter(({ atMs, order }) => atMs > joinedMs && order.leaseUntilTargetMs !== undefined), [])
})

// Guards against a target without work for as long as its earlier incarnation has a session, since incarnations were ordered by the times at which they started.
test('restarted targets: the session of an earlier incarnation ends although the wall clock of the later one was set back', async t => {
  const { clock, target, fleet, events, list } = await startFleet(9)
  target.reportDelayMs.set(9, 700)
  await clock.advance(2_500)
  const { atMs: requestedMs, order } = target.renewals.get(9)?.at(-1) as Renewal
  await clock.advance(requestedMs + order.waitMs + 30 - clock.monotonicMs())
  target.restart(4)
  list(4)
  await clock.advance(600)
  t.deepEqual([events, fleet.usable.map(({ description }) => description.bornMs)], [['9 ended: restarted'], [4]])
  await clock.advance(2_000)
  t.deepEqual([events, fleet.usable.map(({ description }) => description.bornMs)], [['9 ended: restarted'], [4]], 'a report of the earlier incarnation has arrived')
})

// Guards against a report of one incarnation in the session of another, or two open sessions of a target, without a trace in the log.
test('restarted targets: the log names the open sessions of a target, and the report that arrives in an ended one', async t => {
  const { clock, target, findLine, list } = await startFleet()
  target.reportDelayMs.set(1, 700)
  await clock.advance(2_500)
  const { atMs: requestedMs, order } = target.renewals.get(1)?.at(-1) as Renewal
  await clock.advance(requestedMs + order.waitMs + 30 - clock.monotonicMs())
  target.restart()
  list(2)
  await clock.advance(2_600)
  t.like(findLine('opening another session of a target'), { target: 'worker-1', bornMs: 2, listedBornMs: [2], open: [{ bornMs: 1, joined: true, runs: 0 }] })
  t.like(findLine('target incarnation ended'), { bornMs: 1, reason: 'restarted', shownBy: 'other-session' })
  t.like(findLine('ignoring a report in the session of an ended target incarnation'), { target: 'worker-1', bornMs: 1, endedBornMs: 1 })
})

// Guards against leases in the time of another clock, after the session of the next incarnation has failed and is opened again.
test('restarted targets: the session of an earlier incarnation gives no leases while a later one is listed and does not answer', async t => {
  const { clock, target, list } = await startFleet()
  target.unansweredMs.set(1, 0)
  target.unansweredMs.set(2, 0)
  list(2)
  const listedMs = clock.monotonicMs() + 500
  await clock.advance(2_000)
  const later = target.renewals.get(1)?.filter(({ atMs }) => atMs > listedMs) ?? []
  t.true(later.length > 0)
  t.deepEqual(later.filter(({ order }) => order.leaseUntilTargetMs !== undefined), [])
})

// Guards against an end of the term, and of the runs of a healthy target, because of an entry that is wrong.
test('the leases of a target are extended while the list shows a later incarnation that does not exist', async t => {
  const { clock, target, events, list } = await startFleet()
  list(1, 9)
  await clock.advance(12_000)
  const extended = target.renewals.get(1)?.filter(({ order }) => order.leaseUntilTargetMs !== undefined).map(({ atMs }) => atMs) ?? []
  t.true(Math.max(...extended.slice(1).map((atMs, index) => atMs - (extended[index] ?? 0))) < 3_000)
  t.false(events.includes('fenced'))
})

// Guards against runs that are given up on a healthy target whose reports do not name it, which count as failed renewals, because of an entry that is wrong.
test('reports that name no incarnation do not end the session of an earlier one', async t => {
  const { clock, target, events, list } = await startFleet()
  target.unansweredMs.set(1, 0)
  target.unansweredMs.set(9, 0)
  list(1, 9)
  await clock.advance(3_000)
  t.true(target.renewals.has(9))
  // The session of the incarnation that does not exist has extended no lease, and ends at the first failure.
  t.deepEqual(events.filter(event => !event.startsWith('9 ')), [])
})

// Guards against an instance that resigns because of a stop that it sent itself, to an incarnation that has ended.
test('a stop of an ended session that the next incarnation refuses does not end the term', async t => {
  const { clock, target, events, list } = await startFleet()
  let deliver: () => void = () => {}
  target.stopAnswer = new Promise(resolve => { deliver = resolve })
  target.running = [{ task: 'x.0.0.0', attempt: 1, checkpoint: '', percent: 0 }]
  await clock.advance(1_100)
  target.restart()
  list()
  await clock.advance(200)
  list(2)
  await clock.advance(600)
  t.deepEqual(events, ['1 ended: restarted'])
  deliver()
  await clock.advance(100)
  t.false(events.includes('fenced'))
})

test('a target that refuses the highest token that this coordinator has used ends its term', async t => {
  const { clock, target, events } = await startFleet()
  target.accepts(1_000)
  await clock.advance(1_200)
  t.true(events.includes('fenced'))
})
