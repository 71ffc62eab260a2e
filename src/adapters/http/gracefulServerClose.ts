/** Closes an HTTP server without resetting requests that have arrived but have not been read. */
import { once } from 'node:events'
import type { Server } from 'node:http'
import { Server as NetServer } from 'node:net'
import type { Socket } from 'node:net'
import { setImmediate as endOfTurn, setTimeout as sleep } from 'node:timers/promises'

/** Limits the wait for turns without a new connection, which may not come while callers keep reconnecting. */
const ACCEPT_TIMEOUT_MS = 1_500
/** Turns of the event loop without an arrival. The first may end before the event loop looks for input. */
const QUIET_TURNS = 2
/** Interval at which connections that have become idle are closed. */
const IDLE_CHECK_INTERVAL_MS = 20

/**
 * A closed listener resets the connections that wait to be accepted, and a closed connection loses the request that lies
 * unread in its socket. After a busy spell there may be many of both, so they are read first.
 *
 * @example
 * const closing = new GracefulServerClose(server)
 * await closing.close(AbortSignal.timeout(2_500))
 */
export class GracefulServerClose {
  readonly #server: Server
  /** Connections without a request so far; Node.js does not count these as idle. */
  readonly #unused = new Set<Socket>()
  #arrivals = 0

  /** Must be created before the server listens. */
  constructor (server: Server) {
    this.#server = server
    server.on('connection', (socket: Socket) => {
      this.#arrivals += 1
      this.#unused.add(socket)
      socket.once('close', () => this.#unused.delete(socket))
    })
    server.on('request', ({ socket }) => {
      this.#arrivals += 1
      this.#unused.delete(socket)
    })
  }

  /** Stops listening, and closes each connection once it is idle; resolves when none is left. An abort closes all at once. */
  async close (signal: AbortSignal): Promise<void> {
    await this.#waitForQuiet(signal, ACCEPT_TIMEOUT_MS)
    const closed = new AbortController()
    // The method of the HTTP server would also close the idle connections.
    NetServer.prototype.close.call(this.#server, () => closed.abort())
    while (!closed.signal.aborted && !signal.aborted) {
      await this.#waitForQuiet(signal, Infinity)
      this.#closeIdleConnections()
      await sleep(IDLE_CHECK_INTERVAL_MS, undefined, { signal: closed.signal }).catch(() => {})
    }
    this.#server.closeAllConnections()
    if (!closed.signal.aborted) await once(closed.signal, 'abort')
  }

  async #waitForQuiet (signal: AbortSignal, timeoutMs: number): Promise<void> {
    const startedAtMs = performance.now()
    for (let quietTurns = 0; quietTurns < QUIET_TURNS && !signal.aborted && performance.now() - startedAtMs < timeoutMs;) {
      const known = this.#arrivals
      await endOfTurn()
      quietTurns = this.#arrivals === known ? quietTurns + 1 : 0
    }
  }

  #closeIdleConnections (): void {
    this.#server.closeIdleConnections()
    for (const socket of this.#unused) if (socket.bytesRead === 0) socket.destroy()
  }
}
