/** Decides by the target list, and by the results of earlier runs, whether a target is offered for new tasks. */
import type { Clock } from '../../ports/clock.ts'
import type { ListedTarget } from '../../ports/targetDirectory.ts'

/** A target whose entry in the target list is older may have shrunk, or be draining. */
const MAX_LISTING_AGE_MS = 4_000

/** What the target list says about a target that may change while it runs. */
export type TargetListing = Pick<ListedTarget, 'draining' | 'capacity'>

/**
 * @example
 * const offer = new TargetOffer(clock)
 * offer.updateListing(entry)
 * offer.isOfferedAt(clock.monotonicMs())
 */
export class TargetOffer {
  readonly #clock: Clock
  #draining = false
  /** False until the target list has been read: a target in the log may have left since. */
  #listed = false
  #listedAtMs = -Infinity
  #consecutiveFailures = 0
  #avoidUntilMs = 0

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get draining (): boolean {
    return this.#draining
  }

  isOfferedAt (nowMs: number): boolean {
    return this.#listed && !this.#draining && nowMs - this.#listedAtMs < MAX_LISTING_AGE_MS && nowMs >= this.#avoidUntilMs
  }

  /** Applies the target's entry in the target list; undefined if it has none. */
  updateListing (entry: TargetListing | undefined): void {
    this.#listed = entry !== undefined
    this.#draining = entry?.draining ?? false
    if (entry !== undefined) this.#listedAtMs = this.#clock.monotonicMs()
  }

  /** Suspends new tasks for `avoidMs` from the second consecutive failure on. */
  recordRunResult (failed: boolean, avoidMs: number): void {
    this.#consecutiveFailures = failed ? this.#consecutiveFailures + 1 : 0
    if (this.#consecutiveFailures >= 2) this.#avoidUntilMs = this.#clock.monotonicMs() + avoidMs
  }
}
