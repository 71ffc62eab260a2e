/** The allotment record of one team: its limit, and how much of it each incarnation holds. */
import { z } from 'zod'
import type { IncarnationKey } from '../../model/identity.ts'
import { addResources, DIMENSIONS, isEmpty, NO_RESOURCES, subtractResources } from '../../model/resources.ts'
import type { Dimension, Limit, Resources } from '../../model/resources.ts'
import { parseRecord } from '../../ports/storeRecord.ts'

export interface AllotmentEntry {
  readonly dataCentre: string
  /** At least the amount that the incarnation's tasks may use and the usage of tasks on its targets; zero in unlimited dimensions. */
  readonly amount: Resources
  /** Number of the holder's own last change; shows it whether a change whose answer was lost took effect. */
  readonly sequence: number
}

export interface AllotmentRecord {
  readonly limit: Limit
  /** Version of the configuration that set the limit. */
  readonly limitVersion: number
  readonly holders: Readonly<Record<IncarnationKey, AllotmentEntry>>
}

export const EMPTY_ALLOTMENT: AllotmentRecord = { limit: {}, limitVersion: 0, holders: {} }

const amountSchema = z.number().min(0)
const vectorSchema = z.looseObject({ slots: amountSchema, processors: amountSchema, memory: amountSchema, accelerators: amountSchema })

const allotmentSchema = z.looseObject({
  limit: vectorSchema.partial(),
  limitVersion: z.int().min(0),
  holders: z.record(z.string(), z.looseObject({ dataCentre: z.string(), amount: vectorSchema, sequence: z.int().min(0) }))
}) as unknown as z.ZodType<AllotmentRecord>

export const ALLOTMENT_PREFIX = 'allotment/'

export function allotmentKey (team: string): string {
  return `${ALLOTMENT_PREFIX}${team}`
}

export function parseAllotment (value: string | undefined): AllotmentRecord {
  if (value === undefined) return EMPTY_ALLOTMENT
  return parseRecord(allotmentSchema, 'allotment record', value)
}

export function serialiseAllotment (record: AllotmentRecord): string {
  return JSON.stringify(record)
}

export function sumHolders (record: AllotmentRecord): Resources {
  return Object.values(record.holders).reduce((sum, entry) => addResources(sum, entry.amount), NO_RESOURCES)
}

/** The part of the limit that no incarnation holds: negative if the sum exceeds the limit, infinite in unlimited dimensions. */
export function freePool (record: AllotmentRecord): Resources {
  const sum = sumHolders(record)
  return buildResources(dimension => (record.limit[dimension] ?? Infinity) - sum[dimension])
}

export function setHolder (record: AllotmentRecord, key: IncarnationKey, entry: AllotmentEntry | undefined): AllotmentRecord {
  const { [key]: _replaced, ...others } = record.holders
  return { ...record, holders: entry === undefined ? others : { ...others, [key]: entry } }
}

export function buildResources (compute: (dimension: Dimension) => number): Resources {
  const [slots, processors, memory, accelerators] = DIMENSIONS.map(compute) as [number, number, number, number]
  return { slots, processors, memory, accelerators }
}

export function equalAmounts (left: Resources, right: Resources): boolean {
  return isEmpty(subtractResources(left, right))
}
