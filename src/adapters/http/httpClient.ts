/** An HTTP client on `undici` that distinguishes requests that were never sent from requests whose response was lost. */
import type { Dispatcher } from 'undici'
import { BaseError } from '../../model/errors.ts'
import type { TimerClock } from '../../ports/clock.ts'
import { Pool } from './undiciPool.ts'

/** No byte of the request was written, so the server has certainly not seen it. */
export const NotSentError = BaseError.subclass('NotSentError')

/** The request was written, at least in part, and no complete response arrived. */
export const NoAnswerError = BaseError.subclass('NoAnswerError')

export interface HttpClientOptions {
  /** `host:port`. */
  readonly address: string
  /** Measures the timeouts of calls; undici itself measures the connect timeout. */
  readonly clock: TimerClock
  /** Maximum number of open connections; further calls are queued. Unlimited by default. */
  readonly connections?: number
  readonly connectTimeoutMs: number
  /** Maximum idle time of a connection; by default the keep-alive time that the server announces. */
  readonly idleConnectionMs?: number
}

export interface CallOptions {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  /** Serialized as JSON. */
  readonly body?: unknown
  readonly headers?: Readonly<Record<string, string>>
  /** Timeout for the whole call; none by default. */
  readonly timeoutMs?: number
  readonly signal?: AbortSignal
}

export interface JsonResponse {
  readonly status: number
  readonly body: unknown
}

/** Per-call state, passed through the dispatcher. */
interface Delivery {
  sent: boolean
}

export type HttpResponse = Dispatcher.ResponseData<Delivery>

/** Marks a call as sent immediately before undici writes it to a connected socket. */
const markSent: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => {
  const delivery = (options as { opaque?: Delivery }).opaque
  return dispatch(options, {
    onRequestStart (controller, context) {
      handler.onRequestStart?.(controller, context)
      // A call that was aborted while it was queued for a connection is not written.
      if (delivery !== undefined && !controller.aborted) delivery.sent = true
    },
    onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
    onResponseStart: (...args) => handler.onResponseStart?.(...args),
    onResponseData: (...args) => handler.onResponseData?.(...args),
    onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
    onResponseError: (...args) => handler.onResponseError?.(...args)
  })
}

interface OpenPool {
  readonly pool: Pool
  readonly dispatcher: Dispatcher
}

/**
 * Calls one server through a pool of connections. The pool is created by the first call: a coordinator has a client for
 * each of its targets, most of which are called by relays.
 *
 * @example
 * const client = new HttpClient({ address: '127.0.0.1:4000', clock: new SystemClock(), connectTimeoutMs: 1_000 })
 * const { status, body } = await client.callJson({ method: 'GET', path: '/v1/list' })
 */
export class HttpClient {
  readonly #options: HttpClientOptions
  #opened: OpenPool | undefined
  #closed = false

  constructor (options: HttpClientOptions) {
    this.#options = options
  }

  /** Calls that wait for a connection because of the limit. */
  get waitingCalls (): number {
    return this.#opened?.pool.stats.queued ?? 0
  }

  /** Resolves when the response headers arrive; the body must be consumed or destroyed. */
  async call (options: CallOptions): Promise<HttpResponse> {
    const delivery: Delivery = { sent: false }
    try {
      return await this.#open().dispatcher.request<Delivery>({
        ...encodeRequest(options), signal: options.signal, opaque: delivery
      })
    } catch (error) {
      throw createCallError(options, delivery.sent, error)
    }
  }

  /** Resolves with the complete response, whose body must be JSON. */
  async callJson (options: CallOptions): Promise<JsonResponse> {
    const { status, text } = await this.#callBuffered(options)
    try {
      return { status, body: JSON.parse(text) }
    } catch (error) {
      throw new NoAnswerError(`${options.method} ${options.path}: the response is incomplete or not JSON:`, { cause: error })
    }
  }

  /** Resolves with the complete response; `body` is undefined if it is empty or not JSON. */
  async callOptionalJson (options: CallOptions): Promise<JsonResponse> {
    const { status, text } = await this.#callBuffered(options)
    try {
      return { status, body: JSON.parse(text) }
    } catch {
      return { status, body: undefined }
    }
  }

  /** Buffers the response without a stream, which small responses do not need. */
  #callBuffered (options: CallOptions): Promise<BufferedResponse> {
    const { timeoutMs, signal } = options
    const { clock } = this.#options
    let pool: Pool
    try {
      pool = this.#open().pool
    } catch (error) {
      return Promise.reject(createCallError(options, false, error))
    }
    return new Promise((resolve, reject) => {
      const handler = new BufferedResponseHandler(resolve, (sent, cause) => reject(createCallError(options, sent, cause)))
      if (timeoutMs !== undefined) {
        const abort = (): void => handler.abort(new BaseError(`no answer within ${timeoutMs} ms`))
        const hasPassed = startMeasurement(clock)
        handler.addCleanup(clock.schedule(timeoutMs, abort))
        handler.beforeSending(() => { if (hasPassed(timeoutMs)) abort() })
      }
      if (signal !== undefined) handler.abortOn(signal)
      pool.dispatch(encodeRequest(options), handler)
    })
  }

  /** Rejects new calls, and closes the connections once the calls in progress have ended. */
  async finish (): Promise<void> {
    this.#closed = true
    await this.#opened?.pool.close()
  }

  /** Closes every connection immediately; calls in progress fail. */
  async close (): Promise<void> {
    this.#closed = true
    await this.#opened?.pool.destroy()
  }

  /** Throws if the client is closed, or if its address is not valid. */
  #open (): OpenPool {
    if (this.#opened !== undefined) return this.#opened
    if (this.#closed) throw new BaseError('the client is closed')
    const { address, connections, connectTimeoutMs, idleConnectionMs } = this.#options
    const pool = new Pool(`http://${address}`, {
      connections: connections ?? null,
      pipelining: 1,
      ...(idleConnectionMs === undefined ? {} : { keepAliveTimeout: idleConnectionMs, keepAliveMaxTimeout: idleConnectionMs }),
      connect: { timeout: connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0
    })
    this.#opened = { pool, dispatcher: pool.compose(markSent) }
    return this.#opened
  }
}

interface BufferedResponse {
  readonly status: number
  readonly text: string
}

/**
 * Returns a function that tells whether a duration has passed since now on either clock: a suspended machine stops the
 * monotonic one.
 */
function startMeasurement (clock: TimerClock): (durationMs: number) => boolean {
  const startedMonotonicMs = clock.monotonicMs()
  const startedWallMs = clock.wallMs()
  return durationMs => Math.max(clock.monotonicMs() - startedMonotonicMs, clock.wallMs() - startedWallMs) >= durationMs
}

function encodeRequest ({ method, path, body, headers }: CallOptions): Dispatcher.DispatchOptions {
  if (body === undefined) return { method, path, headers }
  return { method, path, body: JSON.stringify(body), headers: { 'content-type': 'application/json', ...headers } }
}

function createCallError ({ method, path }: CallOptions, sent: boolean, cause: unknown): Error {
  const ErrorClass = sent ? NoAnswerError : NotSentError
  return new ErrorClass(`${method} ${path}:`, { cause })
}

/** Buffers one response, and ends the call on timeout or abort. */
class BufferedResponseHandler implements Dispatcher.DispatchHandler {
  readonly #resolve: (answer: BufferedResponse) => void
  readonly #reject: (sent: boolean, cause: unknown) => void
  readonly #chunks: Buffer[] = []
  #controller: Dispatcher.DispatchController | undefined
  #status = 0
  #sent = false
  #aborted: Error | undefined
  #cleanups: (() => void)[] = []
  #beforeSending: (() => void) | undefined

  constructor (resolve: (answer: BufferedResponse) => void, reject: (sent: boolean, cause: unknown) => void) {
    this.#resolve = resolve
    this.#reject = reject
  }

  /** Registers a function that runs when the call ends, such as one that cancels its timer. */
  addCleanup (cancel: () => void): void {
    this.#cleanups.push(cancel)
  }

  /**
   * Sets a function that runs immediately before the request is written, and may abort it. After a pause of the process,
   * Node.js handles connections that have become ready before timers that are due.
   */
  beforeSending (check: () => void): void {
    this.#beforeSending = check
  }

  abortOn (signal: AbortSignal): void {
    const onAbort = (): void => this.abort(signal.reason instanceof Error ? signal.reason : new BaseError('the call was aborted'))
    if (signal.aborted) return onAbort()
    signal.addEventListener('abort', onAbort, { once: true })
    this.#cleanups.push(() => signal.removeEventListener('abort', onAbort))
  }

  /** Ends the call; one that is still queued for a connection rejects immediately and is never written. */
  abort (reason: Error): void {
    if (this.#aborted !== undefined) return
    this.#aborted = reason
    this.#controller?.abort(reason)
    this.#finish(() => this.#reject(this.#sent, reason))
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    this.#beforeSending?.()
    if (this.#aborted !== undefined) controller.abort(this.#aborted)
    else this.#sent = true
  }

  onResponseStart (_controller: Dispatcher.DispatchController, statusCode: number): void {
    this.#status = statusCode
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk)
  }

  onResponseEnd (): void {
    const text = this.#chunks.length === 1 ? String(this.#chunks[0]) : Buffer.concat(this.#chunks).toString('utf8')
    this.#finish(() => this.#resolve({ status: this.#status, text }))
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.#finish(() => this.#reject(this.#sent, error))
  }

  #finish (settle: () => void): void {
    for (const release of this.#cleanups) release()
    this.#cleanups = []
    settle()
  }
}
