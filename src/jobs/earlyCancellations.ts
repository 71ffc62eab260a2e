/** Cancels of jobs that had not been submitted when they were cancelled. */

/** A cancel is remembered for at least this long; no instance hands in a submission that is older. */
export const EARLY_CANCELLATION_PERIOD_MS = 60_000

/** Identifies a job that was cancelled before its submission arrived. Other teams and queues may use the same identity. */
export interface EarlyCancellationKey {
  readonly id: string
  /** Name of the queue. */
  readonly queue: string
  /** Empty for callers without a key. */
  readonly team: string
}

export interface EarlyCancellation extends EarlyCancellationKey {
  readonly wallMs: number
}

/**
 * Remembers which submissions must not run if they arrive after all. Does not bound their number, since all that are in the
 * log have been confirmed to callers.
 *
 * @example
 * cancellations.add({ id: '5c0e', queue: 'renders', team: 'weavers', wallMs: 0 })
 * cancellations.has({ id: '5c0e', queue: 'renders', team: 'weavers' }) // true
 */
export class EarlyCancellations {
  readonly #cancellations = new Map<string, EarlyCancellation>()
  readonly #counts = new Map<string, number>()

  get size (): number {
    return this.#cancellations.size
  }

  get all (): Iterable<EarlyCancellation> {
    return this.#cancellations.values()
  }

  has (key: EarlyCancellationKey): boolean {
    return this.#cancellations.has(textOf(key))
  }

  /** Number of those of the team. */
  countOf (team: string): number {
    return this.#counts.get(team) ?? 0
  }

  /** Adds a cancellation, or replaces the time of an earlier one. */
  add ({ id, queue, team, wallMs }: EarlyCancellation): void {
    const key = textOf({ id, queue, team })
    if (!this.#cancellations.has(key)) this.#counts.set(team, this.countOf(team) + 1)
    this.#cancellations.set(key, { id, queue, team, wallMs })
  }

  /** Removes those of jobs that were cancelled before the given wall-clock time. */
  evict (beforeWallMs: number): void {
    for (const [key, { team, wallMs }] of this.#cancellations) {
      if (wallMs >= beforeWallMs) continue
      this.#cancellations.delete(key)
      const count = this.countOf(team) - 1
      if (count > 0) this.#counts.set(team, count)
      else this.#counts.delete(team)
    }
  }
}

function textOf ({ id, queue, team }: EarlyCancellationKey): string {
  return JSON.stringify([team, queue, id])
}
