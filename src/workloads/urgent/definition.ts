/** Short, streamed work such as price and stock checks; served before every other kind. */
import { resources } from '../../model/resources.ts'
import { urgentPolicy } from './policy.ts'
import type { UrgentDefinition } from './types.ts'

export const urgentDefinition: UrgentDefinition = {
  kind: 'urgent',
  urgency: 0,
  detached: false,
  checkpointable: false,
  defaultSize: resources({ slots: 1 }),
  policy: urgentPolicy,
  targetType: () => 'runner'
}
