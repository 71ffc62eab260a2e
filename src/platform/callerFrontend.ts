/** HTTP server for callers on the platform. */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { FrontEndGuard } from '../adapters/http/frontEndGuard.ts'
import type { FrontEndLimits } from '../adapters/http/frontEndLimits.ts'
import { GracefulServerClose } from '../adapters/http/gracefulServerClose.ts'
import type { OverloadReason } from '../adapters/http/memoryBudget.ts'
import { FrontEndBusyError } from '../adapters/http/requestBodies.ts'
import { listenOn } from '../adapters/network.ts'
import { unavailable } from '../entry/callerCall.ts'
import type { CallAction, CallerAnswer, CallerCall, CallerRequest, CallHandler } from '../entry/callerCall.ts'
import type { DesiredStateSummary } from '../jobs/desiredState.ts'
import { hostName } from '../jobs/hostName.ts'
import type { Component } from '../lifecycle/component.ts'
import { InputError } from '../model/errors.ts'
import type { Logger } from '../observability/logger.ts'
import { decodeJobBody } from './jobBody.ts'

const KEY_HEADER = 'x-api-key'
/** Time in milliseconds for which the caller waits for the response. */
const CALLER_TIMEOUT_HEADER = 'x-agategauge-deadline-ms'
const KEEP_ALIVE_TIMEOUT_MS = 60_000
/** Used while no limit is known. */
const DEFAULT_MAX_BODY_BYTES = 262_144
/** Lines about calls that are not served, in one second. A client can cause thousands. */
const MAX_REFUSAL_LINES = 50
const LOG_INTERVAL_MS = 1_000
/** Refused callers return over 3 s, not all at once. */
const BUSY_RETRY_SPREAD_SECONDS = 3
const STOPPING_MESSAGE = 'the instance is stopping'

const ACTION_BY_METHOD: Readonly<Record<string, CallAction>> = { POST: 'submit', GET: 'read', DELETE: 'cancel' }

interface HttpAnswer {
  readonly status: number
  readonly body?: Readonly<Record<string, unknown>>
  readonly retryAfterSeconds?: number
}

export interface CallerFrontendOptions {
  readonly address: string
  readonly handler: CallHandler
  readonly desiredState: () => DesiredStateSummary
  readonly logger: Logger
  readonly limits: FrontEndLimits
  /** Called for each request refused, and each connection closed, to protect the instance. */
  readonly onRefused: (reason: OverloadReason) => void
  readonly onCall: (action: CallAction, outcome: string, durationMs: number) => void
}

export class CallerFrontend implements Component {
  readonly name = 'caller frontend'
  readonly #options: CallerFrontendOptions
  #gracefulClose: GracefulServerClose | undefined
  #guard: FrontEndGuard | undefined
  #linesSinceMs = 0
  #lines = 0
  #closing = false
  /** Settle the calls that have no answer yet. */
  readonly #openCalls = new Set<(answer: CallerAnswer) => void>()
  #answersExpired = false
  #answerTimer: NodeJS.Timeout | undefined

  constructor (options: CallerFrontendOptions) {
    this.#options = options
  }

  /** Calls that wait for their answer, including those whose client has left. */
  get callsInProgress (): number {
    return this.#guard?.callsInProgress ?? 0
  }

  async start (): Promise<void> {
    // A request without a host is answered here: answers of the HTTP server itself are not counted as open requests.
    const server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, requireHostHeader: false }, (request, response) => {
      this.#serve(request, response).catch(error => {
        if (!request.complete) return response.destroy()
        this.#options.logger.error({ error: error instanceof Error ? error.stack : String(error), path: request.url }, 'failed to answer a call')
        if (response.headersSent) response.destroy()
        else this.#write(response, encodeAnswer({ outcome: 'unknown', message: 'internal error of the instance' }))
      })
    })
    const { limits, onRefused, logger } = this.#options
    this.#guard = new FrontEndGuard(server, { limits, onRefused, onSummary: summary => logger.warn(summary, 'clients refused or closed to protect the instance') })
    this.#gracefulClose = new GracefulServerClose(server)
    await listenOn(server, this.#options.address)
  }

  /**
   * Closes each connection after its next answer. Idle connections stay open, since a request may already be in transit.
   * Calls that have no answer after `answerMs` are answered as `unknown`.
   */
  beginClosing (answerMs: number): void {
    this.#closing = true
    this.#answerTimer ??= setTimeout(() => this.#expireAnswers(), answerMs)
  }

  async stop (signal: AbortSignal): Promise<void> {
    this.#closing = true
    await this.#gracefulClose?.close(signal)
    clearTimeout(this.#answerTimer)
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedAtMs = performance.now()
    const action = ACTION_BY_METHOD[request.method ?? '']
    const path = (request.url ?? '/').split('?', 1)[0] as string
    const answer = await this.#readAndAnswer(action, path, request, response)
    this.#options.onCall(action ?? 'read', answer.outcome, performance.now() - startedAtMs)
    if ((answer.outcome === 'unavailable' || answer.outcome === 'limited' || answer.outcome === 'unknown' || answer.outcome === 'invalid') && this.#mayLog(startedAtMs)) {
      this.#options.logger.info({ path, action, outcome: answer.outcome, reason: answer.message, version: this.#options.desiredState().version, tookMs: Math.round(performance.now() - startedAtMs) }, 'call not served')
    }
    this.#write(response, encodeAnswer(answer))
  }

  async #readAndAnswer (action: CallAction | undefined, path: string, request: IncomingMessage, response: ServerResponse): Promise<CallerAnswer> {
    const { desiredState } = this.#options
    if (request.headers.host === undefined && request.httpVersion === '1.1') {
      this.#guard?.endAfter(request)
      response.shouldKeepAlive = false
      return { outcome: 'invalid', message: 'the host header is missing' }
    }
    let body: string | undefined
    try {
      body = await this.#guard?.readBody(request, desiredState().maximumBodyBytes || DEFAULT_MAX_BODY_BYTES, true)
    } catch (error) {
      if (!(error instanceof FrontEndBusyError)) throw error
      response.shouldKeepAlive = false
      return unavailable(error.message)
    }
    return await this.#answer(action, path, request, body)
  }

  #mayLog (nowMs: number): boolean {
    if (nowMs - this.#linesSinceMs >= LOG_INTERVAL_MS) [this.#linesSinceMs, this.#lines] = [nowMs, 0]
    this.#lines += 1
    return this.#lines <= MAX_REFUSAL_LINES
  }

  async #answer (action: CallAction | undefined, path: string, request: IncomingMessage, body: string | undefined): Promise<CallerAnswer> {
    const { desiredState } = this.#options
    if (action === undefined) return { outcome: 'invalid', message: `the method ${request.method} is not supported` }
    if (body === undefined) return { outcome: 'invalid', message: 'the body is too large' }
    let definition = ''
    try {
      if (action === 'submit') definition = JSON.stringify(decodeJobBody(parseJson(body)))
    } catch (error) {
      if (!(error instanceof InputError)) throw error
      return { outcome: 'invalid', message: error.message }
    }
    const call: CallerCall = {
      action,
      host: hostName(request.headers.host ?? ''),
      path,
      key: String(request.headers[KEY_HEADER] ?? ''),
      definition,
      desiredStateVersion: desiredState().version
    }
    return await this.#handle({ call, callerTimeoutMs: parseCallerTimeout(request.headers[CALLER_TIMEOUT_HEADER]) })
  }

  #handle (request: CallerRequest): Promise<CallerAnswer> {
    if (this.#answersExpired) return Promise.resolve(unavailable(STOPPING_MESSAGE))
    if (this.#guard?.beginCall() !== true) return Promise.resolve(unavailable('too many calls are in progress', 1 + Math.floor(Math.random() * BUSY_RETRY_SPREAD_SECONDS)))
    return new Promise((resolve, reject) => {
      this.#openCalls.add(resolve)
      this.#options.handler.handle(request).then(resolve, reject).finally(() => {
        this.#openCalls.delete(resolve)
        this.#guard?.endCall()
      })
    })
  }

  #expireAnswers (): void {
    this.#answersExpired = true
    if (this.#openCalls.size > 0) this.#options.logger.warn({ calls: this.#openCalls.size }, 'answering open calls as unknown, since the stop leaves them no more time')
    for (const resolve of this.#openCalls) resolve({ outcome: 'unknown', message: STOPPING_MESSAGE })
  }

  #write (response: ServerResponse, { status, body, retryAfterSeconds }: HttpAnswer): void {
    const text = JSON.stringify(body ?? {})
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...(retryAfterSeconds === undefined ? {} : { 'retry-after': String(retryAfterSeconds) }),
      ...(this.#closing && this.#guard?.endAfter(response.req) !== false ? { connection: 'close' } : {})
    })
    response.end(text)
  }
}

/** Returns undefined if the header is missing or is not a positive number of milliseconds. */
function parseCallerTimeout (header: string | string[] | undefined): number | undefined {
  const durationMs = Number(header ?? NaN)
  return Number.isFinite(durationMs) && durationMs > 0 ? durationMs : undefined
}

function parseJson (body: string): unknown {
  try {
    return JSON.parse(body)
  } catch (error) {
    throw new InputError('the body is not JSON:', { cause: error })
  }
}

function encodeAnswer (answer: CallerAnswer): HttpAnswer {
  switch (answer.outcome) {
    case 'accepted':
    case 'cancelled': return { status: 200 }
    case 'state': return { status: 200, body: { state: answer.state } }
    case 'pending': return { status: 200, body: { pending: answer.pending } }
    case 'unauthenticated': return { status: 401 }
    case 'no-queue': return { status: 404 }
    case 'no-job': return { status: 410 }
    case 'invalid': return { status: 400, body: { message: answer.message } }
    case 'limited': return { status: 429, body: { message: answer.message }, retryAfterSeconds: answer.retryAfterSeconds }
    case 'unavailable': return { status: 503, body: { message: answer.message }, retryAfterSeconds: answer.retryAfterSeconds }
    case 'unknown': return { status: 504, body: { message: answer.message } }
  }
}
