/** HTTP calls by `undici` that tell a call that was never sent from one whose answer was lost. */
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import { BaseError } from '../../model/errors.ts'
import type { Clock } from '../../ports/clock.ts'

/** No byte of the call was written: the callee certainly has not seen it. */
export const NotSentError = BaseError.subclass('NotSentError')

/** The call was written, at least in part, and no whole answer came back. */
export const NoAnswerError = BaseError.subclass('NoAnswerError')

export interface HttpCallerOptions {
  /** `host:port`. */
  readonly address: string
  /** For the time limits of calls; the time limit of connecting is undici's own. */
  readonly clock: Clock
  /** Connections open at the same time; calls beyond wait. Unlimited if left out. */
  readonly connections?: number
  readonly connectTimeoutMs: number
  /** Idle connections close after that time at the latest; as the server announces if left out. */
  readonly idleConnectionMs?: number
}

export interface CallOptions {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  /** Sent as JSON. */
  readonly body?: unknown
  readonly headers?: Readonly<Record<string, string>>
  /** Limit for the whole call; none if left out. */
  readonly timeoutMs?: number
  readonly signal?: AbortSignal
}

export interface JsonResponse {
  readonly status: number
  readonly body: unknown
}

/** Passed through the dispatcher with each call. */
interface Delivery {
  sent: boolean
}

export type HttpResponse = Dispatcher.ResponseData<Delivery>

/** Marks a call as sent right before undici writes it to a connected socket. */
const markSent: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => {
  const delivery = (options as { opaque?: Delivery }).opaque
  return dispatch(options, {
    onRequestStart (controller, context) {
      handler.onRequestStart?.(controller, context)
      // A call that was aborted while it waited for a connection is not written.
      if (delivery !== undefined && !controller.aborted) delivery.sent = true
    },
    onRequestUpgrade: (...given) => handler.onRequestUpgrade?.(...given),
    onResponseStart: (...given) => handler.onResponseStart?.(...given),
    onResponseData: (...given) => handler.onResponseData?.(...given),
    onResponseEnd: (...given) => handler.onResponseEnd?.(...given),
    onResponseError: (...given) => handler.onResponseError?.(...given)
  })
}

/**
 * Calls one server through a pool of connections.
 *
 * @example
 * const caller = new HttpCaller({ address: '127.0.0.1:4000', clock: new SystemClock(), connectTimeoutMs: 1_000 })
 * const { status, body } = await caller.callJson({ method: 'GET', path: '/v1/list' })
 */
export class HttpCaller {
  readonly #clock: Clock
  readonly #pool: Pool
  readonly #dispatcher: Dispatcher

  constructor ({ address, clock, connections, connectTimeoutMs, idleConnectionMs }: HttpCallerOptions) {
    this.#clock = clock
    this.#pool = new Pool(`http://${address}`, {
      connections: connections ?? null,
      pipelining: 1,
      ...(idleConnectionMs === undefined ? {} : { keepAliveTimeout: idleConnectionMs, keepAliveMaxTimeout: idleConnectionMs }),
      connect: { timeout: connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0
    })
    this.#dispatcher = this.#pool.compose(markSent)
  }

  /** Resolves with the head of the answer; the body must be read or destroyed. */
  async call ({ method, path, body, headers, signal }: CallOptions): Promise<HttpResponse> {
    const delivery: Delivery = { sent: false }
    try {
      return await this.#dispatcher.request<Delivery>({
        method,
        path,
        signal,
        opaque: delivery,
        ...(body === undefined ? { headers } : { body: JSON.stringify(body), headers: { 'content-type': 'application/json', ...headers } })
      })
    } catch (error) {
      const ErrorClass = delivery.sent ? NoAnswerError : NotSentError
      throw new ErrorClass(`${method} ${path}:`, { cause: error })
    }
  }

  /** Resolves with the whole answer. */
  async callJson (options: CallOptions): Promise<JsonResponse> {
    return await this.#callWhole(options, readJson)
  }

  /** Resolves with the whole answer, whose body may be empty or not JSON: it is undefined then. */
  async callLenient (options: CallOptions): Promise<JsonResponse> {
    return await this.#callWhole(options, readOptionalJson)
  }

  async #callWhole (
    options: CallOptions, readBody: (response: HttpResponse, options: CallOptions) => Promise<unknown>
  ): Promise<JsonResponse> {
    const limit = limitTime(this.#clock, options.timeoutMs, options.signal)
    try {
      const response = await this.call({ ...options, signal: limit.signal })
      return { status: response.statusCode, body: await readBody(response, options) }
    } finally {
      limit.clear()
    }
  }

  /** Closes every connection; calls in progress fail. */
  async close (): Promise<void> {
    await this.#pool.destroy()
  }
}

async function readJson (response: HttpResponse, { method, path }: CallOptions): Promise<unknown> {
  try {
    return await response.body.json()
  } catch (error) {
    throw new NoAnswerError(`${method} ${path}: the answer is not whole:`, { cause: error })
  }
}

async function readOptionalJson (response: HttpResponse, { method, path }: CallOptions): Promise<unknown> {
  let text: string
  try {
    text = await response.body.text()
  } catch (error) {
    throw new NoAnswerError(`${method} ${path}: the answer is not whole:`, { cause: error })
  }
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

interface TimeLimit {
  /** Aborts when the time is up or the caller's own signal aborts. */
  readonly signal?: AbortSignal
  readonly clear: () => void
}

function limitTime (clock: Clock, timeoutMs?: number, signal?: AbortSignal): TimeLimit {
  if (timeoutMs === undefined) return { signal, clear: () => {} }
  const abort = new AbortController()
  const timer = new AbortController()
  const onAbort = (): void => abort.abort(signal?.reason)
  clock.sleep(timeoutMs, timer.signal).then(() => abort.abort(new BaseError(`no answer within ${timeoutMs} ms`)), () => {})
  if (signal?.aborted) onAbort()
  signal?.addEventListener('abort', onAbort, { once: true })
  return {
    signal: abort.signal,
    clear: () => {
      timer.abort()
      signal?.removeEventListener('abort', onAbort)
    }
  }
}
