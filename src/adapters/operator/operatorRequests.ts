/** Parsing, validation and authentication of operators' requests. */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { z } from 'zod'
import { InputError } from '../../model/errors.ts'
import type { ChangeSubmission } from '../../observability/operatorApi.ts'
import { formatIssues } from '../../settings/operationSchema.ts'

/** Maximum body size; a change must fit into one value of the store. */
export const MAX_BODY_BYTES = 1_048_576
/** Maximum time that an operator may wait for confirmations. */
export const MAX_WAIT_MS = 60_000

const submissionSchema = z.strictObject({
  id: z.string().regex(/^[A-Za-z0-9-]{8,64}$/, { error: 'use 8 to 64 letters, digits and hyphens' }),
  baseVersion: z.int().min(0),
  operator: z.string().trim().min(1).max(100),
  operations: z.array(z.unknown()),
  waitMs: z.int().min(0).max(MAX_WAIT_MS).optional()
})

const drainSchema = z.strictObject({ scope: z.literal('self') })

/** The body exceeds `MAX_BODY_BYTES`. */
export class BodyTooLargeError extends Error {}

/** Reads a JSON body of limited size. */
export async function readJsonBody (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  let byteCount = 0
  for await (const chunk of request) {
    byteCount += (chunk as Buffer).length
    if (byteCount > MAX_BODY_BYTES) throw new BodyTooLargeError(`the request body is larger than ${MAX_BODY_BYTES} bytes`)
    chunks.push(chunk as Buffer)
  }
  try {
    return JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(Buffer.concat(chunks)))
  } catch {
    throw new InputError('the request body is not valid JSON in UTF-8')
  }
}

function parseBody<Value> (schema: z.ZodType<Value>, body: unknown): Value {
  const result = schema.safeParse(body)
  if (!result.success) throw new InputError(formatIssues('body', result.error).join('\n'))
  return result.data
}

/** Validates the envelope of a submission; its operations are validated later, against the active configuration. */
export function parseSubmission (body: unknown): ChangeSubmission {
  return parseBody(submissionSchema, body) as ChangeSubmission
}

export function validateDrain (body: unknown): void {
  parseBody(drainSchema, body)
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

/** Compares the bearer token in constant time. */
export function hasValidToken (request: IncomingMessage, token: string): boolean {
  const [scheme, given = ''] = (request.headers.authorization ?? '').split(' ')
  const matches = timingSafeEqual(digest(given), digest(token))
  return matches && scheme?.toLowerCase() === 'bearer'
}
