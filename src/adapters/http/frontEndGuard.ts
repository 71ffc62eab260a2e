/** Protects an HTTP server from clients that send more than they read, or that keep requests open. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { BaseError } from '../../model/errors.ts'
import type { Clock } from '../../ports/clock.ts'
import { CallsInProgress } from './callsInProgress.ts'
import type { FrontEndLimits } from './frontEndLimits.ts'
import { GuardedConnection } from './guardedConnection.ts'
import type { ConnectionOptions } from './guardedConnection.ts'
import { MemoryBudget } from './memoryBudget.ts'
import type { OverloadReason } from './memoryBudget.ts'
import { TurnSchedule } from './turnSchedule.ts'

/** Time-outs are checked, and what was refused is reported, at this interval. */
const CHECK_INTERVAL_MS = 1_000
/** A check that is later than this means that the event loop was blocked, and that input may have arrived without being read. */
const LATE_CHECK_MS = 1_000
/** A client may be closed in favour of a new one if its request has been incomplete, or its answer unread, for this time. */
const STALLED_MS = 1_000
/** Connections that are accepted beyond the limit in order to choose the one that is closed. */
const SPARE_CONNECTIONS = 16

/** What was refused or closed within one interval. */
export interface OverloadSummary {
  readonly counts: Readonly<Partial<Record<OverloadReason, number>>>
  readonly connections: number
  readonly calls: number
  readonly heldBytes: number
}

export interface FrontEndGuardOptions {
  readonly limits: FrontEndLimits
  /** Called for each refused request or closed connection. */
  readonly onRefused?: (reason: OverloadReason) => void
  /** Called at most once a second. */
  readonly onSummary?: (summary: OverloadSummary) => void
  /** For the time-outs; the time of the process unless set. */
  readonly clock?: Pick<Clock, 'monotonicMs'>
}

/**
 * Limits the memory, the time and the connections of the clients of a server. While the answers of a connection are
 * unsent or unread, its further requests are not parsed. Must be created after the server and before it listens.
 *
 * @example
 * const guard = new FrontEndGuard(server, { limits, onSummary: summary => logger.warn(summary, 'front end overloaded') })
 * const body = await guard.readBody(request, 262_144)
 */
export class FrontEndGuard {
  readonly #options: FrontEndGuardOptions
  readonly #budget: MemoryBudget
  readonly #calls: CallsInProgress
  readonly #connectionOptions: ConnectionOptions
  readonly #connections = new Map<Socket, GuardedConnection>()
  #counts: Partial<Record<OverloadReason, number>> = {}
  #checkedMs: number

  constructor (server: Server, options: FrontEndGuardOptions) {
    this.#options = options
    const { limits } = options
    this.#budget = new MemoryBudget(limits.memoryBytes, () => performance.now())
    this.#calls = new CallsInProgress(limits)
    this.#connectionOptions = {
      limits,
      budget: this.#budget,
      turns: new TurnSchedule(),
      calls: this.#calls,
      nowMs: () => this.#nowMs,
      onRefused: reason => this.#refused(reason)
    }
    this.#checkedMs = this.#nowMs
    // The guard measures these times, because the server counts a connection opened in advance as an incomplete request.
    server.headersTimeout = 0
    server.requestTimeout = 0
    server.maxConnections = limits.connections + SPARE_CONNECTIONS
    server.on('drop', () => this.#refused('connections'))
    server.on('connection', (socket: Socket) => this.#accept(socket))
    // Before the listener of the server, so that a body is never read from a request that is not counted.
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => this.#connections.get(request.socket)?.begin(request, response))
    const timer = setInterval(() => this.check(), CHECK_INTERVAL_MS).unref()
    server.once('close', () => clearInterval(timer))
  }

  get #nowMs (): number {
    return this.#options.clock?.monotonicMs() ?? performance.now()
  }

  get heldBytes (): number {
    return this.#budget.usedBytes
  }

  /**
   * Resolves with the body, or with undefined as soon as it is longer than the limit in bytes. Rejects with
   * `FrontEndBusyError` if there is no memory for it, and with another error if the request breaks off. The memory stays
   * charged until the request is answered if `keepCharge` is set, for a handler that keeps the body while it waits.
   */
  readBody (request: IncomingMessage, maximumBytes: number, keepCharge = false): Promise<string | undefined> {
    const connection = this.#connections.get(request.socket)
    if (connection === undefined) return Promise.reject(new BaseError('the connection is closed'))
    return connection.readBody(request, maximumBytes, keepCharge)
  }

  get callsInProgress (): number {
    return this.#calls.count
  }

  /**
   * Counts a call that a handler begins, whose promises, timers and messages take memory until it has ended, whether or
   * not its client is still there. Returns false if there are too many; the call must then be refused. Each `true` must
   * be followed by one `endCall`.
   *
   * @example
   * if (!guard.beginCall()) return refuse()
   * try { return await handle(call) } finally { guard.endCall() }
   */
  beginCall (): boolean {
    const isBegun = this.#calls.begin()
    if (!isBegun) this.#refused('calls')
    return isBegun
  }

  endCall (): void {
    this.#calls.end()
  }

  /**
   * Takes no request of the connection after those that have begun, since its next answers close it. Returns whether the
   * request is the newest: only then may its answer carry `connection: close`, or the answers behind it would be lost.
   * The guard closes the connection if the newest request has been answered before.
   *
   * @example
   * if (guard.endAfter(request)) response.setHeader('connection', 'close')
   */
  endAfter (request: IncomingMessage): boolean {
    return this.#connections.get(request.socket)?.endAfter(request) ?? true
  }

  #refused (reason: OverloadReason): void {
    this.#counts[reason] = (this.#counts[reason] ?? 0) + 1
    this.#options.onRefused?.(reason)
  }

  #accept (socket: Socket): void {
    if (this.#connections.size >= this.#options.limits.connections && !this.#closeStalled()) {
      this.#refused('connections')
      socket.destroy()
      return
    }
    this.#connections.set(socket, new GuardedConnection(socket, this.#connectionOptions))
    socket.once('close', () => {
      this.#connections.get(socket)?.forget()
      this.#connections.delete(socket)
    })
  }

  /** Closes the connection that has been stalled for longest, if there is one. */
  #closeStalled (): boolean {
    const nowMs = this.#nowMs
    this.#allowForDelay(nowMs)
    let stalled: GuardedConnection | undefined
    let longestMs = STALLED_MS
    for (const connection of this.#connections.values()) {
      const stalledMs = connection.stalledMs(nowMs)
      if (stalledMs > longestMs) [stalled, longestMs] = [connection, stalledMs]
    }
    stalled?.close('connections')
    return stalled !== undefined
  }

  /** Time during which the event loop was blocked is not counted against the clients. */
  #allowForDelay (nowMs: number): void {
    const delayMs = nowMs - this.#checkedMs - CHECK_INTERVAL_MS
    if (delayMs <= LATE_CHECK_MS) return
    this.#checkedMs = nowMs
    for (const connection of this.#connections.values()) connection.postpone(delayMs, nowMs)
  }

  /** Closes the connections whose time is over, and reports what was refused. Called once a second. */
  check (): void {
    const nowMs = this.#nowMs
    this.#allowForDelay(nowMs)
    this.#checkedMs = nowMs
    for (const connection of this.#connections.values()) connection.check(nowMs)
    if (Object.keys(this.#counts).length === 0) return
    const counts = this.#counts
    this.#counts = {}
    this.#options.onSummary?.({ counts, connections: this.#connections.size, calls: this.#calls.count, heldBytes: this.heldBytes })
  }
}

/**
 * Applies the limits to a server that reads no bodies from its clients.
 *
 * @example
 * guardFrontEnd(server, { limits: PROBE_LIMITS })
 */
export function guardFrontEnd (server: Server, options: FrontEndGuardOptions): FrontEndGuard {
  return new FrontEndGuard(server, options)
}
