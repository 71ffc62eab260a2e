/** Measures for how long one client has left a request incomplete, or its connection idle. */
import { DEFAULT_KEPT_IDLE_MS } from './frontEndLimits.ts'
import type { FrontEndLimits } from './frontEndLimits.ts'
import type { OverloadReason } from './memoryBudget.ts'

/** What a connection is doing now. */
export interface ConnectionActivity {
  /** Whether the body of the newest request has not arrived as a whole. */
  readonly isInBody: boolean
  readonly openRequests: number
}

/**
 * @example
 * const times = new ConnectionTimes(() => performance.now(), limits)
 * times.recordHead()
 * times.findOverdue(performance.now(), { isInBody: false, openRequests: 0 }) // undefined, later 'header-timeout'
 */
export class ConnectionTimes {
  readonly #nowMs: () => number
  readonly #limits: FrontEndLimits
  #openedMs: number
  /** When the newest request began; undefined if there was none. */
  #requestMs: number | undefined
  /** When the client last sent anything. */
  #receivedMs = 0
  #answeredMs = 0
  /** Since when the connection has had no request and the server no time-out for that; undefined if it has one. */
  #idleMs: number | undefined
  /** When the first byte of the next request arrived; undefined if none has. */
  #headMs: number | undefined
  /** Whether input waits only because its time in this turn is used up. */
  #waitsForTurn = false
  #waitsSinceMs = 0

  constructor (nowMs: () => number, limits: FrontEndLimits) {
    this.#nowMs = nowMs
    this.#limits = limits
    this.#openedMs = nowMs()
    this.#idleMs = this.#openedMs
  }

  get waitsForTurn (): boolean {
    return this.#waitsForTurn
  }

  recordInput (): void {
    this.#receivedMs = this.#nowMs()
  }

  /** Records the first byte of a request. */
  recordHead (): void {
    this.#headMs ??= this.#nowMs()
  }

  /** Records input that begins no request, but by which the server stops its time-out of idle connections. */
  recordEmptyLine (): void {
    this.#idleMs ??= this.#nowMs()
  }

  /** Records the end of the head of a request. */
  recordRequest (): void {
    this.#requestMs = this.#nowMs()
    this.#headMs = undefined
    this.#idleMs = undefined
  }

  recordAnswer (): void {
    this.#answeredMs = this.#nowMs()
    if (this.#idleMs !== undefined) this.#idleMs = this.#answeredMs
  }

  beginWait (): void {
    if (!this.#waitsForTurn) this.#waitsSinceMs = this.#nowMs()
    this.#waitsForTurn = true
  }

  /** The time for which input waited for a turn is not counted against the client. */
  endWait (isInBody: boolean): void {
    if (!this.#waitsForTurn) return
    this.#waitsForTurn = false
    const waitedMs = this.#nowMs() - this.#waitsSinceMs
    if (this.#headMs !== undefined) this.#headMs += waitedMs
    if (isInBody && this.#requestMs !== undefined) this.#requestMs += waitedMs
    this.#receivedMs += waitedMs
  }

  /** Moves the start of all times, because the instance was late by the duration. */
  postpone (durationMs: number, nowMs: number): void {
    const move = (timeMs: number): number => Math.min(nowMs, timeMs + durationMs)
    this.#openedMs = move(this.#openedMs)
    if (this.#requestMs !== undefined) this.#requestMs = move(this.#requestMs)
    this.#receivedMs = move(this.#receivedMs)
    this.#answeredMs = move(this.#answeredMs)
    this.#waitsSinceMs = move(this.#waitsSinceMs)
    if (this.#headMs !== undefined) this.#headMs = move(this.#headMs)
    if (this.#idleMs !== undefined) this.#idleMs = move(this.#idleMs)
  }

  /** For how long the client has left a request incomplete, or been idle for longer than is allowed. */
  stalledMs (nowMs: number, { isInBody, openRequests }: ConnectionActivity): number {
    if (this.#waitsForTurn) return 0
    if (isInBody) return nowMs - this.#receivedMs
    // A call in progress is not given up because the next request has begun.
    if (openRequests > 0) return 0
    if (this.#headMs !== undefined) return nowMs - this.#headMs
    const { keptIdleMs = DEFAULT_KEPT_IDLE_MS } = this.#limits
    return nowMs - (this.#requestMs === undefined ? this.#openedMs : this.#answeredMs) - keptIdleMs
  }

  /** Returns the limit that the client has exceeded; undefined if it has exceeded none. */
  findOverdue (nowMs: number, { isInBody, openRequests }: ConnectionActivity): OverloadReason | undefined {
    const { headerTimeoutMs, bodyTimeoutMs, idleTimeoutMs } = this.#limits
    // The input has arrived and is not read because of the load of the instance.
    if (this.#waitsForTurn) return undefined
    if (isInBody) return this.#requestMs !== undefined && nowMs - this.#requestMs > bodyTimeoutMs ? 'body-timeout' : undefined
    if (openRequests > 0) return undefined
    if (this.#headMs !== undefined) return nowMs - this.#headMs > headerTimeoutMs ? 'header-timeout' : undefined
    return this.#idleMs !== undefined && nowMs - this.#idleMs > idleTimeoutMs ? 'idle' : undefined
  }
}
