/** Long-running services; the caller is answered when the service has started. */
import { resources } from '../../model/resources.ts'
import { servicePolicy } from './policy.ts'
import type { ServiceDefinition } from './types.ts'

export const serviceDefinition: ServiceDefinition = {
  kind: 'service',
  urgency: 1,
  detached: true,
  checkpointable: false,
  defaultSize: resources({ processors: 1_000, memory: 1_024 }),
  policy: servicePolicy,
  targetType: () => 'worker'
}
