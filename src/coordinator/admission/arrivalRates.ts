/** Rates at which accepted jobs bring work, by place of their priority. */
import { priorityOfOrder } from './admissionRequest.ts'
import { NO_AMOUNT } from './backlog.ts'
import type { Amount } from './backlog.ts'

/** Long enough to average over some jobs, short enough to follow the beginning and end of a burst. */
const AVERAGING_MS = 3_000

interface DecayingSum extends Amount {
  readonly updatedAtMs: number
}

/**
 * Exponential averages of what accepted jobs bring in a millisecond, by service.
 *
 * @example
 * rates.record('renders', order, { processors: 7_500, work: 6_000_000 }, nowMs)
 * const { work } = rates.before('renders', priorityOfOrder(order), nowMs)
 */
export class ArrivalRates {
  readonly #services = new Map<string, Map<number, DecayingSum>>()

  record (service: string, order: number, { processors, work }: Amount, nowMs: number): void {
    // The sums would never become finite again.
    if (!Number.isFinite(processors) || !Number.isFinite(work)) return
    const sums = this.#services.get(service) ?? new Map<number, DecayingSum>()
    this.#services.set(service, sums)
    const place = priorityOfOrder(order)
    const sum = decayed(sums.get(place), nowMs)
    sums.set(place, { processors: sum.processors + processors, work: sum.work + work, updatedAtMs: nowMs })
  }

  /** What jobs placed before the given priority's place are expected to bring in a millisecond. */
  before (service: string, place: number, nowMs: number): Amount {
    let processors = 0
    let work = 0
    for (const [each, sum] of this.#services.get(service) ?? []) {
      if (each >= place) continue
      const current = decayed(sum, nowMs)
      processors += current.processors
      work += current.work
    }
    return { processors: processors / AVERAGING_MS, work: work / AVERAGING_MS }
  }
}

function decayed (sum: DecayingSum | undefined, nowMs: number): Amount {
  if (sum === undefined) return NO_AMOUNT
  const share = Math.exp((sum.updatedAtMs - nowMs) / AVERAGING_MS)
  return { processors: sum.processors * share, work: sum.work * share }
}
