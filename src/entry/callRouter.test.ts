import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import type { CoordinatorInfo } from '../coordinator/log/election.ts'
import { CallNotSentError } from './callNotSentError.ts'
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

/** A router with replaceable coordinators; `handle` answers one call, and undefined stands for a lost answer. */
function createRouter (handle: (fence: number) => Promise<CoordinatorAnswer | undefined>, inputAgeMs = 0) {
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
    logger: createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'howrah', secrets: [] }),
    inputAgeMs: () => inputAgeMs
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

/** Routes one call. Each answer is that of one attempt; undefined stands for a lost answer, and the last one repeats. */
async function route (answers: readonly (CoordinatorAnswer | undefined)[], call = SUBMISSION): Promise<CallerAnswer> {
  const left = [...answers]
  const { router, advance } = createRouter(async () => left.length > 1 ? left.shift() : left[0])
  const answered = router.handle({ call })
  await advance(5_000)
  return await answered
}

test('a refusal is returned if no earlier attempt at the call can have taken effect', async t => {
  t.deepEqual(await route([LIMITED]), LIMITED)
  t.deepEqual(await route([UNAVAILABLE]), UNAVAILABLE)
})

test('a refusal after an unanswered attempt is reported as unknown, since that attempt may arrive after the refused one', async t => {
  t.is((await route([undefined, LIMITED])).outcome, 'unknown')
  t.is((await route([undefined, UNAVAILABLE])).outcome, 'unknown')
  t.is((await route([undefined, { outcome: 'no-queue' }])).outcome, 'unknown')
  t.is((await route([undefined, { outcome: 'unauthenticated' }])).outcome, 'unknown')
  t.is((await route([undefined, { outcome: 'accepted' }])).outcome, 'accepted')
})

test('a call that was never sent, and a read without an answer, are refused, not reported as unknown', async t => {
  const fail = async (error: Error, call = SUBMISSION): Promise<CallerAnswer> => {
    const { router, advance } = createRouter(async () => { throw error })
    const answered = router.handle({ call })
    await advance(5_000)
    return await answered
  }
  t.is((await fail(new CallNotSentError('no connection'))).outcome, 'unavailable')
  t.is((await fail(new Error('no answer'), { ...SUBMISSION, action: 'read' })).outcome, 'unavailable')
  t.is((await fail(new Error('no answer'), { ...SUBMISSION, action: 'cancel' })).outcome, 'unknown')
})

test('store outage: callers who find no coordinator for seconds are told to return spread over more than 2 s', async t => {
  const { router, replace, advance } = createRouter(async () => undefined)
  replace(undefined)
  await advance(2_500)
  const answers = Array.from({ length: 100 }, async () => await router.handle({ call: SUBMISSION }))
  await advance(600)
  const told = (await Promise.all(answers)).flatMap(answer => answer.outcome === 'unavailable' ? [answer.retryAfterSeconds] : [])
  t.deepEqual([...new Set(told)].sort(), [2, 3, 4])
})

test('a read returns the answer to its second attempt, since reads have no effect', async t => {
  t.is((await route([undefined, { outcome: 'unauthenticated' }], { ...SUBMISSION, action: 'read' })).outcome, 'unauthenticated')
})

test('store outage: a call that the coordinator received and dropped is refused, not reported as unknown', async t => {
  t.deepEqual(await route([UNDERWAY, UNDERWAY, LIMITED]), LIMITED)
})

test('a call that was underway is reported as unknown if its coordinator is no longer elected', async t => {
  t.is((await route([UNDERWAY, UNAVAILABLE])).outcome, 'unknown')
  t.is((await route([UNDERWAY, { outcome: 'no-queue' }])).outcome, 'unknown')
  t.is((await route([UNDERWAY, undefined, LIMITED])).outcome, 'unknown')
})

test('a call with a short time-out is refused, not reported as unknown, while there is no coordinator', async t => {
  const { router, replace, advance } = createRouter(async () => undefined)
  replace(undefined)
  const answered = router.handle({ call: SUBMISSION, callerTimeoutMs: 100 })
  await advance(200)
  t.is((await answered).outcome, 'unavailable')
})

test('coordinator failover: waiting calls are retried at the successor at once', async t => {
  const { router, replace, advance } = createRouter(async fence => fence === 1 ? await new Promise(() => {}) : { outcome: 'accepted' })
  const answered = router.handle({ call: SUBMISSION })
  await advance(400)
  replace(undefined)
  await advance(100)
  replace(coordinatorOf(2))
  await advance(150)
  t.deepEqual(await Promise.race([answered, Promise.resolve('not answered')]), { outcome: 'accepted' })
})

test('coordinator failover: after a lost attempt, a refusal by the successor is returned only if its log lacks the job', async t => {
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

test('change of coordinator: a call waits briefly for the next coordinator instead of being refused', async t => {
  const { router, replace, advance } = createRouter(async () => ({ outcome: 'accepted' }))
  replace(undefined)
  const answered = router.handle({ call: SUBMISSION })
  await advance(200)
  replace(coordinatorOf(2))
  await advance(150)
  t.deepEqual(await Promise.race([answered, Promise.resolve('not answered')]), { outcome: 'accepted' })
})

test('a call is refused within 600 ms while there is no coordinator', async t => {
  const { router, replace, advance } = createRouter(async () => undefined)
  replace(undefined)
  const answered = router.handle({ call: SUBMISSION })
  await advance(600)
  t.is((await answered).outcome, 'unavailable')
})

test('an unanswered call is retried until shortly before its caller times out', async t => {
  const { clock, router, advance } = createRouter(async () => undefined)
  const answered = router.handle({ call: SUBMISSION, callerTimeoutMs: 1_000 }).then(({ outcome }) => ({ outcome, atMs: clock.monotonicMs() }))
  await advance(2_000)
  const { outcome, atMs } = await answered
  t.is(outcome, 'unknown')
  t.true(atMs > 700 && atMs <= 850, `after ${atMs} ms`)
})

// Guards against calls that take memory for as long as their callers ask for.
test('a call is retried for at most 30 s, whatever time-out its caller states', async t => {
  let attempts = 0
  const { clock, router, advance } = createRouter(async () => {
    attempts += 1
    await clock.sleep(200)
    return UNDERWAY
  })
  const answered = router.handle({ call: { ...SUBMISSION, action: 'read' }, callerTimeoutMs: 1e12 })
  await advance(31_000)
  t.is((await answered).outcome, 'unavailable')
  t.true(attempts > 1)
})

// Guards against a submission that is older than what the coordinator knows of its cancel.
test('a submission that may have waited for longer than 20 seconds in a paused process is refused, and other calls are not', async t => {
  const outcomes: string[] = []
  for (const [action, inputAgeMs] of [['submit', 20_000], ['submit', 20_001], ['read', 60_000], ['cancel', 60_000]] as const) {
    const { router } = createRouter(async () => ({ outcome: 'accepted' }), inputAgeMs)
    outcomes.push((await router.handle({ call: { ...SUBMISSION, action } })).outcome)
  }
  t.deepEqual(outcomes, ['accepted', 'unavailable', 'accepted', 'accepted'])
})

// Guards against a call that takes effect long after its caller has left, since the process was paused between two attempts.
test('a call is not sent again after its time, however long its process was paused', async t => {
  let attempts = 0
  const { clock, router, advance } = createRouter(async () => {
    attempts += 1
    return undefined
  })
  const answered = router.handle({ call: SUBMISSION, callerTimeoutMs: 3_000 })
  await advance(100)
  const before = attempts
  clock.pause(60_000)
  await advance(1_000)
  t.is((await answered).outcome, 'unknown')
  t.is(attempts, before)
})
