/** Registry of all kinds of work. */
import type { KindName } from '../model/request.ts'
import { batchDefinition } from './batch/index.ts'
import { gangDefinition } from './gang/index.ts'
import { serviceDefinition } from './service/index.ts'
import { urgentDefinition } from './urgent/index.ts'
import type { WorkloadDefinition } from './workloadDefinition.ts'

export type { PlacementCandidate, PlacementContext, PlacementPolicy, Urgency, WorkloadDefinition } from './workloadDefinition.ts'

const definitions: readonly WorkloadDefinition[] = [urgentDefinition, batchDefinition, serviceDefinition, gangDefinition]

export const workloads: ReadonlyMap<KindName, WorkloadDefinition> =
  new Map(definitions.map(definition => [definition.kind, definition]))

/**
 * Returns the definition of a kind; throws a `TypeError` for an unknown kind.
 *
 * @example
 * findWorkload('urgent').targetType(resources({ slots: 1 })) // 'runner'
 */
export function findWorkload (kind: KindName): WorkloadDefinition {
  const definition = workloads.get(kind)
  if (definition === undefined) throw new TypeError(`unknown kind of work: ${kind}`)
  return definition
}
