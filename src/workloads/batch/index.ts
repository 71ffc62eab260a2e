/** The `batch` kind; only the registry imports it. */
export { batchDefinition } from './definition.ts'
export { batchPolicy } from './policy.ts'
export type { BatchDefinition } from './types.ts'
