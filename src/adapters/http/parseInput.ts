/** Validates input of the stand-ins against a schema. */
import { z } from 'zod'
import { InputError } from '../../model/errors.ts'

/** Returns the parsed value, or throws an `InputError` that names the source and each invalid field. */
export function parseInput<T> (schema: z.ZodType<T>, value: unknown, source: string): T {
  const parsed = schema.safeParse(value)
  if (!parsed.success) throw new InputError(`${source}: ${z.prettifyError(parsed.error)}`)
  return parsed.data
}
