/** Validates callers' JSON against the request schema. */
import { z } from 'zod'
import { RefusalError } from '../../model/errors.ts'
import type { WorkRequest } from '../../model/request.ts'

const IDENTITY_LIMIT = 128
/** Maximum number of tasks in a gang, so that placing one request does not take as long as placing thousands. */
const TASK_LIMIT = 1_000
const DEADLINE_LIMIT_MS = 24 * 60 * 60 * 1_000

const identity = z.string().min(1).max(IDENTITY_LIMIT).regex(/^[\w.:@+-]+$/, 'may contain only letters, digits and . : @ + - _')
/** Keeps sums over a full queue exact: beyond 2^53 and near the largest number, addition and subtraction lose precision. */
const AMOUNT_LIMIT = 1_000_000_000
const amount = z.number().min(0).max(AMOUNT_LIMIT)

const sizeSchema = z.strictObject({
  slots: amount.int().default(0),
  processors: amount.default(0),
  memory: amount.default(0),
  accelerators: amount.int().default(0)
})

export const requestSchema = z.strictObject({
  id: identity,
  kind: z.enum(['urgent', 'batch', 'service', 'gang']),
  name: identity.default('default'),
  queue: identity.optional(),
  size: sizeSchema.optional(),
  tasks: z.int().min(1).max(TASK_LIMIT).default(1),
  deadlineMs: z.number().positive().max(DEADLINE_LIMIT_MS).optional(),
  repeatable: z.boolean(),
  payload: z.unknown().default(null)
}).refine(request => request.tasks === 1 || request.kind === 'gang', { path: ['tasks'], message: 'only a gang may have more than one task' })

export type CallerRequest = z.infer<typeof requestSchema>

/** Values for fields that the caller omitted, taken from the workload kind and the team's settings. */
export interface RequestDefaults {
  readonly size: WorkRequest['size']
  readonly deadlineMs: number
}

/**
 * Returns the validated request, or throws a refusal that names each invalid field.
 *
 * @example
 * parseRequest({ id: 'quote-17', kind: 'urgent', repeatable: true })
 */
export function parseRequest (body: unknown): CallerRequest {
  const result = requestSchema.safeParse(body)
  if (result.success) return result.data
  const problems = result.error.issues.map(issue => `${issue.path.join('.') || 'request'}: ${issue.message}`)
  throw new RefusalError(`the request is invalid: ${problems.join('; ')}`, { code: 'invalid', verdict: 'not-run' })
}

/** Fills in the size and the deadline if the caller omitted them. */
export function completeRequest (request: CallerRequest, defaults: RequestDefaults): WorkRequest {
  return { ...request, size: request.size ?? defaults.size, deadlineMs: request.deadlineMs ?? defaults.deadlineMs }
}
