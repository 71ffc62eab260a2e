/** Lets callers share reads of the same value. */

/**
 * At most one read is in flight. A caller gets the result of a read that began after its call, so those that arrive
 * while a read is in flight share the next one: the load on the store does not grow with the number of callers. A
 * failed read rejects its callers only.
 *
 * @example
 * const election = new SharedRead(async () => await store.get('agategauge/coordinator'))
 * const { item } = await election.read()
 */
export class SharedRead<Result> {
  readonly #start: () => Promise<Result>
  #current: Promise<Result> | undefined
  /** Begins when the current read has ended. */
  #next: Promise<Result> | undefined

  constructor (start: () => Promise<Result>) {
    this.#start = start
  }

  async read (): Promise<Result> {
    if (this.#next === undefined && this.#current === undefined) return await this.#begin()
    this.#next ??= (this.#current ?? Promise.resolve()).then(() => {}, () => {}).then(async () => {
      this.#next = undefined
      return await this.#begin()
    })
    return await this.#next
  }

  async #begin (): Promise<Result> {
    const reading = this.#start()
    this.#current = reading
    try {
      return await reading
    } finally {
      if (this.#current === reading) this.#current = undefined
    }
  }
}
