/** Similarity of names, for suggestions. */

/**
 * Returns the number of characters to insert, delete or replace that turns one text into the other.
 *
 * @example
 * editDistance('max_atempts', 'max_attempts') // 1
 */
export function editDistance (left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index)
  for (let row = 1; row <= left.length; row++) {
    const current = [row]
    for (let column = 1; column <= right.length; column++) {
      const substitution = (previous[column - 1] ?? 0) + (left[row - 1] === right[column - 1] ? 0 : 1)
      current.push(Math.min(substitution, (previous[column] ?? 0) + 1, (current[column - 1] ?? 0) + 1))
    }
    previous = current
  }
  return previous[right.length] ?? 0
}
