/** Lets callers share reads of the same value. */
import type { Clock } from '../../ports/clock.ts'

/** A caller waits at most this long for a read that other callers share, while the reads before it are unanswered. */
const SHARING_INTERVAL_MS = 50
const MAX_READS_IN_FLIGHT = 4

/**
 * A caller gets the result of a read that began after its call. Callers that arrive while reads are in flight share the
 * next one, which begins when one of them has ended, or after 50 ms if there are fewer than four: neither the number of
 * callers nor a slow store multiplies the reads. A failed read rejects its callers only.
 *
 * @example
 * const election = new SharedRead(clock, async () => await store.get('agategauge/coordinator'))
 * const { item } = await election.read()
 */
export class SharedRead<Result> {
  readonly #clock: Clock
  readonly #start: () => Promise<Result>
  /** Reads that have begun; each resolves when it has ended. */
  readonly #inFlight = new Set<Promise<void>>()
  /** The read that has not begun; callers may still join it. */
  #next: Promise<Result> | undefined

  constructor (clock: Clock, start: () => Promise<Result>) {
    this.#clock = clock
    this.#start = start
  }

  async read (): Promise<Result> {
    this.#next ??= this.#awaitTurn().then(async () => {
      this.#next = undefined
      return await this.#begin()
    })
    return await this.#next
  }

  async #awaitTurn (): Promise<void> {
    if (this.#inFlight.size === 0) return
    const waiting = new AbortController()
    const turns = [...this.#inFlight]
    if (turns.length < MAX_READS_IN_FLIGHT) turns.push(this.#clock.sleep(SHARING_INTERVAL_MS, waiting.signal).catch(() => {}))
    await Promise.race(turns)
    waiting.abort()
  }

  async #begin (): Promise<Result> {
    const reading = this.#start()
    const ended = reading.then(() => {}, () => {})
    this.#inFlight.add(ended)
    try {
      return await reading
    } finally {
      this.#inFlight.delete(ended)
    }
  }
}
