/** Types of the `gang` kind. */
import type { WorkloadDefinition } from '../workloadDefinition.ts'

export interface GangDefinition extends WorkloadDefinition {
  readonly kind: 'gang'
  readonly urgency: 1
  readonly detached: true
  readonly checkpointable: false
}
