/** Processors that become available over the next seconds. */

/** Times from now for which supply and demand are compared, in milliseconds. */
export const HORIZON_TIMES_MS: readonly number[] = [0, 50, 100, 200, 350, 500, 750, 1_000, 1_500, 2_000, 3_000, 4_500, 6_500, 10_000]

const LAST = HORIZON_TIMES_MS.length - 1

/** Amounts at each of `HORIZON_TIMES_MS`. */
export type Timeline = readonly number[]

/**
 * Processors free or released by each of `HORIZON_TIMES_MS`, if nothing else is placed. Later it counts as constant.
 *
 * @example
 * const curve = SupplyCurve.from(withinMs => forecast.processorsWithin('renders', withinMs))
 * const startMs = curve.timeUntilProcessors(processorsAhead, 4_500)
 */
export class SupplyCurve {
  readonly processors: Timeline
  /** Processor-milliseconds that can be spent by each time. */
  readonly work: Timeline

  constructor (processors: Timeline) {
    this.processors = processors
    const work = [0]
    for (let index = 1; index <= LAST; index++) {
      work.push(at(work, index - 1) + (at(processors, index - 1) + at(processors, index)) / 2 * stepMs(index))
    }
    this.work = work
  }

  static from (processorsWithin: (withinMs: number) => number): SupplyCurve {
    return new SupplyCurve(HORIZON_TIMES_MS.map(processorsWithin))
  }

  /** Processor-milliseconds that can be spent within the given time. */
  workWithin (timeMs: number): number {
    const next = HORIZON_TIMES_MS.findIndex(each => each >= timeMs)
    if (next < 0) return at(this.work, LAST) + (timeMs - at(HORIZON_TIMES_MS, LAST)) * at(this.processors, LAST)
    if (next === 0) return 0
    return at(this.work, next - 1) + (at(this.work, next) - at(this.work, next - 1)) * (timeMs - at(HORIZON_TIMES_MS, next - 1)) / stepMs(next)
  }

  /** Milliseconds until `needed` processors are left after those that work ahead takes; `Infinity` if that is not foreseen. */
  timeUntilProcessors (ahead: Timeline, needed: number): number {
    return firstCrossing(index => at(this.processors, index) - at(ahead, index) - needed)
  }

  /** Milliseconds until the work ahead and `extra` processor-milliseconds can have been done; `Infinity` if never. */
  timeUntilWork (ahead: Timeline, extra: number): number {
    const surplus = (index: number): number => at(this.work, index) - at(ahead, index) - extra
    const crossing = firstCrossing(surplus)
    if (Number.isFinite(crossing)) return crossing
    const slope = at(this.processors, LAST) - (at(ahead, LAST) - at(ahead, LAST - 1)) / stepMs(LAST)
    return slope > 0 ? at(HORIZON_TIMES_MS, LAST) - surplus(LAST) / slope : Infinity
  }
}

/** Time at which the surplus first reaches 0, interpolated; `Infinity` if it does not. */
function firstCrossing (surplus: (index: number) => number): number {
  let previous = surplus(0)
  if (previous >= 0) return 0
  for (let index = 1; index <= LAST; index++) {
    const current = surplus(index)
    if (current >= 0) return at(HORIZON_TIMES_MS, index - 1) + stepMs(index) * previous / (previous - current)
    previous = current
  }
  return Infinity
}

function stepMs (index: number): number {
  return at(HORIZON_TIMES_MS, index) - at(HORIZON_TIMES_MS, index - 1)
}

function at (timeline: Timeline, index: number): number {
  return timeline[index] ?? 0
}
