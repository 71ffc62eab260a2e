/** Decodes the desired state that the operators write to the store. */
import { z } from 'zod'
import type { DesiredState } from '../jobs/desiredState.ts'
import { InputError } from '../model/errors.ts'
import { resourcesSchema, decodeResources } from './resources.ts'

/** Prefix of all keys that the operator of the platform writes. */
export const OPERATOR_PREFIX = 'op/'
export const DESIRED_STATE_KEY = 'op/config'
/** Followed by the name of a data centre to which nothing more is to be sent. */
export const EVACUATION_PREFIX = 'op/evacuate/'

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  service: z.string(),
  priority: z.number().default(0),
  max_attempts: z.number().default(1),
  stretch_factor: z.number().default(1),
  target_latency_ms: z.number().default(1_000),
  timeout_ms: z.number().default(3_000),
  anonymous: z.boolean().default(false),
  recommendation: z.object({ decision_ms: z.number(), period_ms: z.number(), validity_ms: z.number() }).nullish()
})

export const desiredStateSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema).default([]),
  services: z.array(z.object({ name: z.string(), standby: z.boolean().default(false) })).default([]),
  limits: z.object({ max_body_bytes: z.number().default(262_144) }).default({ max_body_bytes: 262_144 }),
  tenants: z.array(z.object({
    name: z.string(),
    api_keys: z.array(z.string()).default([]),
    weight: z.number().default(1),
    cap: resourcesSchema.default({ cpu: 0, mem_mb: 0, gpu: 0 })
  })).default([])
})

/**
 * Parses the stored text; throws an `InputError` if it is not a valid desired state.
 *
 * @example
 * const state = parseDesiredState(item.value)
 */
export function parseDesiredState (text: string): DesiredState {
  let raw: unknown
  try {
    raw = JSON.parse(text)
  } catch (error) {
    throw new InputError('the desired state is not valid JSON:', { cause: error })
  }
  const parsed = desiredStateSchema.safeParse(raw)
  if (!parsed.success) throw new InputError(`the desired state is invalid: ${z.prettifyError(parsed.error)}`)
  return decodeDesiredState(parsed.data)
}

export function decodeDesiredState ({ version, routes, services, limits, tenants }: z.infer<typeof desiredStateSchema>): DesiredState {
  return {
    version,
    queues: routes.map(decodeQueue),
    services: services.filter(service => !service.standby).map(service => service.name),
    teams: tenants.map(tenant => ({
      name: tenant.name, keys: tenant.api_keys, weight: tenant.weight, cap: decodeResources(tenant.cap)
    })),
    maximumBodyBytes: limits.max_body_bytes
  }
}

function decodeQueue (route: z.infer<typeof routeSchema>): DesiredState['queues'][number] {
  const { recommendation } = route
  return {
    name: route.name,
    host: route.host,
    pathPrefix: route.prefix,
    service: route.service,
    priority: route.priority,
    maximumFailures: route.max_attempts,
    stretchFactor: route.stretch_factor,
    latencyObjectiveMs: route.target_latency_ms,
    timeoutMs: route.timeout_ms,
    anonymous: route.anonymous,
    ...(recommendation == null
      ? {}
      : { advice: { decisionMs: recommendation.decision_ms, perTargetMs: recommendation.period_ms, ticketValidityMs: recommendation.validity_ms } })
  }
}
