/** The fencing token of the requests to one target, which rises while requests that it should not execute any more are in transit. */

/**
 * A target refuses requests with a lower token than one that it has received, and forgets that token when it restarts.
 * Sessions of all incarnations of a target share its fence: once the session of the next incarnation, or a start, has
 * reached that incarnation with a higher token, it refuses what was meant for the earlier one.
 *
 * Tokens are revisions of the store that this coordinator has written under its election, so that they are lower than the
 * token of each later coordinator.
 *
 * @example
 * const fence = new TargetFence(info.fence, () => log.lastRevision)
 * await client.renew({ fencingToken: fence.use(), acknowledged: 12, waitMs: 0 })
 * fence.supersede()
 */
export class TargetFence {
  readonly #latestRevision: () => number
  #token: number
  #isSuperseded = false

  constructor (token: number, latestRevision: () => number) {
    this.#token = token
    this.#latestRevision = latestRevision
  }

  /** Returns the token for a request that is sent now. */
  use (): number {
    const latest = this.#latestRevision()
    if (this.#isSuperseded && latest > this.#token) {
      this.#token = latest
      this.#isSuperseded = false
    }
    return this.#token
  }

  /** Gives later requests a higher token than those sent until now. */
  supersede (): void {
    this.#isSuperseded = true
  }

  /** Whether no request has had a higher token. A target that refuses such a token knows a later coordinator. */
  isLatest (token: number): boolean {
    return token === this.#token
  }
}
