/** The HTTP server for callers: limits bodies and connections, streams answers, and puts a verdict in every refusal. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Component } from '../../lifecycle/component.ts'
import { RefusalError } from '../../model/errors.ts'
import type { CallerHandler } from '../../ports/callerHandler.ts'
import type { RunEvent } from '../../ports/peerClient.ts'
import { FrontEndGuard } from '../http/frontEndGuard.ts'
import type { FrontEndGuardOptions } from '../http/frontEndGuard.ts'
import { DEFAULT_FRONT_END_LIMITS, deriveClientShare } from '../http/frontEndLimits.ts'
import type { FrontEndLimits } from '../http/frontEndLimits.ts'
import { GracefulServerClose } from '../http/gracefulServerClose.ts'
import { FrontEndBusyError } from '../http/requestBodies.ts'
import { getBoundAddress, listenOn } from '../network.ts'
import { REFUSAL_STATUS } from './refusalStatus.ts'

export interface CallerServerOptions extends Partial<Omit<FrontEndLimits, 'connections' | 'bodyTimeoutMs'>>, Omit<FrontEndGuardOptions, 'limits'> {
  readonly address: string
  readonly bodyLimitBytes: number
  readonly connectionLimit: number
  /** A caller that has not sent its complete request within this time is disconnected. */
  readonly requestTimeoutMs: number
}

const REQUESTS_PATH = '/v1/requests'
const HEADERS_TIMEOUT_MS = 10_000
/** Sent with a refusal for want of memory, or because of too many calls in progress. */
const RETRY_AFTER_SECONDS = 1
/**
 * How long open connections still accept requests during a planned stop; each response then carries
 * `connection: close`. Busy callers send several requests in this time, so that few connections are closed without it.
 */
const DRAIN_GRACE_MS = 500

export class CallerServer implements Component {
  readonly name = 'caller server'
  readonly #options: CallerServerOptions
  readonly #handler: CallerHandler
  readonly #server: Server
  readonly #guard: FrontEndGuard
  readonly #gracefulClose: GracefulServerClose
  readonly #openResponses = new Set<Promise<void>>()
  #stopping = false

  constructor (options: CallerServerOptions, handler: CallerHandler) {
    this.#options = options
    this.#handler = handler
    // A request without a host is answered here: answers of the HTTP server itself are not counted as open requests.
    this.#server = createServer({ requireHostHeader: false })
    this.#guard = new FrontEndGuard(this.#server, { limits: createLimits(options), onRefused: options.onRefused, onSummary: options.onSummary })
    this.#gracefulClose = new GracefulServerClose(this.#server)
    this.#server.on('request', (request, response) => this.#track(this.#respond(request, response)))
  }

  /** The bound address; with port 0 in the options, the system chooses the port. */
  get address (): string {
    return getBoundAddress(this.#server)
  }

  /** The number of requests without a complete response. */
  get openRequests (): number {
    return this.#openResponses.size
  }

  async start (): Promise<void> {
    await listenOn(this.#server, this.#options.address)
  }

  /** Serves open connections for a grace period, stops listening, and waits for the requests in progress. */
  async stop (signal: AbortSignal): Promise<void> {
    this.#stopping = true
    if (await this.#hasConnections()) {
      await sleep(DRAIN_GRACE_MS, undefined, { signal }).catch(() => {
        // The stop timed out; the remaining connections are closed below.
      })
    }
    await this.#gracefulClose.close(signal)
  }

  async #hasConnections (): Promise<boolean> {
    return await new Promise((resolve, reject) => this.#server.getConnections((error, count) => {
      if (error === null) resolve(count > 0)
      else reject(error)
    }))
  }

  #track (task: Promise<void>): void {
    this.#openResponses.add(task)
    task.finally(() => this.#openResponses.delete(task)).catch(() => {})
  }

  async #respond (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.#stopping && this.#guard.endAfter(request)) response.setHeader('connection', 'close')
    try {
      await this.#route(request, response)
    } catch (error) {
      sendError(response, error)
    }
  }

  async #route (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.headers.host === undefined && request.httpVersion === '1.1') {
      this.#guard.endAfter(request)
      response.shouldKeepAlive = false
      throw new RefusalError('the host header is missing', { code: 'invalid', verdict: 'not-run' })
    }
    const pathname = readPath(request)
    const key = readApiKey(request)
    if (pathname === REQUESTS_PATH && request.method === 'POST') return await this.#run(key, request, response)
    const requestId = pathname.startsWith(`${REQUESTS_PATH}/`) ? decodeRequestId(pathname) : ''
    if (requestId === '') throw createNotFoundError(`no such resource: ${pathname}`)
    if (request.method === 'GET') {
      const statuses = await this.#call(response, async () => await this.#handler.find(key, requestId))
      if (statuses.length === 0) throw createNotFoundError(`no reachable instance runs request ${requestId}`)
      return sendJson(response, 200, { id: requestId, attempts: statuses })
    }
    if (request.method === 'DELETE') {
      return sendJson(response, 200, { id: requestId, cancelled: await this.#call(response, async () => await this.#handler.cancel(key, requestId)) })
    }
    throw createNotFoundError(`${request.method} is not supported at ${pathname}`)
  }

  /** Calls about a request ask all other instances. Those that run a request are limited by its queue instead, where they may wait for long. */
  async #call<Answer> (response: ServerResponse, call: () => Promise<Answer>): Promise<Answer> {
    if (!this.#guard.beginCall()) {
      response.setHeader('retry-after', String(RETRY_AFTER_SECONDS))
      throw new RefusalError('too many calls are in progress', { code: 'shed', verdict: 'not-run' })
    }
    try {
      return await call()
    } finally {
      this.#guard.endCall()
    }
  }

  async #readJson (request: IncomingMessage, response: ServerResponse): Promise<unknown> {
    const { bodyLimitBytes } = this.#options
    const text = await this.#readText(request, response)
    if (text === undefined) throw new RefusalError(`the request body is larger than ${bodyLimitBytes} bytes`, { code: 'too-large', verdict: 'not-run' })
    try {
      return JSON.parse(text)
    } catch (error) {
      throw new RefusalError(`the request body is not valid JSON: ${(error as Error).message}`, { code: 'invalid', verdict: 'not-run' })
    }
  }

  async #readText (request: IncomingMessage, response: ServerResponse): Promise<string | undefined> {
    try {
      return await this.#guard.readBody(request, this.#options.bodyLimitBytes)
    } catch (error) {
      if (!(error instanceof FrontEndBusyError)) throw error
      response.setHeader('connection', 'close')
      response.setHeader('retry-after', String(RETRY_AFTER_SECONDS))
      throw new RefusalError(error.message, { code: 'shed', verdict: 'not-run' })
    }
  }

  async #run (key: string | undefined, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await this.#readJson(request, response)
    const abort = new AbortController()
    response.on('close', () => {
      if (!response.writableFinished) abort.abort(new Error('the caller closed the connection'))
    })
    await writeAnswer(response, this.#handler.run(key, body, abort.signal))
  }
}

function createLimits (options: CallerServerOptions): FrontEndLimits {
  const { connectionLimit, requestTimeoutMs, memoryBytes, headerTimeoutMs, answerTimeoutMs, idleTimeoutMs, pipelinedRequests } = options
  return {
    memoryBytes: memoryBytes ?? deriveClientShare().memoryBytes,
    connections: connectionLimit,
    headerTimeoutMs: Math.min(headerTimeoutMs ?? HEADERS_TIMEOUT_MS, requestTimeoutMs),
    bodyTimeoutMs: requestTimeoutMs,
    answerTimeoutMs: answerTimeoutMs ?? DEFAULT_FRONT_END_LIMITS.answerTimeoutMs,
    idleTimeoutMs: idleTimeoutMs ?? DEFAULT_FRONT_END_LIMITS.idleTimeoutMs,
    pipelinedRequests: pipelinedRequests ?? DEFAULT_FRONT_END_LIMITS.pipelinedRequests
  }
}

/** Writes the events as a response; an answer without a valid end event resets the connection. */
async function writeAnswer (response: ServerResponse, events: AsyncIterable<RunEvent>): Promise<void> {
  let written = 0
  for await (const event of events) {
    if (event.type === 'refused') throw new RefusalError(event.message, event)
    if (event.type === 'head') {
      response.writeHead(200, {
        'content-type': event.contentType, 'agategauge-verdict': 'ran', 'agategauge-target': event.target
      })
    } else if (event.type === 'chunk') {
      written += event.bytes.byteLength
      if (!response.write(event.bytes)) await waitForDrain(response)
    } else if (event.type === 'end') {
      if (event.byteCount !== written) throw createIncompleteError(`the answer is incomplete: got ${written} of ${event.byteCount} bytes`)
      response.end()
      return
    }
  }
  throw createIncompleteError('the answer stream ended without an end event')
}

function createIncompleteError (message: string): RefusalError {
  return new RefusalError(message, { code: 'answer-incomplete', verdict: 'may-have-run' })
}

function createNotFoundError (message: string): RefusalError {
  return new RefusalError(message, { code: 'not-found', verdict: 'not-run' })
}

async function waitForDrain (response: ServerResponse): Promise<void> {
  const abort = new AbortController()
  try {
    await Promise.race([
      once(response, 'drain', { signal: abort.signal }),
      once(response, 'close', { signal: abort.signal }).then(() => { throw new Error('the caller closed the connection') })
    ])
  } finally {
    abort.abort()
  }
}

function sendError (response: ServerResponse, error: unknown): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const refusal = error instanceof RefusalError
    ? error
    : new RefusalError('internal error of the instance', { code: 'internal', verdict: 'may-have-run', cause: error })
  const { code, message, verdict, claimed } = refusal
  response.setHeader('agategauge-verdict', verdict)
  if (code === 'too-large') response.setHeader('connection', 'close')
  // A refusal code from a newer version has no status in this table.
  sendJson(response, REFUSAL_STATUS[code] ?? REFUSAL_STATUS.internal, { error: { code, message, verdict, ...(claimed ? { claimed } : {}) } })
}

function sendJson (response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body) + '\n'
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

function readPath ({ url = '/' }: IncomingMessage): string {
  try {
    return new URL(url, 'http://instance').pathname
  } catch {
    throw new RefusalError('the request path is not a valid URL', { code: 'invalid', verdict: 'not-run' })
  }
}

function readApiKey (request: IncomingMessage): string | undefined {
  const header = request.headers.authorization
  return header === undefined ? undefined : /^Bearer\s+(\S+)$/i.exec(header)?.[1] ?? ''
}

function decodeRequestId (pathname: string): string {
  try {
    return decodeURIComponent(pathname.slice(REQUESTS_PATH.length + 1))
  } catch {
    throw new RefusalError(`${pathname} is not correctly percent-encoded`, { code: 'invalid', verdict: 'not-run' })
  }
}
