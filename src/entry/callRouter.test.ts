import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { createLogger } from '../observability/logger.ts'
import type { CoordinatorPeers } from '../ports/coordinatorPeer.ts'
import { CallRouter } from './callRouter.ts'
import type { CallerAnswer, CallerCall } from './callerCall.ts'
import type { JobInstance } from './jobInstance.ts'

const SUBMISSION: CallerCall = { action: 'submit', host: 'jobs.example', path: '/checks/1', key: 'k', definition: '{}', desiredStateVersion: 1 }
const LIMITED: CallerAnswer = { outcome: 'limited', message: 'too many', retryAfterSeconds: 2 }
const UNAVAILABLE: CallerAnswer = { outcome: 'unavailable', message: 'no coordinator', retryAfterSeconds: 1 }

/** Routes one call; each answer is that of one try, and undefined is a try without an answer. */
async function route (answers: readonly (CallerAnswer | undefined)[], call = SUBMISSION): Promise<CallerAnswer> {
  const clock = new ManualClock()
  const left = [...answers]
  const peer = {
    handleAll: async (calls: readonly CallerCall[]) => {
      const answer = left.length > 1 ? left.shift() : left[0]
      if (answer === undefined) throw new Error('no answer within 1200 ms')
      return calls.map(() => answer)
    }
  }
  const router = new CallRouter({
    instance: { coordinator: { instance: 'entry-2', address: 'other', fence: 1, lease: 1 }, knownInstances: 2 } as unknown as JobInstance,
    ownAddress: 'own',
    peers: { connect: () => peer } as unknown as CoordinatorPeers,
    clock,
    logger: createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'howrah', secrets: [] })
  })
  const answered = router.handle(call)
  for (let step = 0; step < 100; step++) await clock.advance(50)
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
