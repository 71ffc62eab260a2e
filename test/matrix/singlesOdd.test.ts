import test from 'ava'
import { listSingles } from './matrix.ts'
import { runCase } from './scenario.ts'

for (const { title, ...given } of listSingles(1, 2)) {
  test.serial(title, async t => {
    t.deepEqual(await runCase(given), [])
  })
}
