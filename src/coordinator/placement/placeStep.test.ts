import test from 'ava'
import fc from 'fast-check'
import type { StepDefinition } from '../../jobs/job.ts'
import { createStep } from '../../jobs/testing/definitions.ts'
import { resources } from '../../model/resources.ts'
import { placeStep } from './placeStep.ts'
import type { TargetAvailability } from './placeStep.ts'

const STEP = createStep(4, { size: resources({ processors: 18_000, memory: 68_000 }), estimateMs: 5_000 })

function createTarget (key: string, processors: number, given: Partial<TargetAvailability> = {}): TargetAvailability {
  return {
    key, free: { processors, memory: 262_144, accelerators: 0 }, rack: 'r-1', labels: ['a', 'r-1'], sameStepTasks: 0, hasResponseTargetTasks: false, hasSpareFillingTasks: false, isUnreliable: false, ...given
  }
}

test('a gang is not started with only some of its members', t => {
  const targets = [createTarget('one', 40_000), createTarget('two', 20_000)]
  t.deepEqual(placeStep({ ...STEP, gang: true }, 4, targets), [])
  t.deepEqual(placeStep({ ...STEP, gang: true }, 3, targets), ['two', 'one', 'one'])
  t.deepEqual(placeStep(STEP, 4, targets), ['two', 'one', 'one'])
})

test('the limit of tasks per target includes tasks that already run there', t => {
  const targets = [createTarget('one', 64_000, { sameStepTasks: 1 }), createTarget('two', 64_000)]
  t.deepEqual(placeStep({ ...STEP, tasksPerTarget: 2 }, 4, targets), ['one', 'two', 'two'])
})

test('a target without the required label, or with conflicting tasks, gets no task', t => {
  t.deepEqual(placeStep({ ...STEP, requiredLabel: 'b' }, 1, [createTarget('one', 64_000)]), [])
  t.deepEqual(placeStep({ ...STEP, fillsSpareProcessors: true }, 1, [createTarget('one', 64_000, { hasResponseTargetTasks: true })]), [])
  t.deepEqual(placeStep({ ...STEP, responseTargetMs: 50 }, 1, [createTarget('one', 64_000, { hasSpareFillingTasks: true })]), [])
})

test('targets on which a task of the step failed are used only when no other has capacity', t => {
  t.deepEqual(placeStep(STEP, 1, [createTarget('one', 20_000, { isUnreliable: true }), createTarget('two', 64_000)]), ['two'])
  t.deepEqual(placeStep(STEP, 1, [createTarget('one', 20_000, { isUnreliable: true })]), ['one'])
})

test('tasks that need the same rack share one if any has capacity, and tasks that need data prefer its rack', t => {
  const targets = [createTarget('one', 18_000, { rack: 'r-1' }), createTarget('two', 64_000, { rack: 'r-2' }), createTarget('three', 20_000, { rack: 'r-3' })]
  t.deepEqual(placeStep({ ...STEP, sameRack: true }, 3, targets), ['two', 'two', 'two'])
  t.deepEqual(placeStep({ ...STEP, dataRack: 'r-2' }, 1, targets), ['two'])
})

/** Returns the number of tasks placed when targets are filled in the order given. */
function countWithFirstFit (definition: StepDefinition, count: number, targets: readonly TargetAvailability[]): number {
  let placed = 0
  for (const { free } of targets) {
    let { processors, memory } = free
    while (placed < count && processors >= definition.size.processors && memory >= definition.size.memory) {
      processors -= definition.size.processors
      memory -= definition.size.memory
      placed += 1
    }
  }
  return placed
}

test('no target is overcommitted, and as many tasks are placed as with first fit', t => {
  const freeResources = fc.array(fc.record({ processors: fc.integer({ min: 0, max: 64_000 }), memory: fc.integer({ min: 0, max: 262_144 }) }), { maxLength: 12 })
  const property = fc.property(freeResources, fc.integer({ min: 1, max: 20 }), fc.integer({ min: 500, max: 30_000 }), (freeByTarget, count, processors) => {
    const definition = { ...STEP, size: resources({ processors, memory: 10_000 }) }
    const targets = freeByTarget.map((free, position) => createTarget(`target-${position}`, 0, { free: { ...free, accelerators: 0 } }))
    const placed = placeStep(definition, count, targets)
    for (const { key, free } of targets) {
      const placedOnTarget = placed.filter(target => target === key).length
      if (placedOnTarget * processors > free.processors || placedOnTarget * 10_000 > free.memory) return false
    }
    return placed.length === countWithFirstFit(definition, count, targets)
  })
  t.notThrows(() => fc.assert(property, { seed: 41, numRuns: 300 }))
})
