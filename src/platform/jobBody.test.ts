import test from 'ava'
import { decodeJobBody } from './jobBody.ts'

// Guards against lists of dependencies that take memory and time in each placement pass, since their entries repeat.
test('repeated dependencies of a step are decoded once', t => {
  const { steps } = decodeJobBody({ phases: [{ count: 1, cpu: 1, mem_mb: 1 }, { count: 1, cpu: 1, mem_mb: 1, after: new Array<number>(200_000).fill(0) }] })
  t.deepEqual(steps[1]?.after, [0])
})

// Guards against sums of admission that are infinite for the rest of a term, and against jobs that declare themselves to the front.
test('estimates of run times are bounded to 0 to 7 days', t => {
  const { steps } = decodeJobBody({ phases: [1e306, -1e9, 50].map(estimate => ({ count: 1, cpu: 1, mem_mb: 1, estimate_ms: estimate })) })
  t.deepEqual(steps.map(({ estimateMs }) => estimateMs), [604_800_000, 0, 50])
})
