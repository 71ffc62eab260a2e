/** Steps and run times for tests of the forecast. */
import type { QueueSettings } from '../../../jobs/desiredState.ts'
import type { StepDefinition } from '../../../jobs/job.ts'
import { JobProgress } from '../../../jobs/jobProgress.ts'
import type { StepProgress } from '../../../jobs/stepProgress.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../../../jobs/testing/definitions.ts'

/** Creates the only step of a job that was accepted at 0. */
export function stepOf (overrides: Partial<StepDefinition>, queue: Partial<QueueSettings> = {}): StepProgress {
  const { count = 1 } = overrides
  const [step] = new JobProgress(createJobRecord('job', [createStep(count, overrides)]), { ...TEST_QUEUE, ...queue }, 0).steps
  if (step === undefined) throw new Error('the job has no step')
  return step
}

export interface RunTimeDistribution {
  readonly declaredMs: number
  /** Runs take the declared time, more or less by up to this fraction of it. */
  readonly deviation: number
  readonly tailFraction: number
  /** Runs of the tail take this multiple of the declared time. */
  readonly tailFactor: number
  readonly seed: number
}

/** Returns pseudorandom run times that are the same for the same seed. */
export function generateDurations (count: number, { declaredMs, deviation, tailFraction, tailFactor, seed }: RunTimeDistribution): readonly number[] {
  let state = seed
  const random = (): number => {
    state = (state * 48_271) % 2_147_483_647
    return state / 2_147_483_647
  }
  random()
  return Array.from({ length: count }, () => random() < tailFraction ? declaredMs * tailFactor : declaredMs * (1 - deviation + 2 * deviation * random()))
}
