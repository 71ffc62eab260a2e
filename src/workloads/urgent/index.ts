/** The `urgent` kind; only the registry imports it. */
export { urgentDefinition } from './definition.ts'
export { urgentPolicy } from './policy.ts'
export type { UrgentDefinition } from './types.ts'
