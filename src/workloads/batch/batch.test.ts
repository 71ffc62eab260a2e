import test from 'ava'
import { resources } from '../../model/resources.ts'
import { batchDefinition } from './index.ts'

test('a batch with slots is not sent to a worker, nor one with processors to a runner', t => {
  t.is(batchDefinition.targetType(resources({ slots: 2 })), 'runner')
  t.is(batchDefinition.targetType(resources({ processors: 2_000 })), 'worker')
})
