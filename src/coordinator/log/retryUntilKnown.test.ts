import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { retryUntilKnown } from './retryUntilKnown.ts'

/** Records when attempts start; each is resolved by the test. */
function createCall (clock: ManualClock) {
  const begunMs: number[] = []
  const answers: ((outcome: string | undefined) => void)[] = []
  let over = false
  const known = retryUntilKnown<string>(clock, {
    attempt: async () => {
      begunMs.push(clock.monotonicMs())
      return await new Promise(resolve => answers.push(resolve))
    },
    answerTimeoutMs: 100,
    retryDelayMs: 10,
    isCancelled: () => over
  })
  return { begunMs, answers, known, end: () => { over = true } }
}

test('attempts against an unresponsive store back off exponentially', async t => {
  const clock = new ManualClock()
  const { begunMs, answers, known } = createCall(clock)
  await clock.advance(1_600)
  t.deepEqual(begunMs, [0, 100, 300, 700, 1_500])
  answers[2]?.('stored')
  t.is(await known, 'stored')
})

test('an attempt that fails late starts no further attempt once the outcome is known', async t => {
  const clock = new ManualClock()
  const { begunMs, answers, known } = createCall(clock)
  await clock.advance(100)
  answers[1]?.('stored')
  t.is(await known, 'stored')
  answers[0]?.(undefined)
  await clock.advance(1_000)
  t.is(begunMs.length, 2)
})

test('attempts stop when the outcome is no longer needed', async t => {
  const clock = new ManualClock()
  const { begunMs, answers, known, end } = createCall(clock)
  answers[0]?.(undefined)
  await clock.settle()
  end()
  await clock.advance(10)
  t.is(await known, undefined)
  t.is(begunMs.length, 1)
})
