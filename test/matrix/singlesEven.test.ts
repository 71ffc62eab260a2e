import test from 'ava'
import { listSingleFaultCases } from './matrix.ts'
import { runCase } from './scenario.ts'

for (const { title, ...testCase } of listSingleFaultCases(0, 2)) {
  test.serial(title, async t => {
    t.deepEqual(await runCase(testCase), [])
  })
}
