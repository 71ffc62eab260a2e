/** Types of the `batch` kind. */
import type { WorkloadDefinition } from '../workloadDefinition.ts'

export interface BatchDefinition extends WorkloadDefinition {
  readonly kind: 'batch'
  readonly urgency: 2
  readonly detached: false
  readonly checkpointable: true
}
