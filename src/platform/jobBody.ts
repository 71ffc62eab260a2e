/** Decodes the request body with which a caller submits a job. */
import { z } from 'zod'
import { boundRunTimeMs } from '../jobs/job.ts'
import type { JobDefinition } from '../jobs/job.ts'
import { InputError } from '../model/errors.ts'
import { decodeResources, resourcesSchema } from './resources.ts'

const stepSchema = resourcesSchema.extend({
  count: z.number().int().positive(),
  estimate_ms: z.number().default(0),
  after: z.array(z.number().int().nonnegative()).default([]),
  gang: z.boolean().default(false),
  rack_local: z.boolean().default(false),
  constraints: z.string().default(''),
  affinity: z.string().default(''),
  anti_affinity: z.number().default(0),
  long_running: z.boolean().default(false),
  fill_count: z.union([z.boolean(), z.number()]).default(false),
  target_ms: z.number().default(0)
})

/** Tasks of all steps and occurrences; each takes memory at the coordinator from the acceptance of its job on. */
const MAX_TASKS_PER_JOB = 20_000

const bodySchema = z.object({
  spec: z.string().default(''),
  phases: z.array(stepSchema).min(1),
  repeat_count: z.number().int().nonnegative().default(0),
  start_at_ms: z.number().default(0),
  interval_ms: z.number().default(0)
})

/**
 * Validates and decodes the body of a job; throws an `InputError` that names each invalid field.
 *
 * @example
 * decodeJobBody({ spec: 'x', phases: [{ count: 2, cpu: 500, mem_mb: 64 }] })
 */
export function decodeJobBody (body: unknown): JobDefinition {
  const parsed = bodySchema.safeParse(body)
  if (!parsed.success) throw new InputError(`the job can not be read: ${z.prettifyError(parsed.error)}`)
  const job = parsed.data
  const tasks = job.phases.reduce((sum, { count }) => sum + count, 0) * Math.max(1, job.repeat_count)
  if (tasks > MAX_TASKS_PER_JOB) throw new InputError(`the job has ${tasks} tasks; at most ${MAX_TASKS_PER_JOB} are possible`)
  const steps = job.phases.map((step, position) => {
    if (step.after.some(earlier => earlier >= position)) throw new InputError(`step ${position} of the job depends on a later step`)
    return {
      count: step.count,
      size: decodeResources(step),
      estimateMs: boundRunTimeMs(step.estimate_ms),
      after: [...new Set(step.after)],
      gang: step.gang,
      sameRack: step.rack_local,
      requiredLabel: step.constraints,
      dataRack: step.affinity,
      tasksPerTarget: step.anti_affinity,
      longRunning: step.long_running,
      fillsSpareProcessors: Boolean(step.fill_count),
      responseTargetMs: step.target_ms
    }
  })
  return {
    spec: job.spec,
    steps,
    ...(job.repeat_count > 0
      ? { repetition: { count: job.repeat_count, firstWallMs: job.start_at_ms, intervalMs: job.interval_ms } }
      : {})
  }
}
