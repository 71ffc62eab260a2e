import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { CallBatcher } from './callBatcher.ts'
import { CallNotSentError } from './callNotSentError.ts'
import type { CallerCall, CoordinatorAnswer } from './callerCall.ts'

const CALL: CallerCall = { action: 'read', host: 'jobs.example', path: '/checks/', key: 'k', definition: '', desiredStateVersion: 1 }

function callFor (number: number): CallerCall {
  return { ...CALL, path: `/checks/${number}` }
}

function answerFor ({ path }: CallerCall): CoordinatorAnswer {
  return { outcome: 'pending', pending: Number(path.split('/').at(-1)) }
}

test('a burst of calls is sent in few batches, and each caller gets its own answer', async t => {
  const clock = new ManualClock()
  const sizes: number[] = []
  const batcher = new CallBatcher(clock, async calls => {
    sizes.push(calls.length)
    await clock.sleep(20)
    return calls.map(answerFor)
  }, () => 7)
  const answers: Promise<CoordinatorAnswer>[] = []
  for (let number = 0; number < 120; number++) {
    answers.push(batcher.handle(callFor(number)))
    await clock.advance(5)
  }
  await clock.advance(1_000)
  t.deepEqual(await Promise.all(answers), Array.from({ length: 120 }, (_, pending) => ({ outcome: 'pending', pending })))
  t.true(sizes.length <= 25, `${sizes.length} requests`)
})

test('a single call is sent without delay', async t => {
  const clock = new ManualClock()
  const sentMs: number[] = []
  const batcher = new CallBatcher(clock, async calls => {
    sentMs.push(clock.monotonicMs())
    return calls.map(answerFor)
  }, () => 7)
  await batcher.handle(callFor(1))
  await clock.advance(100)
  await batcher.handle(callFor(2))
  t.deepEqual(sentMs, [0, 100])
})

test('calls of a failed batch are rejected, and later calls are sent', async t => {
  const clock = new ManualClock()
  let lost = true
  const batcher = new CallBatcher(clock, async calls => {
    if (lost) throw new Error('no answer')
    return calls.map(answerFor)
  }, () => 7)
  await t.throwsAsync(batcher.handle(callFor(1)), { message: 'no answer' })
  lost = false
  const later = batcher.handle(callFor(2))
  await clock.advance(100)
  t.deepEqual(await later, { outcome: 'pending', pending: 2 })
})

test('the batches of many instances together stay within the rate limit of the coordinator', async t => {
  const clock = new ManualClock()
  const INSTANCES = 35
  let batches = 0
  const batcher = new CallBatcher(clock, async calls => {
    batches += 1
    return calls.map(answerFor)
  }, () => INSTANCES)
  const answers: Promise<CoordinatorAnswer>[] = []
  for (let number = 0; number < 280; number++) {
    answers.push(batcher.handle(callFor(number)))
    await clock.advance(36)
  }
  await clock.advance(1_000)
  await Promise.all(answers)
  const seconds = clock.monotonicMs() / 1_000
  t.true(batches * INSTANCES <= 350 * seconds, `${batches} batches in ${seconds} s`)
})

test('unanswered calls are rejected at once when the coordinator is replaced', async t => {
  const clock = new ManualClock()
  const batcher = new CallBatcher(clock, async () => await new Promise(() => {}), () => 7)
  const sent = batcher.handle(callFor(1))
  const waiting = batcher.handle(callFor(2))
  batcher.rejectAll('replaced')
  await t.throwsAsync(sent, { message: 'replaced' })
  await t.throwsAsync(waiting, { message: 'replaced' })
})

test('overloaded coordinator: an instance sends fewer and larger batches', async t => {
  const clock = new ManualClock()
  const sizes: number[] = []
  const batcher = new CallBatcher(clock, async calls => {
    sizes.push(calls.length)
    await clock.sleep(1_000)
    return calls.map(answerFor)
  }, () => 35)
  const answers: Promise<CoordinatorAnswer>[] = []
  for (let number = 0; number < 300; number++) {
    answers.push(batcher.handle(callFor(number)))
    await clock.advance(10)
  }
  await clock.advance(3_000)
  t.is((await Promise.all(answers)).length, 300)
  t.true(sizes.length <= 14, `${sizes.length} requests`)
})

test('dead connections: calls are sent on other connections within a third of a second', async t => {
  const clock = new ManualClock()
  let sent = 0
  const batcher = new CallBatcher(clock, async calls => {
    sent += 1
    if (sent <= 5) await new Promise(() => {})
    return calls.map(answerFor)
  }, () => 7)
  let answeredMs = Infinity
  for (let number = 0; number < 200; number++) {
    batcher.handle(callFor(number)).then(() => { answeredMs = Math.min(answeredMs, clock.monotonicMs()) }, () => {})
    await clock.advance(10)
  }
  t.true(answeredMs <= 1_100, `after ${answeredMs} ms`)
})

// Guards against an overloaded coordinator that works on calls whose callers have given up.
test('calls whose callers no longer wait are not sent', async t => {
  const clock = new ManualClock()
  const sent: string[] = []
  const batcher = new CallBatcher(clock, async calls => {
    sent.push(...calls.map(({ path }) => path))
    await clock.sleep(1_200)
    throw new Error('no answer within 1200 ms')
  }, () => 7)
  const errors = Array.from({ length: 1_000 }, async (_, number) => await batcher.handle(callFor(number), 1_800).catch((error: unknown) => error))
  for (let passedMs = 0; passedMs < 5_000; passedMs += 50) await clock.advance(50)
  const notSent = (await Promise.all(errors)).filter(error => error instanceof CallNotSentError).length
  t.is(sent.length + notSent, 1_000)
  t.true(notSent > 0)
  t.is(new Set(sent).size, sent.length)
})
