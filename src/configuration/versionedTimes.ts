/** Tracks bounds of the form "at this time, no change above this version existed". */

/** Bounds retained. Dropping one is always safe: it only makes the configuration look older. */
const MAX_BOUNDS = 32

interface VersionBound {
  readonly version: number
  readonly at: number
}

/**
 * Collects version bounds in any order of arrival. A bound never becomes false, so late and duplicate ones do no harm.
 *
 * @example
 * bounds.add(7, 1_000)
 * bounds.latestTimeFor(8) // 1_000: an instance at version 8 has every change up to version 7
 */
export class VersionedTimes {
  /** Strictly increasing in both version and time; bounds implied by these are dropped. */
  #bounds: readonly VersionBound[] = []

  add (version: number, at: number): void {
    if (!Number.isFinite(at) || this.#bounds.some(known => known.version <= version && known.at >= at)) return
    const others = this.#bounds.filter(known => known.version < version || known.at > at)
    this.#bounds = [...others, { version, at }].sort((left, right) => left.version - right.version).slice(0, MAX_BOUNDS)
  }

  /** Latest time at which no change above the version existed; negative infinity if no bound applies. */
  latestTimeFor (version: number): number {
    const known = this.#bounds.filter(bound => bound.version <= version)
    const newest = known.at(-1)
    if (newest === undefined) return -Infinity
    if (known.length > 1) this.#bounds = this.#bounds.slice(known.length - 1)
    return newest.at
  }
}
