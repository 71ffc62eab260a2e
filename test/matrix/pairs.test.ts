import test from 'ava'
import { listPairs } from './matrix.ts'
import { runCase } from './scenario.ts'

for (const { title, ...given } of listPairs()) {
  test.serial(title, async t => {
    t.deepEqual(await runCase(given), [])
  })
}
