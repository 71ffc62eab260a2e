/** Learns run times from the runs that have ended. Handles queues whose declared run times are off by up to nine tenths. */
import { boundRunTimeMs } from '../../jobs/job.ts'
import type { RunTimeModelSummary, RunTimesRecord } from '../../jobs/jobRecords.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import { DecayingHistogram, fractionBelow, MIN_SAMPLES, quantileOf } from './decayingHistogram.ts'
import type { DistributionSummary } from './decayingHistogram.ts'
import type { RunTimes } from './runTimes.ts'

/** The factor varies as much as the times themselves, and one estimate serves all queues. */
const MIN_REMOTE_SAMPLES = 20
const MAX_REMOTE_FACTOR = 4
/** Steps of a job that are told apart by their position; later ones share the last model. */
const POSITIONS = 8
/** Bounds the memory: a model takes up to 12 kB. */
const MAX_MODELS = 512
/** Far runs are normalized into a model that no near run has reached for this long. */
const NEAR_EXPIRY_MS = 30_000
/** A model is stored again when its mean or median has changed by this ratio. */
const MIN_STORED_CHANGE = 0.05
/** Bounds the size of one record to 16 kB. */
const MAX_STORED_MODELS = 100
/** Weight of one run in the typical errors, which follow the last few hundred runs. */
const ERROR_WEIGHT = 0.01
/** Models of remote runs have names of their own in the record; no queue has an empty name. */
const REMOTE_KINDS = ['data', 'group'] as const
type RemoteKind = typeof REMOTE_KINDS[number]

/** A run that has ended as done. */
export interface EndedRun {
  readonly step: StepProgress
  readonly durationMs: number
  /** Whether it was away from the data of its step, or in a group on several racks. */
  readonly isRemote: boolean
  readonly nowMs: number
}

/** Steps that share their learned run times. */
interface Model {
  readonly queue: string
  readonly position: number
  readonly gang: boolean
  ratios: DecayingHistogram
  updatedAtMs: number
  /** Last near run; the ratios are of normalized far runs if there is none. */
  nearAtMs: number
  stored: DistributionSummary | undefined
}

/** Figures for the log and for metrics. */
export interface RunTimesStatus {
  /** Models with enough samples. */
  readonly learnedModels: number
  readonly remoteFactors: Readonly<Record<RemoteKind, number>>
  /** Typical factors by which declared and expected run times were off lately; 1 is exact. */
  readonly declaredErrorFactor: number
  readonly expectedErrorFactor: number
}

/**
 * Learns the ratio of actual to declared run time by queue, position of the step, and gang or not.
 *
 * @example
 * const runTimes = new LearnedRunTimes({ defaultRemoteFactor: 1.5 })
 * runTimes.learn({ step, durationMs, isRemote: false, nowMs })
 * runTimes.expectedMs(step)
 */
export class LearnedRunTimes implements RunTimes {
  readonly #defaultRemoteFactor: number
  /** By queue, then by position and gang. */
  readonly #models = new Map<string, (Model | undefined)[]>()
  #modelCount = 0
  /** Ratios of far to near run times. */
  readonly #remote: Record<RemoteKind, DecayingHistogram> = { data: new DecayingHistogram(), group: new DecayingHistogram() }
  readonly #storedRemote: Partial<Record<RemoteKind, DistributionSummary>> = {}

  /** Longest run of each step whose run times were learned from. */
  readonly #actualMs = new WeakMap<StepProgress, number>()
  /** Mean absolute logarithms of the ratios of estimated to actual run time. */
  #declaredError = 0
  #expectedError = 0

  constructor ({ defaultRemoteFactor }: { readonly defaultRemoteFactor: number }) {
    this.#defaultRemoteFactor = defaultRemoteFactor
  }

  expectedMs (step: StepProgress): number {
    const learned = this.#learned(step)
    return boundRunTimeMs(boundRunTimeMs(step.definition.estimateMs) * (learned?.mean ?? 1))
  }

  quantileMs (step: StepProgress, fraction: number): number {
    const learned = this.#learned(step)
    return boundRunTimeMs(boundRunTimeMs(step.definition.estimateMs) * (learned === undefined ? 1 : quantileOf(learned, fraction)))
  }

  remoteFactor (step: StepProgress): number {
    const { dataRack, sameRack } = step.definition
    if (dataRack === '' && !sameRack) return 1
    return this.#factorOf(kindOf(step))
  }

  /** The longest run of the step that has ended; undefined if none is known. */
  actualMs (step: StepProgress): number | undefined {
    return this.#actualMs.get(step)
  }

  /** Whether enough runs have ended for an estimate that is not the declared time. */
  isLearned (step: StepProgress): boolean {
    return this.#learned(step) !== undefined
  }

  /** The fraction of the runs of such steps that do not last longer than the given time near their data; undefined without samples. */
  fractionWithin (step: StepProgress, durationMs: number): number | undefined {
    const learned = this.#learned(step)
    return learned === undefined ? undefined : fractionBelow(learned, durationMs / boundRunTimeMs(step.definition.estimateMs))
  }

  /** Learns from a run that ended as done, without having resumed from a checkpoint. */
  learn ({ step, durationMs, isRemote, nowMs }: EndedRun): void {
    const { longRunning } = step.definition
    const estimateMs = boundRunTimeMs(step.definition.estimateMs)
    if (longRunning || !(estimateMs > 0) || !(durationMs >= 0)) return
    this.#recordErrors(step, durationMs / (isRemote ? this.remoteFactor(step) : 1))
    this.#actualMs.set(step, Math.max(durationMs, this.#actualMs.get(step) ?? 0))
    const model = this.#modelOf(step) ?? this.#addModel(step, nowMs)
    model.updatedAtMs = nowMs
    const ratio = durationMs / estimateMs
    if (!isRemote) {
      // Normalized far runs only stand in for near ones.
      if (model.nearAtMs === -Infinity && model.ratios.summary.count > 0) model.ratios = new DecayingHistogram()
      model.nearAtMs = nowMs
      return model.ratios.record(ratio, nowMs)
    }
    const kind = kindOf(step)
    const { count, mean } = model.ratios.summary
    if (nowMs - model.nearAtMs > NEAR_EXPIRY_MS) model.ratios.record(ratio / this.#factorOf(kind), nowMs)
    else if (count >= MIN_SAMPLES) this.#remote[kind].record(ratio / mean, nowMs)
  }

  get status (): RunTimesStatus {
    return {
      learnedModels: this.#allModels().filter(({ ratios }) => ratios.summary.count >= MIN_SAMPLES).length,
      remoteFactors: { data: this.#factorOf('data'), group: this.#factorOf('group') },
      declaredErrorFactor: Math.exp(this.#declaredError),
      expectedErrorFactor: Math.exp(this.#expectedError)
    }
  }

  /** Returns the models that have changed since they were last taken, for the log; undefined if none has. */
  takeChanges (): RunTimesRecord | undefined {
    const models: RunTimeModelSummary[] = []
    for (const kind of REMOTE_KINDS) {
      const { summary } = this.#remote[kind]
      if (summary.count < MIN_REMOTE_SAMPLES || !hasChanged(summary, this.#storedRemote[kind])) continue
      this.#storedRemote[kind] = summary
      models.push({ queue: '', position: REMOTE_KINDS.indexOf(kind), gang: false, near: false, ...summary })
    }
    // New models first, so that those that change all the time do not keep them out of the record.
    for (const model of [...this.#allModels()].sort((left, right) => Number(left.stored !== undefined) - Number(right.stored !== undefined))) {
      const { queue, position, gang, ratios: { summary } } = model
      if (models.length >= MAX_STORED_MODELS) break
      if (summary.count < MIN_SAMPLES || !hasChanged(summary, model.stored)) continue
      model.stored = summary
      models.push({ queue, position, gang, near: model.nearAtMs !== -Infinity, ...summary })
    }
    return models.length === 0 ? undefined : { type: 'run-times', models }
  }

  /** Continues with the models of an earlier coordinator. */
  restore (models: Iterable<RunTimeModelSummary>, nowMs: number): void {
    for (const summary of models) {
      const { queue, position, gang, near } = summary
      const ratios = DecayingHistogram.restore(summary)
      if (queue === '') {
        const kind = REMOTE_KINDS[position]
        if (kind === undefined) continue
        this.#remote[kind] = ratios
        this.#storedRemote[kind] = summary
      } else if (position < POSITIONS) {
        this.#insert({ queue, position, gang, ratios, updatedAtMs: nowMs, nearAtMs: near ? nowMs : -Infinity, stored: summary })
      }
    }
  }

  #recordErrors (step: StepProgress, durationMs: number): void {
    const errorOf = (estimateMs: number): number => Math.abs(Math.log(estimateMs / Math.max(durationMs, 1)))
    this.#declaredError += (errorOf(boundRunTimeMs(step.definition.estimateMs)) - this.#declaredError) * ERROR_WEIGHT
    this.#expectedError += (errorOf(this.expectedMs(step)) - this.#expectedError) * ERROR_WEIGHT
  }

  #factorOf (kind: RemoteKind): number {
    const { count, mean } = this.#remote[kind].summary
    return count < MIN_REMOTE_SAMPLES ? this.#defaultRemoteFactor : Math.min(Math.max(mean, 1), MAX_REMOTE_FACTOR)
  }

  #learned (step: StepProgress): DistributionSummary | undefined {
    const summary = this.#modelOf(step)?.ratios.summary
    return summary === undefined || summary.count < MIN_SAMPLES ? undefined : summary
  }

  #modelOf ({ job, number, definition }: StepProgress): Model | undefined {
    return this.#models.get(job.queue.name)?.[indexOf(number, definition.gang)]
  }

  #addModel ({ job, number, definition }: StepProgress, nowMs: number): Model {
    const model: Model = { queue: job.queue.name, position: Math.min(number, POSITIONS - 1), gang: definition.gang, ratios: new DecayingHistogram(), updatedAtMs: nowMs, nearAtMs: -Infinity, stored: undefined }
    this.#insert(model)
    return model
  }

  #insert (model: Model): void {
    const models = this.#models.get(model.queue) ?? []
    this.#models.set(model.queue, models)
    const index = indexOf(model.position, model.gang)
    if (models[index] === undefined) this.#modelCount += 1
    models[index] = model
    if (this.#modelCount > MAX_MODELS) this.#removeOldest(model)
  }

  #removeOldest (kept: Model): void {
    const oldest = this.#allModels().reduce((left, right) => right !== kept && (left === kept || right.updatedAtMs < left.updatedAtMs) ? right : left)
    const models = this.#models.get(oldest.queue)
    if (models === undefined) return
    models[indexOf(oldest.position, oldest.gang)] = undefined
    this.#modelCount -= 1
    if (models.every(model => model === undefined)) this.#models.delete(oldest.queue)
  }

  #allModels (): readonly Model[] {
    return [...this.#models.values()].flatMap(models => models.filter(model => model !== undefined))
  }
}

function kindOf ({ definition }: StepProgress): RemoteKind {
  return definition.sameRack ? 'group' : 'data'
}

function indexOf (position: number, gang: boolean): number {
  return Math.min(position, POSITIONS - 1) * 2 + (gang ? 1 : 0)
}

function hasChanged (now: DistributionSummary, stored: DistributionSummary | undefined): boolean {
  if (stored === undefined) return true
  const differs = (left: number, right: number): boolean => Math.abs(left - right) > right * MIN_STORED_CHANGE
  return differs(now.mean, stored.mean) || differs(quantileOf(now, 0.5), quantileOf(stored, 0.5))
}

/** Returns the queues with the lowest and the highest mean ratio of actual to declared run time, for the log. */
export function findExtremes ({ models }: RunTimesRecord): { readonly lowest?: object, readonly highest?: object } {
  const byMean = models.filter(({ queue }) => queue !== '').map(({ queue, position, gang, mean, count }) => ({ queue, position, gang, mean, count })).sort((left, right) => left.mean - right.mean)
  return { lowest: byMean[0], highest: byMean.at(-1) }
}
