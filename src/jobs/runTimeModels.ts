/** The learned run times that the job log contains. */
import { z } from 'zod'
import type { RunTimeModelSummary } from './jobRecords.ts'

/** Bounds what a snapshot contains and a successor reads, to about 100 kB. */
const MAX_MODELS = 514
const MAX_POINTS = 20

const ratio = z.number().positive()
const modelSchema = z.object({
  queue: z.string(),
  position: z.number().int().nonnegative(),
  gang: z.boolean(),
  near: z.boolean(),
  count: z.number().int().positive(),
  mean: ratio,
  points: z.array(ratio).length(MAX_POINTS)
})

/**
 * Keeps the latest summary of each model. Malformed models are ignored, since jobs run without them.
 *
 * @example
 * models.apply({ type: 'run-times', models: [summary] })
 */
export class RunTimeModels {
  readonly #models = new Map<string, RunTimeModelSummary>()

  /** The models that changed last come last. */
  get all (): Iterable<RunTimeModelSummary> {
    return this.#models.values()
  }

  apply ({ models }: { readonly models: unknown }): void {
    if (!Array.isArray(models)) return
    for (const each of models as readonly unknown[]) {
      const { data: model } = modelSchema.safeParse(each)
      if (model === undefined) continue
      const key = `${model.queue}/${model.position}/${String(model.gang)}`
      this.#models.delete(key)
      this.#models.set(key, model)
    }
    for (const key of this.#models.keys()) {
      if (this.#models.size <= MAX_MODELS) break
      this.#models.delete(key)
    }
  }
}
