/** The `service` kind; only the registry imports it. */
export { serviceDefinition } from './definition.ts'
export { servicePolicy } from './policy.ts'
export type { ServiceDefinition } from './types.ts'
