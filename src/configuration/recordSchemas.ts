/** Schemas of configuration records, as read from the store and from peer responses. */
import { z } from 'zod'
import type { Change, ConfigurationSnapshot } from '../model/change.ts'
import type { InstanceRef } from '../model/identity.ts'
import { checkRecord } from '../ports/storeRecord.ts'

const pathSchema = z.string().startsWith('/')
const valuesSchema = z.record(z.string(), z.union([z.string(), z.number(), z.boolean()]))
const scopeSchema = z.enum(['target', 'instance', 'dataCentre'])
const drainMarkFields = { scope: scopeSchema, name: z.string() }

/** Validates only the structure: the meaning of an operation was validated when its change was accepted. */
const operationSchema = z.discriminatedUnion('type', [
  z.looseObject({ type: z.literal('set'), path: pathSchema, values: valuesSchema }),
  z.looseObject({ type: z.literal('unset'), path: pathSchema, names: z.array(z.string()) }),
  z.looseObject({ type: z.literal('removeBranch'), path: pathSchema }),
  z.looseObject({ type: z.literal('createKey'), keyId: z.string(), team: z.string(), hash: z.string() }),
  z.looseObject({ type: z.literal('withdrawKey'), keyId: z.string() }),
  z.looseObject({ type: z.literal('drain'), ...drainMarkFields }),
  z.looseObject({ type: z.literal('undrain'), ...drainMarkFields })
])

export const changeSchema = z.looseObject({
  id: z.string(),
  version: z.int().min(1),
  baseVersion: z.int().min(0),
  operator: z.string(),
  acceptedAt: z.number(),
  operations: z.array(operationSchema)
}) as unknown as z.ZodType<Change>

export const snapshotSchema = z.looseObject({
  version: z.int().min(0),
  settings: z.record(pathSchema, valuesSchema),
  keys: z.array(z.looseObject({ keyId: z.string(), team: z.string(), hash: z.string(), withdrawn: z.boolean() })),
  drains: z.array(z.looseObject(drainMarkFields)),
  recentChangeIds: z.array(z.string())
}) as unknown as z.ZodType<ConfigurationSnapshot>

/** The lowest version whose change record has not been deleted by compaction. */
export const floorSchema = z.int().min(1)

export const acceptorsSchema = z.array(z.looseObject({
  ref: z.looseObject({ name: z.string().min(1), incarnation: z.string().min(1) }) as unknown as z.ZodType<InstanceRef>,
  dataCentre: z.string(),
  peerAddress: z.string()
}))

/** Validates a change received from a peer. */
export function checkChange (json: unknown): Change {
  return checkRecord(changeSchema, 'change of a peer', json)
}

/** Validates a snapshot received from a peer. */
export function checkSnapshot (json: unknown): ConfigurationSnapshot {
  return checkRecord(snapshotSchema, 'configuration of a peer', json)
}
