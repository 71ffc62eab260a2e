/** Renders, stock batches and restock lists: may wait, and may be checkpointed for a team that is owed its share. */
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
