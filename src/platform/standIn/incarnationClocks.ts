/** Draws what the clocks of a target's incarnations show when they start. */
import type { Random } from '../../ports/random.ts'
import { MAX_LEASE_MS } from './standInWorker.ts'

const MAX_CLOCK_MS = 2_000_000
/** A difference that a coordinator may take for the delay of an answer or for clocks that are off. */
export const CONTINUING_MS = 2_500

/** How the clock of a restarted target relates to what the earlier incarnation's would show. A start meant for that one is refused by a clock that is ahead by more than its lease. */
const CLOCK_KINDS = ['zero', 'anywhere', 'behind', 'continuing', 'equal', 'ahead-within-lease', 'ahead'] as const
type ClockKind = typeof CLOCK_KINDS[number]

/**
 * @example
 * const clocks = new IncarnationClocks(new SeededRandom(7))
 * const firstMs = clocks.draw()
 * const nextMs = clocks.draw(firstMs + 5_000)
 */
export class IncarnationClocks {
  readonly #random: Random

  constructor (random: Random) {
    this.#random = random
  }

  /** `earlierMs` is what the clock of the earlier incarnation would show now; undefined for the first one. */
  draw (earlierMs?: number): number {
    if (earlierMs === undefined) return this.#between(0, MAX_CLOCK_MS)
    const kind = CLOCK_KINDS[this.#random.integer(CLOCK_KINDS.length)] as ClockKind
    return Math.max(0, this.#drawAs(kind, Math.round(earlierMs)))
  }

  #drawAs (kind: ClockKind, earlierMs: number): number {
    switch (kind) {
      case 'zero': return 0
      case 'anywhere': return this.#between(0, MAX_CLOCK_MS)
      case 'behind': return earlierMs - this.#between(CONTINUING_MS, MAX_CLOCK_MS)
      case 'continuing': return earlierMs + this.#between(-CONTINUING_MS, CONTINUING_MS)
      case 'equal': return earlierMs
      case 'ahead-within-lease': return earlierMs + this.#between(CONTINUING_MS, MAX_LEASE_MS)
      case 'ahead': return earlierMs + this.#between(MAX_LEASE_MS, MAX_CLOCK_MS)
    }
  }

  #between (min: number, max: number): number {
    return min + this.#random.integer(max - min + 1)
  }
}
