/** Statements of the form "at this time no change above this version existed" and the newest one that applies. */

/** Statements above the own version that are kept; dropping one is always safe. */
const KEPT = 32

interface Statement {
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
export class VersionedTimes {
  /** Rising in version and in time; others are implied by these. */
  #statements: readonly Statement[] = []

  note (version: number, at: number): void {
    if (!Number.isFinite(at) || this.#statements.some(known => known.version <= version && known.at >= at)) return
    const others = this.#statements.filter(known => known.version < version || known.at > at)
    this.#statements = [...others, { version, at }].sort((left, right) => left.version - right.version).slice(0, KEPT)
  }

  /** The newest time at which nothing above the version existed; minus infinity if there is no statement. */
  asOf (version: number): number {
    const known = this.#statements.filter(statement => statement.version <= version)
    const newest = known.at(-1)
    if (newest === undefined) return -Infinity
    if (known.length > 1) this.#statements = this.#statements.slice(known.length - 1)
    return newest.at
  }
}
