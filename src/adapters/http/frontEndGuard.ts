/** Protects an HTTP server from clients that send more than they read, or that keep requests open. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { BaseError } from '../../model/errors.ts'
import type { Clock } from '../../ports/clock.ts'
import { CallsInProgress } from './callsInProgress.ts'
import { ConnectionTimes } from './connectionTimes.ts'
import type { ConnectionActivity } from './connectionTimes.ts'
import type { FrontEndLimits } from './frontEndLimits.ts'
import { MemoryBudget } from './memoryBudget.ts'
import type { BudgetAccount, BudgetHolder, OverloadReason } from './memoryBudget.ts'
import { RequestBodies } from './requestBodies.ts'
import { RequestInput } from './requestInput.ts'
import { isParsingMessage, isPausedByServer, setPaused } from './socketInternals.ts'
import { TurnSchedule } from './turnSchedule.ts'
import type { TurnTaker } from './turnSchedule.ts'
import { UnreadAnswers } from './unreadAnswers.ts'

/** Time-outs are checked, and what was refused is reported, at this interval. */
const CHECK_INTERVAL_MS = 1_000
/** A check that is later than this means that the event loop was blocked, and that input may have arrived without being read. */
const LATE_CHECK_MS = 1_000
/** A client may be closed in favour of a new one if its request has been incomplete, or its answer unread, for this time. */
const STALLED_MS = 1_000
/** Time for the requests of one connection in a turn, after which others have theirs. */
const CONNECTION_TURN_MS = 2
/** Heads beyond this size go to the parser at once, which refuses them. */
const MAX_HELD_HEAD_BYTES = 16_384
/** Charged for each request of a connection beyond the first. */
const REQUEST_BYTES = 4_096
/** Connections that are accepted beyond the limit in order to choose the one that is closed. */
const SPARE_CONNECTIONS = 16
const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const TIMEOUT_ANSWER = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n'

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
  readonly #turns = new TurnSchedule()
  readonly #calls: CallsInProgress
  readonly #connections = new Map<Socket, GuardedConnection>()
  #counts: Partial<Record<OverloadReason, number>> = {}
  #checkedMs: number

  constructor (server: Server, options: FrontEndGuardOptions) {
    this.#options = options
    const { limits } = options
    this.#budget = new MemoryBudget(limits.memoryBytes, () => performance.now())
    this.#calls = new CallsInProgress(limits)
    this.#checkedMs = this.nowMs
    // The guard measures these times, because the server counts a connection opened in advance as an incomplete request.
    server.headersTimeout = 0
    server.requestTimeout = 0
    server.maxConnections = limits.connections + SPARE_CONNECTIONS
    server.on('drop', () => this.refused('connections'))
    server.on('connection', (socket: Socket) => this.#accept(socket))
    // Before the listener of the server, so that a body is never read from a request that is not counted.
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => this.#connections.get(request.socket)?.begin(request, response))
    const timer = setInterval(() => this.check(), CHECK_INTERVAL_MS).unref()
    server.once('close', () => clearInterval(timer))
  }

  get limits (): FrontEndLimits {
    return this.#options.limits
  }

  get nowMs (): number {
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
    if (!isBegun) this.refused('calls')
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

  refused (reason: OverloadReason): void {
    this.#counts[reason] = (this.#counts[reason] ?? 0) + 1
    this.#options.onRefused?.(reason)
  }

  #accept (socket: Socket): void {
    if (this.#connections.size >= this.limits.connections && !this.#closeStalled()) {
      this.refused('connections')
      socket.destroy()
      return
    }
    this.#connections.set(socket, new GuardedConnection(socket, this, this.#budget, this.#turns, this.#calls))
    socket.once('close', () => {
      this.#connections.get(socket)?.forget()
      this.#connections.delete(socket)
    })
  }

  /** Closes the connection that has been stalled for longest, if there is one. */
  #closeStalled (): boolean {
    const { nowMs } = this
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
    const { nowMs } = this
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

type Deliver = (this: Socket, chunk: Buffer) => void

/** One connection: gives its input to the parser of the server part by part. */
class GuardedConnection implements BudgetHolder, TurnTaker {
  readonly #socket: Socket
  readonly #guard: FrontEndGuard
  readonly #budget: MemoryBudget
  readonly #turns: TurnSchedule
  readonly #calls: CallsInProgress
  readonly #account: BudgetAccount
  readonly #deliver: Deliver | undefined
  readonly #input = new RequestInput()
  readonly #answers: UnreadAnswers
  readonly #bodies: RequestBodies
  readonly #times: ConnectionTimes
  #chargedInputBytes = 0
  #openRequests = 0
  /** Whether the guard counts the connection as one with an open request. */
  #isBusy = false
  #isForgotten = false
  /** Whether the connection takes no further request. */
  #isLeaving = false
  #last: IncomingMessage | undefined
  /** Whether the parser has been given a part of the next request. */
  #headBegun = false
  #isFeeding = false
  #isPaused = false
  /** Time that the requests of the connection have taken, halved at each check: connections that stay busy keep waiting behind others. */
  #recentMs = 0
  constructor (socket: Socket, guard: FrontEndGuard, budget: MemoryBudget, turns: TurnSchedule, calls: CallsInProgress) {
    this.#socket = socket
    this.#guard = guard
    this.#times = new ConnectionTimes(() => guard.nowMs)
    this.#budget = budget
    this.#turns = turns
    this.#calls = calls
    this.#account = budget.open(this)
    this.#bodies = new RequestBodies(budget, this.#account, () => guard.refused('memory'))
    this.#answers = new UnreadAnswers(socket, this.#account, guard.nowMs)
    // The listener by which the server feeds its parser. It is called for one part after another instead.
    this.#deliver = socket.listeners('data')[0] as Deliver | undefined
    if (this.#deliver === undefined) return
    socket.removeListener('data', this.#deliver)
    socket.on('data', (chunk: Buffer) => this.#receive(chunk))
    socket.on('drain', () => this.feed())
  }

  begin (request: IncomingMessage, response: ServerResponse): void {
    this.#last = request
    this.#times.recordRequest()
    this.#headBegun = false
    this.#openRequests += 1
    this.#noteBusy()
    const isFurther = this.#openRequests > 1
    if (isFurther) this.#account.chargeAnyway(REQUEST_BYTES)
    response.once('close', () => {
      this.#openRequests -= 1
      this.#noteBusy()
      this.#times.recordAnswer()
      this.#bodies.releaseKept(request)
      if (isFurther) this.#account.release(REQUEST_BYTES)
      // A body that nobody reads would stop the input of the connection.
      if (!request.complete) request.resume()
      if (this.#isLeaving && this.#openRequests === 0) this.#socket.destroySoon()
      this.feed()
    })
  }

  endAfter (request: IncomingMessage): boolean {
    this.#isLeaving = true
    return this.#last === request
  }

  #noteBusy (): void {
    const isBusy = this.#openRequests > 0 && !this.#isForgotten
    if (isBusy === this.#isBusy) return
    this.#isBusy = isBusy
    this.#calls.changeBusyConnections(isBusy ? 1 : -1)
  }

  readBody (request: IncomingMessage, maximumBytes: number, keepCharge: boolean): Promise<string | undefined> {
    return this.#bodies.read(request, maximumBytes, keepCharge)
  }

  /** Refuses the body that is being read, or closes the connection if the memory is held by something else. */
  evict (): void {
    if (this.#bodies.isReading && this.#chargedInputBytes === 0 && this.#answers.chargedBytes === 0) this.#bodies.refuse()
    else this.close('memory')
  }

  /** Moves the start of all times of the connection, because the instance was late by the duration. */
  postpone (durationMs: number, nowMs: number): void {
    this.#times.postpone(durationMs, nowMs)
    this.#answers.postpone(durationMs, nowMs)
  }

  /** For how long the client has left a request incomplete or an answer unread. */
  stalledMs (nowMs: number): number {
    this.#answers.noteProgress(nowMs)
    if (this.#answers.isUnread) return this.#answers.unreadMs(nowMs)
    return this.#times.stalledMs(nowMs, this.#activity)
  }

  check (nowMs: number): void {
    this.#recentMs /= 2
    this.#answers.charge(nowMs)
    if (this.#socket.destroyed) return
    const reason = this.#findOverdue(nowMs)
    if (reason !== undefined) this.close(reason)
    this.feed()
  }

  #findOverdue (nowMs: number): OverloadReason | undefined {
    const { limits } = this.#guard
    if (this.#answers.isUnread) return this.#answers.unreadMs(nowMs) > limits.answerTimeoutMs ? 'unread-answer' : undefined
    return this.#times.findOverdue(nowMs, limits, this.#activity)
  }

  get #activity (): ConnectionActivity {
    return { isInBody: this.#isInBody, openRequests: this.#openRequests }
  }

  close (reason: OverloadReason): void {
    if (this.#socket.destroyed) return
    this.#guard.refused(reason)
    if ((reason === 'header-timeout' && this.#openRequests === 0) || (reason === 'body-timeout' && this.#openRequests === 1)) this.#socket.write(TIMEOUT_ANSWER)
    this.#socket.destroy()
    this.forget()
  }

  /** Gives back everything that the connection holds. */
  forget (): void {
    this.#isForgotten = true
    this.#noteBusy()
    this.#bodies.breakOff()
    this.#input.clear()
    this.#chargedInputBytes = 0
    this.#answers.forget()
    this.#budget.close(this.#account)
  }

  #receive (chunk: Buffer): void {
    this.#times.recordInput()
    this.#input.append(chunk)
    this.feed()
  }

  /** Gives waiting input to the parser, as far as the open requests of the connection and the time of this turn allow. */
  feed (): void {
    if (this.#isFeeding) return
    this.#isFeeding = true
    const startedMs = performance.now()
    let spentMs = 0
    try {
      while (this.#hasParsableInput) {
        if (spentMs >= CONNECTION_TURN_MS || !this.#turns.hasTime) {
          if (!this.#isInBody && !this.#headBegun) this.#beginHead()
          this.#times.beginWait()
          this.#turns.wait(this, this.#recentMs + spentMs >= CONNECTION_TURN_MS)
          break
        }
        this.#times.endWait(this.#isInBody)
        if (this.#isInBody || this.#input.hasPart || this.#input.length > MAX_HELD_HEAD_BYTES) this.#deliverPart(this.#input.take())
        else this.#beginHead()
        spentMs = performance.now() - startedMs
      }
    } finally {
      this.#isFeeding = false
      this.#recentMs += spentMs
      this.#turns.spend(spentMs)
    }
    this.#settleInput()
  }

  get #hasParsableInput (): boolean {
    if (this.#input.isEmpty || this.#isEnding || this.#mustHold) return false
    return this.#isInBody || !this.#headBegun || this.#input.hasPart || this.#input.length > MAX_HELD_HEAD_BYTES
  }

  /** The server closes the connection, or has closed it. */
  get #isEnding (): boolean {
    return this.#socket.destroyed || this.#socket.writableEnded
  }

  get #isInBody (): boolean {
    return this.#last !== undefined && !this.#last.complete
  }

  /** Whether the parser must not get more input now. The rest of a body is always given to it, since its request may be the one that is waited for. */
  get #mustHold (): boolean {
    if (isPausedByServer(this.#socket)) return true
    if (this.#isInBody) return false
    return this.#isLeaving || this.#openRequests >= this.#calls.requestsPerConnection || this.#socket.writableNeedDrain
  }

  /** Gives the parser the first byte of an incomplete head, by which the server knows that the connection is not idle. The rest waits here, where it costs its bytes only. */
  #beginHead (): void {
    const first = this.#input.takeBytes(1)
    this.#headBegun = first[0] !== CARRIAGE_RETURN && first[0] !== LINE_FEED
    // Some clients send an empty line after a body. It begins no request, but the server stops its time-out of idle connections.
    if (this.#headBegun) this.#times.recordHead()
    else this.#times.recordEmptyLine()
    this.#deliverPart(first)
  }

  #deliverPart (part: Buffer): void {
    const wasInBody = this.#isInBody
    this.#deliver?.call(this.#socket, part)
    if (wasInBody && !this.#isInBody) this.#noteHeadAfterBody()
  }

  /** The part that ended a body may have given the parser the start of the next head, for which the time counts, too. */
  #noteHeadAfterBody (): void {
    if (this.#isEnding || !isParsingMessage(this.#socket)) return
    // The rest of the head may be the line end alone, which would not be taken for the end of a head.
    this.#times.recordHead()
  }

  /** Pauses or resumes the socket, and charges what waits. */
  #settleInput (): void {
    if (this.#isEnding) this.#input.clear()
    if (this.#input.isEmpty) this.#times.endWait(this.#isInBody)
    const mustPause = !this.#input.isEmpty && (this.#mustHold || this.#times.waitsForTurn)
    if (mustPause || this.#isPaused) {
      this.#isPaused = mustPause
      setPaused(this.#socket, mustPause)
    }
    const { heldBytes } = this.#input
    const added = heldBytes - this.#chargedInputBytes
    this.#chargedInputBytes = heldBytes
    if (added <= 0) {
      this.#account.release(-added)
    } else if (!this.#account.charge(added)) {
      this.#chargedInputBytes -= added
      this.close('memory')
    }
  }
}
