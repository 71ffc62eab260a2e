import test from 'ava'
import { listFaultPairCases } from './matrix.ts'
import { runCase } from './scenario.ts'

for (const { title, ...testCase } of listFaultPairCases()) {
  test.serial(title, async t => {
    t.deepEqual(await runCase(testCase), [])
  })
}
