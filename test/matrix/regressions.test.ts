import test from 'ava'
import { runCase } from './scenario.ts'
import type { Case } from './scenario.ts'

/** Cases that once broke a promise, by the failure that they guard against. */
const CASES: Readonly<Record<string, Case>> = {
  'a gang of which one task ran is not sent again when another one did not': {
    seed: 1182, faults: ['lost target calls and answers'], step: 'place', phase: 'before'
  },
  'a planned stop waits for its open requests when the store fails at the end of the hand-over': {
    seed: 8, faults: ['store down'], step: 'leave', phase: 'before'
  }
}

for (const [title, given] of Object.entries(CASES)) {
  test.serial(title, async t => {
    t.deepEqual(await runCase(given), [])
  })
}
