/** Estimates the resources that tasks actually use, by team, kind and name, from delayed usage reports. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { mapResources, minimumResources } from '../../model/resources.ts'
import type { KindName } from '../../model/request.ts'
import type { Resources } from '../../model/resources.ts'

/** Dimensions whose usage is measured. Slots are a protocol limit and are reserved as declared. */
const MEASURED_DIMENSIONS = ['processors', 'memory', 'accelerators'] as const
type MeasuredDimension = typeof MEASURED_DIMENSIONS[number]

/** Minimum number of reports for an estimate; fewer are not enough for a 95th percentile. */
export const MINIMUM_REPORTS = 20
/** A new window starts after this many reports, so that estimates follow changes in usage. */
export const REPORTS_PER_WINDOW = 1_000
/** Bounds memory: a group whose tasks vary widely takes about 14 KB. */
export const MAXIMUM_GROUPS = 500

const PERCENTILE = 95
const HEADROOM = 1.1
/** Histogram units per resource unit. Accelerators are recorded in thousandths because histograms store integers. */
const HISTOGRAM_UNITS: Readonly<Record<MeasuredDimension, number>> = { processors: 1, memory: 1, accelerators: 1_000 }

/** Usage in one dimension: the current window and the result of the last full window. */
class UsageWindow {
  readonly #histogram: Histogram = build({ bitBucketSize: 16, numberOfSignificantValueDigits: 2, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: 2 })
  readonly #unit: number
  #previousWindow: UsageLevel | undefined

  constructor (unit: number) {
    this.#unit = unit
  }

  add (value: number): void {
    if (this.#histogram.totalCount >= REPORTS_PER_WINDOW) {
      this.#previousWindow = this.#measure()
      this.#histogram.reset()
    }
    this.#histogram.recordValue(Math.max(0, Math.ceil(value * this.#unit)))
  }

  get level (): UsageLevel | undefined {
    return this.#histogram.totalCount >= MINIMUM_REPORTS ? this.#measure() : this.#previousWindow
  }

  #measure (): UsageLevel {
    return {
      percentile: this.#histogram.getValueAtPercentile(PERCENTILE) / this.#unit,
      highest: this.#histogram.maxValue / this.#unit
    }
  }
}

interface UsageLevel {
  readonly percentile: number
  readonly highest: number
}

type Group = Readonly<Record<MeasuredDimension, UsageWindow>>

/**
 * Estimates the sizes to reserve. Evicts the least recently used group when there are too many.
 *
 * @example
 * const estimator = new UsageEstimator()
 * estimator.report('cooks', 'batch', 'render', usage)
 * estimator.estimate('cooks', 'batch', 'render', declaredSize, largestCapacity)
 */
export class UsageEstimator {
  readonly #groups = new Map<string, Group>()
  readonly #maximumGroups: number

  constructor (maximumGroups = MAXIMUM_GROUPS) {
    this.#maximumGroups = maximumGroups
  }

  get groups (): number {
    return this.#groups.size
  }

  /** Records a usage report of one running task. */
  report (team: string, kind: KindName, name: string, usage: Resources): void {
    const key = JSON.stringify([team, kind, name])
    const group = this.#groups.get(key) ?? {
      processors: new UsageWindow(HISTOGRAM_UNITS.processors),
      memory: new UsageWindow(HISTOGRAM_UNITS.memory),
      accelerators: new UsageWindow(HISTOGRAM_UNITS.accelerators)
    }
    this.#markRecentlyUsed(key, group)
    for (const dimension of MEASURED_DIMENSIONS) group[dimension].add(usage[dimension])
    if (this.#groups.size > this.#maximumGroups) this.#groups.delete(this.#groups.keys().next().value!)
  }

  /**
   * Returns the size to reserve: the declared size until there are enough reports, then the 95th percentile of usage
   * times 1.1, which exceeds the declared size only if some reported usage did. The ceiling is the capacity of the
   * largest target, so that an estimate never makes a task unplaceable that was placeable with its declared size.
   */
  estimate (team: string, kind: KindName, name: string, declared: Resources, ceiling: Resources): Resources {
    const key = JSON.stringify([team, kind, name])
    const group = this.#groups.get(key)
    if (group === undefined) return declared
    this.#markRecentlyUsed(key, group)
    const learned = { ...declared }
    for (const dimension of MEASURED_DIMENSIONS) {
      const level = group[dimension].level
      if (level === undefined) continue
      // Integers keep sums of reservations exact.
      const wanted = Math.ceil(level.percentile * HEADROOM)
      learned[dimension] = level.highest > declared[dimension] ? wanted : Math.min(wanted, declared[dimension])
    }
    return mapResources(minimumResources(learned, ceiling), minimumResources(learned, declared), Math.max)
  }

  #markRecentlyUsed (key: string, group: Group): void {
    this.#groups.delete(key)
    this.#groups.set(key, group)
  }
}
