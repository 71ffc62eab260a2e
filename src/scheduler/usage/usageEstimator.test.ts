import test from 'ava'
import { resources } from '../../model/resources.ts'
import { UsageEstimator } from './usageEstimator.ts'

const declared = resources({ processors: 8_000, memory: 16_000, accelerators: 1 })
const ceiling = resources({ processors: 10_000, memory: 256_000, accelerators: 4 })

function learn (estimator: UsageEstimator, reports: number, processors: (index: number) => number, name = 'render'): void {
  for (let index = 0; index < reports; index++) {
    estimator.report('a', 'batch', name, resources({ processors: processors(index), memory: 4_000, accelerators: 1 }))
  }
}

test('a declared size far above the usage is reduced, but not after only a few reports', t => {
  const estimator = new UsageEstimator()
  learn(estimator, 19, () => 1_000)
  t.deepEqual(estimator.estimate('a', 'batch', 'render', declared, ceiling), declared)
  learn(estimator, 81, index => index < 10 ? 3_000 : 1_000)
  const learned = estimator.estimate('a', 'batch', 'render', declared, ceiling)
  t.true(learned.processors >= 3_300 && learned.processors < 3_300 * 1.02, `${learned.processors}`)
  t.true(learned.memory >= 4_400 && learned.memory < 4_400 * 1.02, `${learned.memory}`)
  t.is(learned.accelerators, 1)
  t.deepEqual(estimator.estimate('b', 'batch', 'render', declared, ceiling), declared)
})

test('headroom alone does not raise an estimate above the declared size, but higher usage does, up to the largest target', t => {
  const estimator = new UsageEstimator()
  learn(estimator, 50, () => 7_900, 'near')
  learn(estimator, 50, () => 9_900, 'above')
  t.is(estimator.estimate('a', 'batch', 'near', declared, ceiling).processors, 8_000)
  t.is(estimator.estimate('a', 'batch', 'above', declared, ceiling).processors, 10_000)
})

test('old usage is forgotten, and the number of groups is bounded', t => {
  const estimator = new UsageEstimator(3)
  learn(estimator, 1_000, () => 7_000)
  learn(estimator, 100, () => 1_000)
  t.true(estimator.estimate('a', 'batch', 'render', declared, ceiling).processors < 1_200)
  for (let name = 0; name < 10; name++) learn(estimator, 1, () => 1, `name-${name}`)
  t.is(estimator.groups, 3)
})
