/** Divides the turns of the event loop between the connections of a front end whose input waits for the parser. */

/** Time for the requests of all connections in one turn of the event loop. Timers and answers of other servers wait meanwhile. */
const TURN_MS = 10

export interface TurnTaker {
  /** Gives waiting input to the parser, as far as the time of the turn allows. */
  feed (): void
}

/**
 * @example
 * const turns = new TurnSchedule()
 * if (!turns.hasTime) turns.wait(connection, false)
 */
export class TurnSchedule {
  /** Connections with input that wait for the next turn of the event loop. */
  readonly #waiting = new Set<TurnTaker>()
  /** Those of them that have had their time in the last seconds. They wait behind the others. */
  readonly #waitingBusy = new Set<TurnTaker>()
  #turnMs = 0
  #isTurnScheduled = false

  /** Whether requests may be parsed in this turn of the event loop. */
  get hasTime (): boolean {
    return this.#turnMs < TURN_MS
  }

  /** Counts the time that requests have taken in this turn. */
  spend (durationMs: number): void {
    this.#turnMs += durationMs
    this.#scheduleTurn()
  }

  /** Feeds the connection in a later turn; one that has had its time waits behind those that have not. */
  wait (connection: TurnTaker, hasHadTime: boolean): void {
    if (hasHadTime) this.#waitingBusy.add(connection)
    else this.#waiting.add(connection)
    this.#scheduleTurn()
  }

  #scheduleTurn (): void {
    if (this.#isTurnScheduled) return
    this.#isTurnScheduled = true
    setImmediate(() => {
      this.#isTurnScheduled = false
      this.#turnMs = 0
      // One of the busy connections has time in each turn, however many others there are.
      this.#feedNext(this.#waitingBusy)
      while (this.hasTime && this.#feedNext(this.#waiting));
      while (this.hasTime && this.#feedNext(this.#waitingBusy));
      if (this.#waiting.size + this.#waitingBusy.size > 0) this.#scheduleTurn()
    })
  }

  /** Feeds the connection that has waited for longest; returns whether there was one. */
  #feedNext (waiting: Set<TurnTaker>): boolean {
    const [connection] = waiting
    if (connection === undefined) return false
    waiting.delete(connection)
    connection.feed()
    return true
  }
}
