import test from 'ava'
import { FAULTS, STEPS } from './faults.ts'
import { runCase } from './scenario.ts'

const FIRST_SEED = 1_000

for (const [row, fault] of Object.keys(FAULTS).entries()) {
  for (const [column, step] of STEPS.entries()) {
    const seed = FIRST_SEED + row * STEPS.length + column
    test.serial(`no promise is broken by: ${fault}, at ${step} (seed ${seed})`, async t => {
      t.deepEqual(await runCase({ seed, faults: [fault], step, phase: seed % 2 === 0 ? 'before' : 'after' }), [])
    })
  }
}
