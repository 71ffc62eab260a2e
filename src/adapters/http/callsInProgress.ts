/** Counts the calls in progress of a front end, and divides them between its connections. */
import { deriveCallLimit } from './frontEndLimits.ts'
import type { FrontEndLimits } from './frontEndLimits.ts'

/** Part of the calls in progress that further requests of connections may use. The rest is for connections with one request. */
const FURTHER_CALLS_SHARE = 0.5

/**
 * @example
 * const calls = new CallsInProgress(limits)
 * if (!calls.begin()) return refuse()
 * try { return await handle(call) } finally { calls.end() }
 */
export class CallsInProgress {
  readonly #limits: FrontEndLimits
  #count = 0
  /** Connections with an open request. */
  #busyConnections = 0

  constructor (limits: FrontEndLimits) {
    this.#limits = limits
  }

  get count (): number {
    return this.#count
  }

  /** Returns false, and counts nothing, if there are too many. */
  begin (): boolean {
    if (this.#count >= this.#limit) return false
    this.#count += 1
    return true
  }

  end (): void {
    this.#count -= 1
  }

  /** Counts the connections with an open request. */
  changeBusyConnections (change: 1 | -1): void {
    this.#busyConnections += change
  }

  /**
   * Requests that one connection may have open: an equal part of the calls that are meant for further requests, and at
   * least one, so that a client with a single request never waits for those with thousands.
   */
  get requestsPerConnection (): number {
    const furtherCalls = this.#limit * FURTHER_CALLS_SHARE
    if (this.#count >= furtherCalls) return 1
    return Math.max(1, Math.min(this.#limits.pipelinedRequests, Math.floor(furtherCalls / Math.max(1, this.#busyConnections))))
  }

  get #limit (): number {
    return this.#limits.calls ?? deriveCallLimit(this.#limits.memoryBytes)
  }
}
