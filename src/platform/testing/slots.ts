/** Limits how many holders there are at a time. */

/**
 * Slots that are taken before a part of a test and released after it.
 *
 * @example
 * const slots = new Slots(4)
 * const release = await slots.take()
 */
export class Slots {
  #free: number
  readonly #waiting: (() => void)[] = []

  constructor (count: number) {
    this.#free = count
  }

  /** Waits for a free slot and returns the function that releases it; a second release has no effect. */
  async take (): Promise<() => void> {
    if (this.#free > 0) this.#free -= 1
    else await new Promise<void>(resolve => this.#waiting.push(resolve))
    let released = false
    return () => {
      if (released) return
      released = true
      const next = this.#waiting.shift()
      if (next === undefined) this.#free += 1
      else next()
    }
  }
}
