/** Repeats an action until it is stopped; the interval starts at the end of a run, so runs never overlap. */
import type { Clock } from '../ports/clock.ts'
import type { Component } from './component.ts'

export class PeriodicTask implements Component {
  readonly name: string
  readonly #clock: Clock
  readonly #intervalMs: number
  readonly #action: () => void | Promise<void>
  readonly #onError: (error: unknown) => void
  readonly #stopping = new AbortController()
  #running: Promise<void> = Promise.resolve()
  #endWait: () => void = () => {}

  constructor (name: string, clock: Clock, intervalMs: number, action: () => void | Promise<void>, onError: (error: unknown) => void) {
    this.name = name
    this.#clock = clock
    this.#intervalMs = intervalMs
    this.#action = action
    this.#onError = onError
  }

  async start (): Promise<void> {
    this.#running = this.#run()
  }

  async stop (): Promise<void> {
    this.#stopping.abort()
    this.#endWait()
    await this.#running
  }

  /** Ends the wait for the next run; without effect during a run. */
  runNow (): void {
    this.#endWait()
  }

  async #run (): Promise<void> {
    const { signal } = this.#stopping
    while (!signal.aborted) {
      try {
        await this.#action()
      } catch (error) {
        this.#onError(error)
      }
      if (signal.aborted) return
      // Not combined with the signal of the stop: in Node.js 20 each combination stays referenced by a signal that lives on.
      const waiting = new AbortController()
      this.#endWait = () => waiting.abort()
      await this.#clock.sleep(this.#intervalMs, waiting.signal).catch(() => {})
    }
  }
}
