/** The fencing tokens of the requests to one target, which rise while requests that it should not execute any more are in transit. */

/**
 * A target refuses requests with a lower token than one that it has received, and forgets that token when it restarts.
 * Sessions of all incarnations of a target share its fence. A start has a higher token than all renewals before it that
 * acknowledge run ends or extend leases: whichever incarnation has executed the start refuses those, which may be meant for
 * an earlier one.
 *
 * Tokens are revisions of the store that this coordinator has written under its election, so that they are lower than the
 * token of each later coordinator.
 *
 * @example
 * const fence = new TargetFence(info.fence, () => log.lastRevision)
 * await client.renew({ fencingToken: fence.tokenForRenewal(), acknowledged: 12, waitMs: 0 })
 * const fencingToken = fence.tokenForStart() // undefined until the coordinator has written to the store again
 */
export class TargetFence {
  readonly #latestRevision: () => number
  #token: number
  /** Token of the last renewal that changed what the target keeps. */
  #renewalToken = -Infinity
  #mustRaise = false

  constructor (token: number, latestRevision: () => number) {
    this.#token = token
    this.#latestRevision = latestRevision
  }

  /** Returns the token for a stop, or for a renewal that only asks for a report. */
  nextToken (): number {
    if (this.#mustRaise) this.#raise()
    return this.#token
  }

  /** Returns the token for a renewal that acknowledges run ends or extends leases. */
  tokenForRenewal (): number {
    this.#renewalToken = this.nextToken()
    return this.#renewalToken
  }

  /** Returns the token for a start; undefined if none is high enough until the coordinator has written to the store again. */
  tokenForStart (): number | undefined {
    if (this.#mustRaise || this.#token <= this.#renewalToken) this.#raise()
    return !this.#mustRaise && this.#token > this.#renewalToken ? this.#token : undefined
  }

  /** Gives later requests a higher token than those sent until now, as soon as the coordinator has written to the store. */
  raiseBeforeNextRequest (): void {
    this.#mustRaise = true
  }

  /** Whether no request has had a higher token. A target that refuses the latest token knows a later coordinator. */
  isLatest (token: number): boolean {
    return token === this.#token
  }

  #raise (): void {
    const latest = this.#latestRevision()
    if (latest <= this.#token) return
    this.#token = latest
    this.#mustRaise = false
  }
}
