/** Schemas, statuses and headers of the stand-in target protocol, shared by client and server. */
import { z } from 'zod'
import type { TargetRefusal } from '../../ports/targetClient.ts'

export const resourcesSchema = z.object({
  slots: z.number().nonnegative(),
  processors: z.number().nonnegative(),
  memory: z.number().nonnegative(),
  accelerators: z.number().nonnegative()
})

const kindSchema = z.enum(['urgent', 'batch', 'service', 'gang'])

const epochSchema = z.number().int().nonnegative()

export const startSchema = z.object({
  taskId: z.string().min(1),
  team: z.string(),
  requestId: z.string(),
  kind: kindSchema,
  name: z.string(),
  size: resourcesSchema,
  payload: z.unknown().default(null),
  epoch: epochSchema,
  startByWallMs: z.number(),
  leaseMs: z.number().positive(),
  detached: z.boolean()
})

export const fenceSchema = z.object({ epoch: epochSchema })

export const renewSchema = z.object({ epoch: epochSchema, leaseMs: z.number().positive() })

export const reportSchema = z.object({
  taskId: z.string(),
  team: z.string(),
  kind: kindSchema,
  requestId: z.string(),
  name: z.string(),
  size: resourcesSchema,
  epoch: epochSchema,
  state: z.enum(['running', 'checkpointed', 'finished', 'failed', 'stopped']),
  usage: resourcesSchema.optional()
})

export const fencedSchema = z.object({ tasks: z.array(reportSchema) })

export const refusedFenceSchema = z.object({ highestEpoch: epochSchema })

export const usageSchema = z.object({ tasks: z.array(reportSchema) })

/** Response body of a start whose task failed. */
export const failureSchema = z.object({ message: z.string() })

/** Response body for a task that the target does not know; distinguishes it from a 404 of another server. */
export const unknownTaskSchema = z.object({ refusal: z.literal('unknown-task') })

/** HTTP status of each refusal; 404 is also the response to calls about an unknown task. */
export const REFUSAL_STATUS: Readonly<Record<TargetRefusal, number>> = {
  'no-capacity': 409,
  leaving: 410,
  fenced: 412,
  'too-late': 408,
  'unknown-task': 404
}

/** HTTP status of a start whose task failed. */
export const FAILED_STATUS = 500

/** Header in which the target echoes the task identity, percent-encoded. */
export const TASK_ID_HEADER = 'x-task-id'
