import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import type { CoordinatorInfo } from '../coordinator/election.ts'
import { createLogger } from '../observability/logger.ts'
import type { CoordinatorPeers } from '../ports/coordinatorPeer.ts'
import { CallRouter } from './callRouter.ts'
import type { CallerAnswer, CallerCall, CoordinatorAnswer } from './callerCall.ts'
import type { JobInstance } from './jobInstance.ts'

const SUBMISSION: CallerCall = { action: 'submit', host: 'jobs.example', path: '/checks/1', key: 'k', definition: '{}', desiredStateVersion: 1 }
const LIMITED: CallerAnswer = { outcome: 'limited', message: 'too many', retryAfterSeconds: 2, absent: true }
const UNAVAILABLE: CallerAnswer = { outcome: 'unavailable', message: 'no coordinator', retryAfterSeconds: 1 }
const UNDERWAY: CoordinatorAnswer = { outcome: 'underway' }

function coordinatorOf (fence: number): CoordinatorInfo {
  return { instance: `entry-${fence + 1}`, address: `other-${fence}`, fence, lease: fence }
}

/** A router among coordinators that a test replaces; `handle` answers one call, and undefined is no answer. */
function createRouter (handle: (fence: number) => Promise<CoordinatorAnswer | undefined>) {
  const clock = new ManualClock()
  const listeners: (() => void)[] = []
  const instance = { coordinator: coordinatorOf(1) as CoordinatorInfo | undefined, knownInstanceCount: 2, onCoordinatorChange: (listener: () => void) => listeners.push(listener) }
  const peer = {
    handleAll: async (fence: number, calls: readonly CallerCall[]) => {
      const answer = await handle(fence)
      if (answer === undefined) throw new Error('no answer within 1200 ms')
      return calls.map(() => answer)
    }
  }
  const router = new CallRouter({
    instance: instance as unknown as JobInstance,
    ownAddress: 'own',
    peers: { connect: () => peer } as unknown as CoordinatorPeers,
    clock,
    logger: createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'howrah', secrets: [] })
  })
  const replace = (coordinator: CoordinatorInfo | undefined): void => {
    instance.coordinator = coordinator
    for (const listener of listeners) listener()
  }
  const advance = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) await clock.advance(50)
  }
  return { clock, router, replace, advance }
}

/** Routes one call; each answer is that of one try, and undefined is a try without an answer. */
async function route (answers: readonly (CoordinatorAnswer | undefined)[], call = SUBMISSION): Promise<CallerAnswer> {
  const left = [...answers]
  const { router, advance } = createRouter(async () => left.length > 1 ? left.shift() : left[0])
  const answered = router.handle({ call })
  await advance(5_000)
  return await answered
}

test('a refusal is passed on while no earlier try of the call may have been carried out', async t => {
  t.deepEqual(await route([LIMITED]), LIMITED)
  t.deepEqual(await route([UNAVAILABLE]), UNAVAILABLE)
})

test('a call is not reported as never carried out after a try without an answer, which may overtake the refused one', async t => {
  t.is((await route([undefined, LIMITED])).outcome, 'unknown')
  t.is((await route([undefined, UNAVAILABLE])).outcome, 'unknown')
  t.is((await route([undefined, { outcome: 'no-queue' }])).outcome, 'unknown')
  t.is((await route([undefined, { outcome: 'unauthenticated' }])).outcome, 'unknown')
  t.is((await route([undefined, { outcome: 'accepted' }])).outcome, 'accepted')
})

test('a question that is answered at the second try gets that answer, since it changes nothing', async t => {
  t.is((await route([undefined, { outcome: 'unauthenticated' }], { ...SUBMISSION, action: 'read' })).outcome, 'unauthenticated')
})

test('outage of the store: a call that the coordinator has and gives up is refused, and not reported as lost', async t => {
  t.deepEqual(await route([UNDERWAY, UNDERWAY, LIMITED]), LIMITED)
})

test('a call that was underway is not reported as never carried out by a coordinator that has lost its office meanwhile', async t => {
  t.is((await route([UNDERWAY, UNAVAILABLE])).outcome, 'unknown')
  t.is((await route([UNDERWAY, { outcome: 'no-queue' }])).outcome, 'unknown')
  t.is((await route([UNDERWAY, undefined, LIMITED])).outcome, 'unknown')
})

test('a caller with little patience is told that nobody coordinates, and not that its call may have been carried out', async t => {
  const { router, replace, advance } = createRouter(async () => undefined)
  replace(undefined)
  const answered = router.handle({ call: SUBMISSION, callerTimeoutMs: 100 })
  await advance(200)
  t.is((await answered).outcome, 'unavailable')
})

test('loss of the coordinator: calls that wait for it go to its successor at once', async t => {
  const { router, replace, advance } = createRouter(async fence => fence === 1 ? await new Promise(() => {}) : { outcome: 'accepted' })
  const answered = router.handle({ call: SUBMISSION })
  await advance(400)
  replace(undefined)
  await advance(100)
  replace(coordinatorOf(2))
  await advance(150)
  t.deepEqual(await Promise.race([answered, Promise.resolve('not answered')]), { outcome: 'accepted' })
})

test('loss of the coordinator: its successor may refuse a call whose first try was lost only if its log lacks the job', async t => {
  const refuse = async (refusal: CallerAnswer): Promise<CallerAnswer> => {
    const { router, replace, advance } = createRouter(async fence => fence === 1 ? undefined : refusal)
    const answered = router.handle({ call: SUBMISSION })
    await advance(50)
    replace(coordinatorOf(2))
    await advance(5_000)
    return await answered
  }
  t.deepEqual(await refuse(LIMITED), LIMITED)
  t.is((await refuse(UNAVAILABLE)).outcome, 'unknown')
  t.is((await refuse({ outcome: 'no-queue' })).outcome, 'unknown')
})

test('change of office: a caller waits shortly for the next coordinator instead of being sent away', async t => {
  const { router, replace, advance } = createRouter(async () => ({ outcome: 'accepted' }))
  replace(undefined)
  const answered = router.handle({ call: SUBMISSION })
  await advance(200)
  replace(coordinatorOf(2))
  await advance(150)
  t.deepEqual(await Promise.race([answered, Promise.resolve('not answered')]), { outcome: 'accepted' })
})

test('a caller is sent away soon while nobody coordinates', async t => {
  const { router, replace, advance } = createRouter(async () => undefined)
  replace(undefined)
  const answered = router.handle({ call: SUBMISSION })
  await advance(600)
  t.is((await answered).outcome, 'unavailable')
})

test('a call without an answer is sent again as long as its caller waits, and answered before the caller leaves', async t => {
  const { clock, router, advance } = createRouter(async () => undefined)
  const answered = router.handle({ call: SUBMISSION, callerTimeoutMs: 1_000 }).then(({ outcome }) => ({ outcome, atMs: clock.monotonicMs() }))
  await advance(2_000)
  const { outcome, atMs } = await answered
  t.is(outcome, 'unknown')
  t.true(atMs > 700 && atMs <= 850, `after ${atMs} ms`)
})
