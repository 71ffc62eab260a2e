import test from 'ava'
import { SeededRandom } from '../../adapters/random/seededRandom.ts'
import { CONTINUING_MS, IncarnationClocks } from './incarnationClocks.ts'

const EARLIER_MS = 1_000_000
const DRAWS = 200

function drawAll (seed: number): readonly number[] {
  const clocks = new IncarnationClocks(new SeededRandom(seed))
  return Array.from({ length: DRAWS }, () => clocks.draw(EARLIER_MS))
}

// Guards against stand-ins whose clocks always show a restart, so that a check that passes by chance is never met.
test('the clocks of restarted targets begin at 0, behind, ahead of and close to the earlier ones', t => {
  const differences = drawAll(7).map(clockMs => clockMs - EARLIER_MS)
  t.true(differences.includes(-EARLIER_MS), 'zero')
  t.true(differences.includes(0), 'equal')
  const close = differences.filter(difference => Math.abs(difference) <= CONTINUING_MS && difference !== 0)
  t.true(close.some(difference => difference < 0) && close.some(difference => difference > 0), 'continuing')
  t.true(differences.some(difference => difference < -CONTINUING_MS && difference > -EARLIER_MS), 'behind')
  t.true(differences.some(difference => difference > CONTINUING_MS && difference <= 10_000), 'ahead within a lease')
  t.true(differences.some(difference => difference > 10_000), 'ahead')
  t.true(differences.every(difference => difference >= -EARLIER_MS))
})

test('a seed always produces the same clocks, so that a failed run can be reproduced', t => {
  t.deepEqual(drawAll(11), drawAll(11))
  t.notDeepEqual(drawAll(11), drawAll(12))
})
