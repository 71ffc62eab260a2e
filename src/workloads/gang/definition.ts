/** Jobs whose tasks must all run at the same time; the caller is answered when the last task has started. */
import { resources } from '../../model/resources.ts'
import { gangPolicy } from './policy.ts'
import type { GangDefinition } from './types.ts'

export const gangDefinition: GangDefinition = {
  kind: 'gang',
  urgency: 1,
  detached: true,
  checkpointable: false,
  defaultSize: resources({ processors: 1_000, memory: 1_024 }),
  policy: gangPolicy,
  targetType: () => 'worker'
}
