/** Schema of operations received from operators. It validates only their structure; validate.ts validates their meaning. */
import { z } from 'zod'
import type { Operation } from '../model/change.ts'
import { NAME_PATTERN, NAME_RULE } from './definition.ts'
import { parseBranch, PATH_RULE } from './paths.ts'

/** Maximum number of operations in a change. A change is stored as one value of at most 1 MB. */
export const MAX_OPERATIONS = 1_000
const MAX_NAMES = 100
const MAX_NAME_LENGTH = 253

const path = z.string().refine(text => parseBranch(text) !== undefined, { error: `not a branch: ${PATH_RULE}` })
const name = z.string().regex(NAME_PATTERN, { error: `not a name: ${NAME_RULE}` })
const settingName = z.string().min(1).max(MAX_NAME_LENGTH)
const drainFields = {
  scope: z.enum(['target', 'instance', 'dataCentre']),
  name: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._:/-]*$/, { error: 'not the name of a target, instance or data centre' }).max(MAX_NAME_LENGTH)
}

const operation = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('set'),
    path,
    values: z.record(settingName, z.union([z.string().max(MAX_NAME_LENGTH), z.number(), z.boolean()]))
  }),
  z.strictObject({ type: z.literal('unset'), path, names: z.array(settingName).min(1).max(MAX_NAMES) }),
  z.strictObject({ type: z.literal('removeBranch'), path: path.refine(text => text !== '/', { error: 'the root cannot be removed; unset its settings instead' }) }),
  z.strictObject({
    type: z.literal('createKey'),
    keyId: name,
    team: name,
    hash: z.string().regex(/^[0-9a-f]{64}$/, { error: 'not a SHA-256 hash: send 64 hexadecimal digits in lower case, never the key itself' })
  }),
  z.strictObject({ type: z.literal('withdrawKey'), keyId: name }),
  z.strictObject({ type: z.literal('drain'), ...drainFields }),
  z.strictObject({ type: z.literal('undrain'), ...drainFields })
])

/** A non-empty list of well-formed operations. */
export const operationsSchema = z.array(operation).min(1).max(MAX_OPERATIONS) as unknown as z.ZodType<readonly Operation[]>

/** Formats validation issues with their paths, such as `operations[0].hash: not a SHA-256 hash`. */
export function formatIssues (root: string, error: z.ZodError): readonly string[] {
  return error.issues.map(({ path: steps, message }) => {
    const place = steps.map(step => typeof step === 'number' ? `[${step}]` : `.${String(step)}`).join('')
    return `${root}${place}: ${message}`
  })
}
