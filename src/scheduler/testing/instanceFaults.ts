/** Faults that tests inject into the external calls of one instance. */
import type { Random } from '../../ports/random.ts'

export type Fault = 'none' | 'down' | 'answerLost' | 'delayed'
export type FaultSite = 'store' | 'target'

const LONGEST_DELAY_MS = 3_000

export class InstanceFaults {
  readonly #random: Random
  readonly #down = new Set<FaultSite>()
  #faultRate = 0
  #pauseRate = 0
  #paused = false
  #crashed = false
  #waiting: Array<() => void> = []
  #scripted: readonly Fault[] = []

  constructor (random: Random) {
    this.#random = random
  }

  get paused (): boolean {
    return this.#paused
  }

  setRates (faultRate: number, pauseRate: number): void {
    this.#faultRate = faultRate
    this.#pauseRate = pauseRate
  }

  setDown (site: FaultSite, down: boolean): void {
    if (down) this.#down.add(site)
    else this.#down.delete(site)
  }

  pause (): void {
    this.#paused = true
  }

  resume (): void {
    this.#paused = false
    if (this.#crashed) return
    const waiting = this.#waiting
    this.#waiting = []
    waiting.forEach(wake => wake())
  }

  /** Blocks all external calls permanently. */
  crash (): void {
    this.#crashed = true
    this.#paused = true
  }

  /** Waits while the instance is paused; may also start a pause at random. */
  async waitWhilePaused (): Promise<void> {
    if (!this.#paused && this.#pauseRate > 0 && this.#random.next() < this.#pauseRate) this.pause()
    while (this.#paused) await new Promise<void>(resolve => this.#waiting.push(resolve))
  }

  /** Sets the faults of the next calls, in order. */
  setNextFaults (faults: readonly Fault[]): void {
    this.#scripted = faults
  }

  nextFault (site: FaultSite): Fault {
    const [scripted, ...later] = this.#scripted
    this.#scripted = later
    if (scripted !== undefined) return scripted
    if (this.#down.has(site)) return 'down'
    if (this.#faultRate === 0 || this.#random.next() >= this.#faultRate) return 'none'
    return (['down', 'answerLost', 'delayed'] as const)[this.#random.integer(3)] ?? 'none'
  }

  randomDelayMs (): number {
    return this.#random.integer(LONGEST_DELAY_MS)
  }
}
