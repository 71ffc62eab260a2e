/** Parses records of the store. An unreadable value is an error and is never treated as an empty record. */
import { z } from 'zod'
import { InputError } from '../model/errors.ts'

/**
 * Parses a stored record, keeping fields that newer versions have added where the schema is loose. Throws an
 * `InputError` that names the record and each invalid field.
 *
 * @example
 * parseRecord(ownershipSchema, 'ownership record', entry.value)
 */
export function parseRecord<Value> (schema: z.ZodType<Value>, name: string, value: string): Value {
  let json: unknown
  try {
    json = JSON.parse(value)
  } catch (error) {
    throw new InputError(`the ${name} is not JSON:`, { cause: error })
  }
  return checkRecord(schema, name, json)
}

/** Validates a record that has already been parsed from JSON. */
export function checkRecord<Value> (schema: z.ZodType<Value>, name: string, json: unknown): Value {
  const parsed = schema.safeParse(json)
  if (!parsed.success) throw new InputError(`the ${name} can not be read: ${z.prettifyError(parsed.error)}`)
  return parsed.data
}
