/** Types of the `urgent` kind. */
import type { WorkloadDefinition } from '../workloadDefinition.ts'

export interface UrgentDefinition extends WorkloadDefinition {
  readonly kind: 'urgent'
  readonly urgency: 0
  readonly detached: false
  readonly checkpointable: false
}
