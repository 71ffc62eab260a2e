/** A JSON HTTP server, used by the stand-ins, peers, readiness and metrics. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { BaseError, InputError } from '../../model/errors.ts'
import type { Component } from '../../lifecycle/component.ts'
import { getBoundAddress, listenOn } from '../network.ts'
import { guardFrontEnd } from './frontEndGuard.ts'
import type { FrontEndLimits } from './frontEndLimits.ts'
import { readRequestBody } from './readRequestBody.ts'
import { matchRoute } from './routes.ts'
import type { RouteResponse, Route, RouteMatch } from './routes.ts'

/** How long idle connections stay open. */
const KEEP_ALIVE_MS = 60_000

export interface JsonServerOptions {
  readonly name: string
  /** `host:port`; with port 0 the system chooses a free port. */
  readonly listen: string
  readonly routes: readonly Route[]
  readonly onConnection?: (socket: Socket) => void
  /** Limits for clients that are not under control; none by default. Bodies are not counted: after a request with one, the connection is closed. */
  readonly limits?: FrontEndLimits
}

/**
 * Serves routes. `InputError` from a handler gives status 400; any other error resets the
 * connection, as if the server had failed during the request.
 *
 * @example
 * const server = new JsonServer({ name: 'store', listen: '127.0.0.1:0', routes })
 * await server.start()
 */
export class JsonServer implements Component {
  readonly name: string
  readonly #options: JsonServerOptions
  #server: Server | undefined

  constructor (options: JsonServerOptions) {
    this.name = options.name
    this.#options = options
  }

  /** The bound address, as `host:port`. */
  get address (): string {
    if (this.#server === undefined) throw new BaseError(`${this.name} is not listening`)
    return getBoundAddress(this.#server)
  }

  async start (): Promise<void> {
    const { limits } = this.#options
    const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, requireHostHeader: limits === undefined }, (request, response) => {
      this.#serve(request, response).catch(() => response.destroy())
    })
    if (limits !== undefined) guardFrontEnd(server, { limits })
    if (this.#options.onConnection !== undefined) server.on('connection', this.#options.onConnection)
    await listenOn(server, this.#options.listen)
    this.#server = server
  }

  /** Closes every connection immediately, including those with requests in progress. */
  async stop (): Promise<void> {
    const server = this.#server
    if (server === undefined) return
    this.#server = undefined
    await new Promise<void>(resolve => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    // Probes have no body. One that stays open would hold one of the few connections, so that other probes are refused.
    if (this.#options.limits !== undefined && announcesBody(request)) response.shouldKeepAlive = false
    const url = new URL(request.url ?? '/', 'http://localhost')
    const match = matchRoute(this.#options.routes, request.method ?? '', url.pathname)
    if (match === undefined) {
      request.resume()
      return writeJson(response, { status: 404, body: { message: `no such resource: ${request.method} ${url.pathname}` } })
    }
    const result = await this.#handle(match, url.searchParams, request, response)
    if (result !== undefined) writeJson(response, result)
  }

  async #handle (
    { route, parameters }: RouteMatch, query: URLSearchParams, request: IncomingMessage, response: ServerResponse
  ): Promise<RouteResponse | undefined> {
    // Created only on access: few routes use it, and creating one costs as much as serving a small request.
    let abort: AbortController | undefined
    const onClose = (): void => abort?.abort(new BaseError('the connection was closed'))
    response.once('close', onClose)
    try {
      const body = await readBody(request)
      return await route.handle({
        parameters,
        query,
        body,
        response,
        get signal () {
          abort ??= new AbortController()
          if (response.destroyed) onClose()
          return abort.signal
        }
      })
    } catch (error) {
      if (error instanceof InputError) return { status: 400, body: { message: error.message } }
      throw error
    } finally {
      response.off('close', onClose)
    }
  }
}

function announcesBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}

async function readBody (request: IncomingMessage): Promise<unknown> {
  if (request.method === 'GET' || request.method === 'DELETE') {
    request.resume()
    return undefined
  }
  const content = String(await readRequestBody(request))
  if (content === '') return undefined
  try {
    return JSON.parse(content)
  } catch (error) {
    if (error instanceof SyntaxError) throw new InputError('the request body is not valid JSON:', { cause: error })
    throw error
  }
}

function writeJson (response: ServerResponse, { status, body }: RouteResponse): void {
  // A string is written together with the headers.
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}
