import test from 'ava'
import fc from 'fast-check'
import { SeededRandom } from '../../adapters/random/seededRandom.ts'
import { computeBackoff } from './backoff.ts'
import { RetryBudget } from './retryBudget.ts'
import { decideRetry } from './retryPolicy.ts'
import type { AttemptOutcome, RetryQuestion } from './retryPolicy.ts'

const random = new SeededRandom(7)

function createQuestion (changes: Partial<RetryQuestion>): RetryQuestion {
  return { team: 'a', repeatable: true, attempts: [{ verdict: 'not-run', stopped: true }], retryable: true, now: 1_000, deadlineAt: 60_000, ...changes }
}

const attemptArbitrary: fc.Arbitrary<AttemptOutcome> = fc.record({
  verdict: fc.constantFrom('not-run' as const, 'may-have-run' as const, 'ran' as const),
  stopped: fc.boolean(),
  leaseEndsAt: fc.option(fc.nat(80_000), { nil: undefined })
})

test('no request is retried while it may run, after it may have run once, or past its deadline', t => {
  fc.assert(fc.property(fc.array(attemptArbitrary, { minLength: 1, maxLength: 4 }), fc.boolean(), (attempts, repeatable) => {
    const decision = decideRetry(createQuestion({ attempts, repeatable }), new RetryBudget(), random)
    const ran = attempts.filter(({ verdict }) => verdict !== 'not-run')
    const unknown = ran.filter(({ stopped }) => !stopped)
    if (decision.action === 'retry') {
      t.true(repeatable || ran.length === 0)
      const at = 1_000 + decision.afterMs
      t.true(at < 60_000 && unknown.every(({ leaseEndsAt }) => leaseEndsAt !== undefined && leaseEndsAt <= at))
    } else {
      t.true(ran.length > 0 && (!repeatable || unknown.some(({ leaseEndsAt }) => leaseEndsAt === undefined || leaseEndsAt >= 60_000 - 160)))
      t.is(decision.verdict, attempts.some(({ verdict }) => verdict === 'ran') ? 'ran' : 'may-have-run')
    }
  }), { seed: 20_265, numRuns: 500 })
})

test('retries do not exceed a tenth of the requests plus the burst, and one team does not use up the budget of another', t => {
  const budget = new RetryBudget()
  let sends = 0
  for (let request = 0; request < 1_000; request++) {
    budget.recordRequest('a')
    sends++
    while (decideRetry(createQuestion({}), budget, random).action === 'retry') sends++
  }
  t.true(sends <= 1_000 * 1.1 + 10 && sends >= 1_000 * 1.1, `${sends} sends`)
  t.deepEqual(decideRetry(createQuestion({}), budget, random), { action: 'give-up', verdict: 'not-run', reason: 'budget' })
  t.is(decideRetry(createQuestion({ team: 'b' }), budget, random).action, 'retry')
})

test('requests that are not retried do not use up the budget', t => {
  const budget = new RetryBudget()
  t.deepEqual(decideRetry(createQuestion({ retryable: false }), budget, random), { action: 'give-up', verdict: 'not-run', reason: 'not-retryable' })
  t.deepEqual(decideRetry(createQuestion({ deadlineAt: 1_000 }), budget, random), { action: 'give-up', verdict: 'not-run', reason: 'deadline' })
  t.is(budget.available('a'), 10)
})

test('backoff does not exceed its ceiling and is spread by jitter', t => {
  for (const [attempts, ceiling] of [[1, 20], [3, 80], [50, 2_000]] as const) {
    const delays = Array.from({ length: 400 }, () => computeBackoff(attempts, random))
    t.true(delays.every(delay => delay >= 0 && delay < ceiling))
    t.true(delays.some(delay => delay < ceiling * 0.1) && delays.some(delay => delay > ceiling * 0.9))
  }
})
