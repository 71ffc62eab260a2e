/** Reads records of the store: a value that can't be read is an error, never an empty record. */
import { z } from 'zod'
import { InputError } from '../model/errors.ts'

/**
 * Returns the record as it is stored, fields of newer versions included, or throws `InputError`
 * that names the record and each bad place.
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

/** Checks a record that arrived as a value. */
export function checkRecord<Value> (schema: z.ZodType<Value>, name: string, json: unknown): Value {
  const parsed = schema.safeParse(json)
  if (!parsed.success) throw new InputError(`the ${name} can not be read: ${z.prettifyError(parsed.error)}`)
  return parsed.data
}
