/** Statements of the form "at this time no change above this version existed" and the newest one that applies. */

/** Statements above the own version that are kept; dropping one is always safe. */
const MAX_BOUNDS = 32

interface VersionBound {
  readonly version: number
  readonly at: number
}

/**
 * Keeps statements in any order of arrival; a statement stays true, so late and duplicated ones do no harm.
 *
 * @example
 * times.note(7, 1_000)
 * times.asOf(8) // 1_000: whoever has version 8 has everything up to version 7
 */
export class VersionBounds {
  /** Rising in version and in time; others are implied by these. */
  #bounds: readonly VersionBound[] = []

  add (version: number, at: number): void {
    if (!Number.isFinite(at) || this.#bounds.some(known => known.version <= version && known.at >= at)) return
    const others = this.#bounds.filter(known => known.version < version || known.at > at)
    this.#bounds = [...others, { version, at }].sort((left, right) => left.version - right.version).slice(0, MAX_BOUNDS)
  }

  /** The newest time at which nothing above the version existed; minus infinity if there is no statement. */
  latestTimeFor (version: number): number {
    const known = this.#bounds.filter(statement => statement.version <= version)
    const newest = known.at(-1)
    if (newest === undefined) return -Infinity
    if (known.length > 1) this.#bounds = this.#bounds.slice(known.length - 1)
    return newest.at
  }
}
