/** Gives processes a share of a processor, as small machines do: they run at full speed for a part of each period, and then not at all. */
import type { ManagedProcess } from '../processes/childProcess.ts'

const PERIOD_MS = 100
/** Length of the steps in which the shares of different processes begin, so that not all run at once. */
const STEP_MS = 5

export interface ShareOptions {
  /** Share of a processor of each process, in the order of `processes`; 1 or more is unlimited. */
  readonly shares: readonly number[]
  /** The current processes; those that are undefined are left alone. */
  readonly processes: () => readonly (ManagedProcess | undefined)[]
}

/**
 * Stops and continues the processes from outside, so that callers and stand-ins keep their speed.
 *
 * @example
 * const share = new ProcessorShare({ shares: [0.324], processes: () => [process] })
 * share.start()
 * share.stop()
 */
export class ProcessorShare {
  readonly #options: ShareOptions
  readonly #suspended = new Map<number, ManagedProcess>()
  #timer: NodeJS.Timeout | undefined

  constructor (options: ShareOptions) {
    this.#options = options
  }

  start (): void {
    const startedAtMs = performance.now()
    this.#timer = setInterval(() => this.#update(performance.now() - startedAtMs), STEP_MS)
  }

  /** Continues all processes. */
  stop (): void {
    clearInterval(this.#timer)
    for (const number of [...this.#suspended.keys()]) this.#resume(number)
  }

  #update (elapsedMs: number): void {
    for (const [number, process] of this.#options.processes().entries()) {
      const share = this.#options.shares[number] ?? 1
      if (this.#suspended.has(number) && this.#suspended.get(number) !== process) this.#suspended.delete(number)
      if (process === undefined || process.hasEnded || share >= 1) continue
      const phase = (elapsedMs / PERIOD_MS + number * STEP_MS / PERIOD_MS) % 1
      if (phase < share) this.#resume(number)
      else if (!this.#suspended.has(number)) {
        process.suspend()
        this.#suspended.set(number, process)
      }
    }
  }

  #resume (number: number): void {
    this.#suspended.get(number)?.resume()
    this.#suspended.delete(number)
  }
}
