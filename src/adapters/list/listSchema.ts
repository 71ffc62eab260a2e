/** Schemas of the platform's instance list, for HTTP responses and files. */
import { z } from 'zod'
import type { TargetInfo } from '../../model/target.ts'
import type { ListSnapshot } from '../../ports/instanceList.ts'
import { parseInput } from '../http/parseInput.ts'

/** Exceeds the capacity of any target; larger amounts would make sums over the fleet inexact. */
const MAX_AMOUNT = 1e12
const amountSchema = z.number().nonnegative().max(MAX_AMOUNT).default(0)

const resourcesSchema = z.object({
  slots: amountSchema,
  processors: amountSchema,
  memory: amountSchema,
  accelerators: amountSchema
})

const targetSchema = z.object({
  id: z.string().min(1),
  type: z.enum(['runner', 'worker']),
  address: z.string().min(1),
  dataCentre: z.string().min(1),
  region: z.string().min(1),
  rack: z.string(),
  capacity: resourcesSchema,
  connections: z.number().int().positive(),
  features: z.object({
    fencing: z.boolean(),
    startBy: z.boolean(),
    inventory: z.boolean(),
    checkpoint: z.boolean(),
    remembersEnded: z.boolean().optional()
  }),
  leaving: z.boolean().default(false)
})

const instanceSchema = z.object({
  name: z.string().min(1),
  incarnation: z.string().min(1).optional(),
  dataCentre: z.string().min(1),
  region: z.string().min(1),
  peerAddress: z.string().min(1),
  leaving: z.boolean().default(false)
})

const snapshotSchema = z.object({ instances: z.array(instanceSchema), targets: z.array(targetSchema) })

/**
 * Validates an untrusted list; omitted resource dimensions are zero.
 *
 * @example
 * const snapshot = parseListSnapshot(JSON.parse(text), 'instances.json')
 */
export function parseListSnapshot (value: unknown, source: string): ListSnapshot {
  return parseInput(snapshotSchema, value, source)
}

/** Validates an untrusted array of targets. */
export function parseTargets (value: unknown, source: string): readonly TargetInfo[] {
  return parseInput(z.array(targetSchema), value, source)
}
