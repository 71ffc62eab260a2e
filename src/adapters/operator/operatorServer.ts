/** The HTTP API for operators of one instance. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { InputError } from '../../model/errors.ts'
import type { Component } from '../../lifecycle/component.ts'
import { CHANGE_STATUS, OPERATOR_PATHS } from '../../observability/operatorApi.ts'
import type { HealthReport, OperatorHandler } from '../../observability/operatorApi.ts'
import { getBoundAddress, listenOn } from '../network.ts'
import { BodyTooLargeError, validateDrain, parseSubmission, hasValidToken, MAX_WAIT_MS, readJsonBody } from './operatorRequests.ts'

export interface OperatorServerOptions {
  /** `host:port`; with port 0 the system chooses the port, see `address`. */
  readonly listen: string
  readonly token: string
  /** Time within which a client must send its complete request. */
  readonly requestTimeoutMs: number
  /** Receives errors for which the response has status 500. */
  readonly onError: (error: unknown) => void
}

interface OperatorResponse {
  readonly status: number
  readonly body: unknown
  readonly contentType?: string
}

const JSON_TYPE = 'application/json; charset=utf-8'
/** Sufficient for operators, metrics scrapers and the load balancer's probes, which are few. */
const MAX_CONNECTIONS = 256
const MAX_HEADER_BYTES = 16_384

type Route = (request: IncomingMessage, signal: AbortSignal) => Promise<OperatorResponse>

function createHealthResponse (report: HealthReport): OperatorResponse {
  return { status: report.ok ? 200 : 503, body: report }
}

/**
 * The HTTP server for operators. All paths except `/health` and `/ready` require the operator token.
 *
 * @example
 * manager.add(new OperatorServer(handler, { listen: '127.0.0.1:8001', token, requestTimeoutMs: 15_000, onError }))
 */
export class OperatorServer implements Component {
  readonly name = 'operator server'
  readonly #handler: OperatorHandler
  readonly #options: OperatorServerOptions
  readonly #server: Server
  readonly #routes: Readonly<Record<string, Route>>

  constructor (handler: OperatorHandler, options: OperatorServerOptions) {
    this.#handler = handler
    this.#options = options
    this.#routes = this.#createRoutes()
    this.#server = createServer({
      requestTimeout: options.requestTimeoutMs,
      headersTimeout: options.requestTimeoutMs,
      connectionsCheckingInterval: Math.max(50, Math.floor(options.requestTimeoutMs / 4)),
      maxHeaderSize: MAX_HEADER_BYTES
    }, (request, response) => { this.#serve(request, response).catch(options.onError) })
    this.#server.maxConnections = MAX_CONNECTIONS
    this.#server.timeout = MAX_WAIT_MS + options.requestTimeoutMs
  }

  /** The bound address, as `host:port`; available after `start`. */
  get address (): string {
    return getBoundAddress(this.#server)
  }

  async start (): Promise<void> {
    await listenOn(this.#server, this.#options.listen)
  }

  async stop (signal: AbortSignal): Promise<void> {
    const closeConnections = (): void => this.#server.closeAllConnections()
    signal.addEventListener('abort', closeConnections, { once: true })
    try {
      await new Promise<void>(resolve => {
        this.#server.close(() => resolve())
        this.#server.closeIdleConnections()
        if (signal.aborted) closeConnections()
      })
    } finally {
      signal.removeEventListener('abort', closeConnections)
    }
  }

  #createRoutes (): Readonly<Record<string, Route>> {
    const handler = this.#handler
    return {
      [`GET ${OPERATOR_PATHS.health}`]: async () => createHealthResponse(handler.readHealth()),
      [`GET ${OPERATOR_PATHS.ready}`]: async () => createHealthResponse(handler.readReadiness()),
      [`GET ${OPERATOR_PATHS.configuration}`]: async () => ({ status: 200, body: await handler.readConfiguration() }),
      [`GET ${OPERATOR_PATHS.status}`]: async () => ({ status: 200, body: await handler.readStatus() }),
      [`GET ${OPERATOR_PATHS.metrics}`]: async () => ({ status: 200, ...await handler.readMetrics() }),
      [`POST ${OPERATOR_PATHS.changes}`]: async (request, signal) => {
        const changeAnswer = await handler.submitChange(parseSubmission(await readJsonBody(request)), signal)
        return { status: CHANGE_STATUS[changeAnswer.outcome], body: changeAnswer }
      },
      [`POST ${OPERATOR_PATHS.drain}`]: async request => {
        validateDrain(await readJsonBody(request))
        return { status: 202, body: await handler.drainSelf() }
      }
    }
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const closed = new AbortController()
    response.once('close', () => closed.abort(new Error('the client closed the connection')))
    const result = await this.#handle(request, closed.signal)
    if (response.destroyed) return
    const text = result.contentType === undefined ? JSON.stringify(result.body) : String(result.body)
    response.writeHead(result.status, {
      'content-type': result.contentType ?? JSON_TYPE,
      'content-length': Buffer.byteLength(text),
      'cache-control': 'no-store',
      ...(request.complete ? {} : { connection: 'close' })
    })
    response.end(text)
  }

  async #handle (request: IncomingMessage, signal: AbortSignal): Promise<OperatorResponse> {
    const path = (request.url ?? '').split('?')[0] ?? ''
    const isProbe = path === OPERATOR_PATHS.health || path === OPERATOR_PATHS.ready
    if (!isProbe && !hasValidToken(request, this.#options.token)) {
      return { status: 401, body: { message: 'the operator token is missing or wrong' } }
    }
    const route = Object.hasOwn(this.#routes, `${request.method} ${path}`) ? this.#routes[`${request.method} ${path}`] : undefined
    if (route === undefined) return { status: 404, body: { message: `no such resource: ${request.method} ${path.slice(0, 100)}` } }
    try {
      return await route(request, signal)
    } catch (error) {
      if (error instanceof BodyTooLargeError) return { status: 413, body: { outcome: 'invalid', messages: [error.message] } }
      if (error instanceof InputError) return { status: 400, body: { outcome: 'invalid', messages: error.message.split('\n') } }
      if (!signal.aborted) this.#options.onError(error)
      return { status: 500, body: { message: 'internal error; see the log of the instance for details' } }
    }
  }
}
