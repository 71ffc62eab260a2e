/** Random numbers; tests and benchmarks inject a fixed seed. */

export interface Random {
  /** A number from 0 inclusive to 1 exclusive. */
  next (): number
  /** A whole number from 0 inclusive to the bound exclusive. */
  integer (bound: number): number
}
