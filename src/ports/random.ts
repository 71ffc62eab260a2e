/** Source of random numbers; tests and benchmarks use one with a fixed seed. */

export interface Random {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  next (): number
  /** Returns an integer from 0 (inclusive) to the bound (exclusive). */
  integer (bound: number): number
}
