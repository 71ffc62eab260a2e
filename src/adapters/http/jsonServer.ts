/** The HTTP server of stand-ins, peers, readiness and metrics. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { text } from 'node:stream/consumers'
import { BaseError, InputError } from '../../model/errors.ts'
import type { Component } from '../../lifecycle/component.ts'
import { getBoundAddress, listenOn } from '../network.ts'
import { matchRoute } from './routes.ts'
import type { RouteResponse, Route, RouteMatch } from './routes.ts'

/** Idle connections stay open for that long. */
const KEEP_ALIVE_MS = 60_000

export interface JsonServerOptions {
  readonly name: string
  /** `host:port`; port 0 chooses a free one. */
  readonly listen: string
  readonly routes: readonly Route[]
  readonly onConnection?: (socket: Socket) => void
}

/**
 * Serves routes. A handler that throws `InputError` answers 400; after any other error the
 * connection is reset, as when the server fails in the middle of a call.
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

  /** `host:port` as bound. */
  get address (): string {
    if (this.#server === undefined) throw new BaseError(`${this.name} does not listen`)
    return getBoundAddress(this.#server)
  }

  async start (): Promise<void> {
    const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
      this.#serve(request, response).catch(() => response.destroy())
    })
    if (this.#options.onConnection !== undefined) server.on('connection', this.#options.onConnection)
    await listenOn(server, this.#options.listen)
    this.#server = server
  }

  /** Closes every connection at once, also those in the middle of a call. */
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
    const url = new URL(request.url ?? '/', 'http://localhost')
    const match = matchRoute(this.#options.routes, request.method ?? '', url.pathname)
    if (match === undefined) {
      request.resume()
      return writeJson(response, { status: 404, body: { message: `no such resource: ${request.method} ${url.pathname}` } })
    }
    const answer = await this.#handle(match, url.searchParams, request, response)
    if (answer !== undefined) writeJson(response, answer)
  }

  async #handle (
    { route, parameters }: RouteMatch, query: URLSearchParams, request: IncomingMessage, response: ServerResponse
  ): Promise<RouteResponse | undefined> {
    // Created for the few routes that ask for it, since each costs as much as a small call.
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

async function readBody (request: IncomingMessage): Promise<unknown> {
  if (request.method === 'GET' || request.method === 'DELETE') {
    request.resume()
    return undefined
  }
  const content = await text(request)
  if (content === '') return undefined
  try {
    return JSON.parse(content)
  } catch (error) {
    if (error instanceof SyntaxError) throw new InputError('the body is not JSON:', { cause: error })
    throw error
  }
}

function writeJson (response: ServerResponse, { status, body }: RouteResponse): void {
  const bytes = Buffer.from(JSON.stringify(body))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': bytes.length })
  response.end(bytes)
}
