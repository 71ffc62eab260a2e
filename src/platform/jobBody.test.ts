import test from 'ava'
import { decodeJobBody } from './jobBody.ts'

// Guards against lists of dependencies that take memory and time in each placement pass, since their entries repeat.
test('repeated dependencies of a step are decoded once', t => {
  const { steps } = decodeJobBody({ phases: [{ count: 1, cpu: 1, mem_mb: 1 }, { count: 1, cpu: 1, mem_mb: 1, after: new Array<number>(200_000).fill(0) }] })
  t.deepEqual(steps[1]?.after, [0])
})
