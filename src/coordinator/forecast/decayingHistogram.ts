/** A distribution that follows its samples: older ones count for half a minute, or until there are enough newer ones. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** Values are recorded in thousandths, from 0.001 to 100; more extreme ones count as these. */
const UNIT = 1_000
const MAX_VALUE = 100 * UNIT
const SIGNIFICANT_DIGITS = 2
/** Two generations count, so that a change of the workload is followed within 20 to 30 s. */
const GENERATION_MS = 10_000
/** A generation with fewer samples goes on, since a slow queue would otherwise never have an estimate. */
const MIN_GENERATION_SAMPLES = 16
/**
 * There is no summary of fewer samples: the mean of ten is off by a fifth for run times that are off by up to 0.9, and the
 * library takes ten times as long for the quantiles of very few.
 */
export const MIN_SAMPLES = 10
/** The summary is computed again after this time, or when the first samples have grown by this factor. */
const SUMMARY_MS = 1_000
const SUMMARY_GROWTH = 1.1
/** Points of a summary; the last one shows a tail of 3 in 100 samples. */
export const SUMMARY_POINTS = 20
/** Samples that a restored summary counts for at most, so that it is soon outweighed by new ones. */
const MAX_RESTORED_SAMPLES = 60

/** A distribution in a few numbers, as it is stored in the log. */
export interface DistributionSummary {
  readonly count: number
  readonly mean: number
  /** Quantiles of the fractions 0.025, 0.075, ..., 0.975. */
  readonly points: readonly number[]
}

const EMPTY: DistributionSummary = { count: 0, mean: 1, points: [] }

interface Generation {
  readonly histogram: Histogram
  /** Of the recorded values: the library computes a mean in 0.4 ms, by scanning all counts. */
  sum: number
}

/** Reused for all summaries, since the allocation takes longer than the sum. */
const merged = createHistogram()

/**
 * Records samples in two generations of histograms.
 *
 * @example
 * const ratios = new DecayingHistogram()
 * ratios.record(actualMs / declaredMs, nowMs)
 * ratios.summary.mean
 */
export class DecayingHistogram {
  #current: Generation = { histogram: createHistogram(), sum: 0 }
  #previous: Generation | undefined
  #generationStartedAtMs: number | undefined
  #summary = EMPTY
  #summarizedAtMs = -Infinity
  #count = 0

  /** Returns a distribution that equals the summary. */
  static restore ({ count, points }: DistributionSummary): DecayingHistogram {
    const restored = new DecayingHistogram()
    const weight = Math.max(1, Math.round(Math.min(count, MAX_RESTORED_SAMPLES) / SUMMARY_POINTS))
    for (const point of points) restored.#current.histogram.recordValueWithCount(toUnits(point), weight)
    restored.#current.sum = points.reduce((sum, point) => sum + toUnits(point) * weight, 0)
    restored.#summarize()
    return restored
  }

  /** At most a second old; empty with too few samples. */
  get summary (): DistributionSummary {
    return this.#summary
  }

  record (value: number, nowMs: number): void {
    this.#startGenerationIfDue(nowMs)
    const units = toUnits(value)
    this.#current.histogram.recordValue(units)
    this.#current.sum += units
    this.#count += 1
    if (this.#count < MIN_SAMPLES) return
    const isDue = nowMs - this.#summarizedAtMs >= SUMMARY_MS || this.#count >= SUMMARY_GROWTH * this.#summary.count
    if (!isDue) return
    this.#summarizedAtMs = nowMs
    this.#summarize()
  }

  #startGenerationIfDue (nowMs: number): void {
    this.#generationStartedAtMs ??= nowMs
    if (nowMs - this.#generationStartedAtMs < GENERATION_MS || this.#current.histogram.totalCount < MIN_GENERATION_SAMPLES) return
    const histogram = this.#previous?.histogram ?? createHistogram()
    histogram.reset()
    this.#previous = this.#current
    this.#current = { histogram, sum: 0 }
    this.#generationStartedAtMs = nowMs
  }

  #summarize (): void {
    merged.reset()
    merged.add(this.#current.histogram)
    if (this.#previous !== undefined) merged.add(this.#previous.histogram)
    const points: number[] = []
    for (let point = 0; point < SUMMARY_POINTS; point++) points.push(merged.getValueAtPercentile((point + 0.5) * 100 / SUMMARY_POINTS) / UNIT)
    const sum = this.#current.sum + (this.#previous?.sum ?? 0)
    this.#count = merged.totalCount
    this.#summary = { count: merged.totalCount, mean: Math.round(sum / merged.totalCount) / UNIT, points }
  }
}

/** Returns the value that the fraction of the samples does not exceed. */
export function quantileOf ({ points }: DistributionSummary, fraction: number): number {
  const position = Math.min(Math.max(fraction * SUMMARY_POINTS - 0.5, 0), points.length - 1)
  const lower = points[Math.floor(position)] ?? 1
  const upper = points[Math.ceil(position)] ?? lower
  return lower + (upper - lower) * (position - Math.floor(position))
}

/** Returns the fraction of the samples that do not exceed the value. */
export function fractionBelow ({ points }: DistributionSummary, value: number): number {
  let below = 0
  while (below < points.length && (points[below] as number) < value) below += 1
  return below / SUMMARY_POINTS
}

function toUnits (value: number): number {
  return Math.min(Math.max(Math.round(value * UNIT), 1), MAX_VALUE)
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_VALUE, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS, bitBucketSize: 32 })
}
