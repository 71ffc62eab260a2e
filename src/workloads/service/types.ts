/** Types of the `service` kind. */
import type { WorkloadDefinition } from '../workloadDefinition.ts'

export interface ServiceDefinition extends WorkloadDefinition {
  readonly kind: 'service'
  readonly urgency: 1
  readonly detached: true
  readonly checkpointable: false
}
