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
 * await client.renew({ fencingToken: fence.nextToken(), acknowledged: 12, waitMs: 0 })
 * fence.raiseBeforeNextRequest()
 */
export class TargetFence {
  readonly #latestRevision: () => number
  #token: number
  #mustRaise = false

  constructor (token: number, latestRevision: () => number) {
    this.#token = token
    this.#latestRevision = latestRevision
  }

  /** Returns the token for a request that is sent now, after raising it if that is due and the coordinator has written since. */
  nextToken (): number {
    const latest = this.#latestRevision()
    if (this.#mustRaise && latest > this.#token) {
      this.#token = latest
      this.#mustRaise = false
    }
    return this.#token
  }

  /** Gives later requests a higher token than those sent until now, as soon as the coordinator has written to the store. */
  raiseBeforeNextRequest (): void {
    this.#mustRaise = true
  }

  /** Whether no request has had a higher token. A target that refuses the latest token knows a later coordinator. */
  isLatest (token: number): boolean {
    return token === this.#token
  }
}
