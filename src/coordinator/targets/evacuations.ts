/** The data centres to which the operator of the platform wants nothing more to be sent. */

/**
 * Immutable. Each name has the store revision at which it was written, so that a change that was read before can be
 * applied again.
 *
 * @example
 * const evacuations = Evacuations.NONE.with('attica-b', 712)
 * if (evacuations.covers(session.description.dataCentre)) return
 */
export class Evacuations {
  static readonly NONE = new Evacuations(new Map())
  readonly #revisions: ReadonlyMap<string, number>

  private constructor (revisions: ReadonlyMap<string, number>) {
    this.#revisions = revisions
  }

  /** Revisions by name, as listed. */
  static of (revisions: ReadonlyMap<string, number>): Evacuations {
    return revisions.size === 0 ? Evacuations.NONE : new Evacuations(revisions)
  }

  /** Names in the order in which they were written. */
  get names (): readonly string[] {
    return [...this.#revisions].sort(([, left], [, right]) => left - right).map(([name]) => name)
  }

  get size (): number {
    return this.#revisions.size
  }

  covers (dataCentre: string): boolean {
    return this.#revisions.has(dataCentre)
  }

  /** Returns the same object if nothing changes. */
  with (name: string, revision: number): Evacuations {
    if ((this.#revisions.get(name) ?? 0) >= revision) return this
    return new Evacuations(new Map([...this.#revisions, [name, revision]]))
  }

  /** Returns the same object if nothing changes. */
  without (name: string): Evacuations {
    if (!this.#revisions.has(name)) return this
    return new Evacuations(new Map([...this.#revisions].filter(([other]) => other !== name)))
  }

  hasSameNames (other: Evacuations): boolean {
    return this.size === other.size && this.names.every(name => other.covers(name))
  }
}
