/** Gives the input of one connection to the parser of its server part by part, within the limits of the front end. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { CallsInProgress } from './callsInProgress.ts'
import { ConnectionTimes } from './connectionTimes.ts'
import type { ConnectionActivity } from './connectionTimes.ts'
import type { FrontEndLimits } from './frontEndLimits.ts'
import type { BudgetAccount, BudgetHolder, MemoryBudget, OverloadReason } from './memoryBudget.ts'
import { RequestBodies } from './requestBodies.ts'
import { RequestInput } from './requestInput.ts'
import { isParsingMessage, isPausedByServer, limitReadingAhead, setPaused } from './socketInternals.ts'
import type { TurnSchedule, TurnTaker } from './turnSchedule.ts'
import { UnreadAnswers } from './unreadAnswers.ts'

/** Time for the requests of one connection in a turn, after which others have theirs. */
const CONNECTION_TURN_MS = 2
/** Heads beyond this size go to the parser at once, which refuses them. */
const MAX_HELD_HEAD_BYTES = 16_384
/** A paused connection that holds less reads on, so that it notices when the client leaves. */
const READ_AHEAD_BYTES = 16_384
/** Time after which a request counts half as much of what makes its connection a busy one. */
const RECENT_HALF_LIFE_MS = 1_000
/** Charged for each request of a connection beyond the first. */
const REQUEST_BYTES = 4_096
const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const TIMEOUT_ANSWER = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n'

export interface ConnectionOptions {
  readonly limits: FrontEndLimits
  readonly budget: MemoryBudget
  readonly turns: TurnSchedule
  readonly calls: CallsInProgress
  readonly nowMs: () => number
  /** Called for each refused request, and when the connection is closed because of a limit. */
  readonly onRefused: (reason: OverloadReason) => void
}

type Deliver = (this: Socket, chunk: Buffer) => void

/**
 * Takes the place of the listener by which the server feeds its parser.
 *
 * @example
 * server.on('connection', socket => new GuardedConnection(socket, options))
 */
export class GuardedConnection implements BudgetHolder, TurnTaker {
  readonly #socket: Socket
  readonly #options: ConnectionOptions
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
  /** Time that the requests of the connection have taken lately: connections that stay busy keep waiting behind others. */
  #recentMs = 0
  #checkedMs: number

  constructor (socket: Socket, options: ConnectionOptions) {
    const { limits, budget, nowMs, onRefused } = options
    this.#socket = socket
    this.#options = options
    this.#checkedMs = nowMs()
    this.#times = new ConnectionTimes(nowMs, limits)
    this.#account = budget.open(this)
    this.#bodies = new RequestBodies(budget, this.#account, () => onRefused('memory'))
    this.#answers = new UnreadAnswers(socket, this.#account, nowMs())
    // The listener by which the server feeds its parser. It is called for one part after another instead.
    this.#deliver = socket.listeners('data')[0] as Deliver | undefined
    if (this.#deliver === undefined) return
    socket.removeListener('data', this.#deliver)
    socket.on('data', (chunk: Buffer) => this.#receive(chunk))
    socket.on('drain', () => this.feed())
    limitReadingAhead(socket, () => !this.#isPaused || this.#waitingBytes < READ_AHEAD_BYTES)
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
    this.#options.calls.changeBusyConnections(isBusy ? 1 : -1)
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
    this.#recentMs *= 0.5 ** ((nowMs - this.#checkedMs) / RECENT_HALF_LIFE_MS)
    this.#checkedMs = nowMs
    this.#answers.charge(nowMs)
    if (this.#socket.destroyed) return
    const reason = this.#findOverdue(nowMs)
    if (reason !== undefined) this.close(reason)
    this.feed()
  }

  #findOverdue (nowMs: number): OverloadReason | undefined {
    const { limits } = this.#options
    if (this.#answers.isUnread) return this.#answers.unreadMs(nowMs) > limits.answerTimeoutMs ? 'unread-answer' : undefined
    return this.#times.findOverdue(nowMs, this.#activity)
  }

  get #activity (): ConnectionActivity {
    return { isInBody: this.#isInBody, openRequests: this.#openRequests }
  }

  close (reason: OverloadReason): void {
    if (this.#socket.destroyed) return
    this.#options.onRefused(reason)
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
    this.#options.budget.close(this.#account)
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
        if (spentMs >= CONNECTION_TURN_MS || !this.#options.turns.hasTime) {
          if (!this.#isInBody && !this.#headBegun) this.#beginHead()
          this.#times.beginWait()
          this.#options.turns.wait(this, this.#recentMs + spentMs >= CONNECTION_TURN_MS)
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
      this.#options.turns.spend(spentMs)
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
    return this.#isLeaving || this.#openRequests >= this.#options.calls.requestsPerConnection || this.#socket.writableNeedDrain
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

  /** Memory of the input that waits here and in the buffer of the socket. */
  get #waitingBytes (): number {
    return this.#input.heldBytes + this.#socket.readableLength
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
    const waitingBytes = this.#waitingBytes
    const added = waitingBytes - this.#chargedInputBytes
    this.#chargedInputBytes = waitingBytes
    if (added <= 0) {
      this.#account.release(-added)
    } else if (!this.#account.charge(added)) {
      this.#chargedInputBytes -= added
      this.close('memory')
    }
  }
}
