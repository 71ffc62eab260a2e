/** Exponential backoff with full jitter. */
import type { Random } from '../../ports/random.ts'

export const FIRST_BACKOFF_MS = 20
export const LONGEST_BACKOFF_MS = 2_000

/**
 * Returns a random delay between zero and a ceiling that doubles with each failed attempt.
 *
 * @example
 * computeBackoff(1, random) // between 0 and 20 ms
 */
export function computeBackoff (failedAttempts: number, random: Random): number {
  const ceiling = Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (Math.max(1, failedAttempts) - 1))
  return random.next() * ceiling
}
