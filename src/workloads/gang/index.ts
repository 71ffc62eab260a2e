/** The `gang` kind; only the registry imports it. */
export { gangDefinition } from './definition.ts'
export { gangPolicy } from './policy.ts'
export type { GangDefinition } from './types.ts'
