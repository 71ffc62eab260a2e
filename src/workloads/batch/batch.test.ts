import test from 'ava'
import { resources } from '../../model/resources.ts'
import { batchDefinition } from './index.ts'

test('a batch that needs slots goes to a runner, and one that needs processors to a worker', t => {
  t.is(batchDefinition.targetType(resources({ slots: 2 })), 'runner')
  t.is(batchDefinition.targetType(resources({ processors: 2_000 })), 'worker')
})
