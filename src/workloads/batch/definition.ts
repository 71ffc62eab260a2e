/** Work that may wait, such as renders, stock batches and restock lists; it may be checkpointed to make room for a team below its share. */
import { resources } from '../../model/resources.ts'
import { batchPolicy } from './policy.ts'
import type { BatchDefinition } from './types.ts'

export const batchDefinition: BatchDefinition = {
  kind: 'batch',
  urgency: 2,
  detached: false,
  checkpointable: true,
  defaultSize: resources({ processors: 1_000, memory: 1_024 }),
  policy: batchPolicy,
  targetType: size => size.slots > 0 ? 'runner' : 'worker'
}
