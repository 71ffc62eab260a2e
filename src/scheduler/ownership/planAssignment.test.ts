import test from 'ava'
import fc from 'fast-check'
import { planAssignment } from './planAssignment.ts'
import { FencingTakeover, ReleaseOnlyTakeover, StartByTakeover } from './takeoverRules.ts'

const SEED = 20_261_204

test('no instance exceeds its load bound, every target has an owner, and the loss of an instance moves few targets', t => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 120 }), fc.integer({ min: 2, max: 9 }), (targetCount, memberCount) => {
    const targets = Array.from({ length: targetCount }, (_, index) => `worker-${index}`)
    const members = Array.from({ length: memberCount }, (_, index) => `howrah-${index}/a`)
    const before = planAssignment(targets, members)
    const after = planAssignment(targets, members.slice(1))
    const loads = members.map(member => [...before.values()].filter(owner => owner === member).length)
    const moved = targets.filter(target => before.get(target) !== members[0] && before.get(target) !== after.get(target)).length
    return before.size === targetCount && Math.max(...loads) <= Math.ceil(1.25 * targetCount / memberCount) &&
      moved <= Math.ceil(targetCount / 2)
  }), { seed: SEED, numRuns: 300 })
  t.deepEqual(planAssignment(['worker-1'], []), new Map())
})

test('a suspected owner that may still start tasks is not replaced on targets that cannot refuse its requests', t => {
  const silent = { member: false, suspected: true, goneFromListForMs: undefined, releasedForMs: undefined }
  t.true(new FencingTakeover().mayTakeOver(silent))
  t.false(new FencingTakeover().mayTakeOver({ ...silent, member: true, suspected: false }))
  t.false(new StartByTakeover().mayTakeOver(silent))
  t.false(new StartByTakeover().mayTakeOver({ ...silent, goneFromListForMs: 2_499 }))
  t.true(new StartByTakeover().mayTakeOver({ ...silent, goneFromListForMs: 2_500 }))
  t.false(new ReleaseOnlyTakeover().mayTakeOver({ ...silent, goneFromListForMs: 46_499 }))
  t.true(new ReleaseOnlyTakeover().mayTakeOver({ ...silent, releasedForMs: 46_500 }))
})
