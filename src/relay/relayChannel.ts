/** The outcomes that a relay keeps for one connection of a coordinator. */
import type { TimerClock } from '../ports/clock.ts'
import type { NumberedOrder, RelayOutcome } from './relayMessages.ts'

/** Wait for further outcomes after the first one, so that a burst takes few answers. */
const LINGER_MS = 12
/** Outcomes that are returned without waiting for more. */
const FULL_ANSWER = 60

/** More than the orders of all batches that can be on their way at once. */
const REMEMBERED_NUMBERS = 2_000

/** At most one exchange waits at a time: a newer one answers its predecessor at once. */
export class RelayChannel {
  readonly #clock: TimerClock
  #outcomes: RelayOutcome[] = []
  /** Numbers of the orders received, within `REMEMBERED_NUMBERS` of the highest. */
  readonly #received = new Set<number>()
  #highestNumber = 0
  #lastUsedMs: number
  #release: (() => void) | undefined
  #onOutcome: (() => void) | undefined

  constructor (clock: TimerClock) {
    this.#clock = clock
    this.#lastUsedMs = clock.monotonicMs()
  }

  /** Milliseconds since the last exchange began. */
  get idleMs (): number {
    return this.#clock.monotonicMs() - this.#lastUsedMs
  }

  /** Returns the orders that were not received before. Batches on different connections may overtake each other. */
  takeNew (orders: readonly NumberedOrder[]): readonly NumberedOrder[] {
    this.#lastUsedMs = this.#clock.monotonicMs()
    const newOrders = orders.filter(({ number }) => number > this.#highestNumber - REMEMBERED_NUMBERS && !this.#received.has(number))
    for (const { number } of newOrders) {
      this.#received.add(number)
      this.#highestNumber = Math.max(this.#highestNumber, number)
    }
    this.#forgetOldNumbers()
    return newOrders
  }

  #forgetOldNumbers (): void {
    for (const number of this.#received) {
      if (this.#received.size <= REMEMBERED_NUMBERS) return
      this.#received.delete(number)
    }
  }

  add (outcome: RelayOutcome): void {
    this.#outcomes.push(outcome)
    this.#onOutcome?.()
  }

  /** Ends the wait of the current exchange. */
  release (): void {
    this.#release?.()
  }

  /** Resolves with all outcomes once there are some, or with none after the wait. */
  async awaitOutcomes (waitMs: number): Promise<readonly RelayOutcome[]> {
    this.release()
    if (this.#outcomes.length < FULL_ANSWER && waitMs > 0) await this.#wait(waitMs)
    const outcomes = this.#outcomes
    this.#outcomes = []
    return outcomes
  }

  async #wait (waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      let cancel = this.#clock.schedule(this.#outcomes.length > 0 ? LINGER_MS : waitMs, () => end())
      let lingers = this.#outcomes.length > 0
      const onOutcome = (): void => {
        if (this.#outcomes.length >= FULL_ANSWER) return end()
        if (lingers) return
        lingers = true
        cancel()
        cancel = this.#clock.schedule(LINGER_MS, () => end())
      }
      const end = (): void => {
        cancel()
        if (this.#release === end) this.#release = this.#onOutcome = undefined
        resolve()
      }
      this.#release = end
      this.#onOutcome = onOutcome
    })
  }
}
