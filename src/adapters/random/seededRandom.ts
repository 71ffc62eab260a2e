/** Pseudo-random numbers from `pure-rand`, reproducible for a given seed. */
import { randomBytes } from 'node:crypto'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import type { RandomGenerator } from 'pure-rand'
import type { Random } from '../../ports/random.ts'

const RANGE = 2 ** 31

export class SeededRandom implements Random {
  readonly #generator: RandomGenerator

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** Creates a generator seeded from the system's entropy source. */
  static fromEntropy (): SeededRandom {
    return new SeededRandom(randomBytes(4).readInt32LE())
  }

  next (): number {
    return unsafeUniformIntDistribution(0, RANGE - 1, this.#generator) / RANGE
  }

  integer (bound: number): number {
    return unsafeUniformIntDistribution(0, bound - 1, this.#generator)
  }
}
