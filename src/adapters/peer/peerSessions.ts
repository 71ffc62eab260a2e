/** HTTP/2 sessions to one peer, with detection of sessions that no longer answer. */
import { constants } from 'node:http2'
import type { ClientHttp2Session, ClientHttp2Stream, ClientSessionRequestOptions, OutgoingHttpHeaders } from 'node:http2'
import { setImmediate as endOfTurn } from 'node:timers/promises'
import { Code, ConnectError } from '@connectrpc/connect'
import { Http2SessionManager } from '@connectrpc/connect-node'

export interface PeerSessionOptions {
  /** Time without a sign of life after which a session with open streams, or one that is to be used again, is pinged. */
  readonly pingIntervalMs: number
  /** Time for the answer to a ping. */
  readonly pingTimeoutMs: number
}

/**
 * Opens a session when it is needed, and replaces one that was closed or does not answer. The pings of `Http2SessionManager`
 * are not used: a session that its peer closes while it is pinged before its next use blocks all later requests, and one
 * that is replaced while it closes emits an `error` event without a listener, which is an uncaught exception.
 *
 * @example
 * const sessions = new PeerSessions('http://10.1.0.7:7400', { pingIntervalMs: 5_000, pingTimeoutMs: 3_000 })
 * const transport = createConnectTransport({ baseUrl: sessions.authority, httpVersion: '2', sessionManager: sessions })
 */
export class PeerSessions {
  readonly #options: PeerSessionOptions
  readonly #manager: Http2SessionManager
  /** Includes sessions that were replaced after a GOAWAY and whose streams go on. */
  readonly #watched = new WeakMap<ClientHttp2Session, WatchedSession>()
  #current: WatchedSession | undefined
  #aborted = false

  constructor (baseUrl: string, options: PeerSessionOptions) {
    this.#options = options
    this.#manager = new Http2SessionManager(baseUrl, { pingIntervalMs: Infinity })
  }

  get authority (): string {
    return this.#manager.authority
  }

  async request (method: string, path: string, headers: OutgoingHttpHeaders, options: Omit<ClientSessionRequestOptions, 'signal'>): Promise<ClientHttp2Stream> {
    await this.#current?.verify()
    if (this.#aborted) throw new ConnectError('the sessions to the peer were closed', Code.Canceled)
    const stream = await this.#manager.request(method, path, headers, options)
    this.#watch(stream)
    return stream
  }

  notifyResponseByteRead (stream: ClientHttp2Stream): void {
    this.#manager.notifyResponseByteRead(stream)
    const session = stream.session as ClientHttp2Session | undefined
    if (session !== undefined) this.#watched.get(session)?.noteAlive()
  }

  /** Closes the session and its streams; requests are refused from then on. */
  abort (): void {
    this.#aborted = true
    this.#manager.abort()
  }

  #watch (stream: ClientHttp2Stream): void {
    const session = stream.session as ClientHttp2Session | undefined
    if (session === undefined) return
    const watched = this.#watched.get(session) ?? new WatchedSession(session, this.#options)
    this.#watched.set(session, watched)
    this.#current = watched
    watched.addStream(stream)
  }
}

class WatchedSession {
  readonly #session: ClientHttp2Session
  readonly #options: PeerSessionOptions
  #aliveAtMs = performance.now()
  #streamCount = 0
  #timer: NodeJS.Timeout | undefined
  #verifying: Promise<void> | undefined
  #pingUnanswered = false
  #endPing: (() => void) | undefined

  constructor (session: ClientHttp2Session, options: PeerSessionOptions) {
    this.#session = session
    this.#options = options
    // The manager removes its own listener when it replaces the session, which may report an error later.
    session.on('error', () => {})
    session.once('close', () => clearTimeout(this.#timer))
  }

  addStream (stream: ClientHttp2Stream): void {
    this.#streamCount++
    stream.once('response', () => this.noteAlive())
    stream.once('close', () => { this.#streamCount-- })
    if (this.#timer === undefined) this.#schedule()
  }

  /** Also ends the wait for the answer to a ping, which may be delayed by an upload that was sent before it. */
  noteAlive (): void {
    this.#aliveAtMs = performance.now()
    this.#endPing?.()
  }

  /** Pings a session that is to be used again if there was no sign of life lately; resolves when it has answered or is closed. */
  async verify (): Promise<void> {
    if (!this.#session.closed) await this.#check()
  }

  async #check (): Promise<void> {
    if (this.#session.destroyed || this.#untilPingMs() > 0) return
    this.#verifying ??= this.#ping().finally(() => { this.#verifying = undefined })
    await this.#verifying
  }

  #untilPingMs (): number {
    return this.#aliveAtMs + this.#options.pingIntervalMs - performance.now()
  }

  /** Checks the session regularly as long as it has streams, also after a GOAWAY, which closes it but lets its streams go on. */
  #schedule (): void {
    this.#timer = setTimeout(async () => {
      if (this.#streamCount > 0) await this.#check()
      this.#timer = undefined
      if (this.#streamCount > 0 && !this.#session.destroyed) this.#schedule()
    }, Math.max(0, this.#untilPingMs())).unref()
  }

  /** Resolves at the next sign of life, or when the session is closed; destroys the session if there is none in time. */
  async #ping (): Promise<void> {
    await new Promise<void>(resolve => {
      let ended = false
      const timer = setTimeout(async () => {
        // After a time in which this process did not run, the answer may have arrived without having been read.
        await endOfTurn()
        if (!ended) this.#session.destroy(new ConnectError('PING timed out', Code.Unavailable), constants.NGHTTP2_CANCEL)
      }, this.#options.pingTimeoutMs).unref()
      const end = (): void => {
        ended = true
        clearTimeout(timer)
        this.#session.off('close', end)
        this.#endPing = undefined
        if (this.#streamCount === 0 && !this.#session.destroyed) this.#session.unref()
        resolve()
      }
      this.#endPing = end
      // A session without streams does not keep the process alive, but a request that waits for this ping must.
      this.#session.ref()
      this.#session.once('close', end)
      this.#sendPing()
    })
  }

  /** Sends nothing while an earlier ping is unanswered, since Node.js limits the number of unanswered pings. */
  #sendPing (): void {
    if (this.#pingUnanswered) return
    this.#pingUnanswered = true
    const onAnswer = (error: Error | null): void => {
      this.#pingUnanswered = false
      if (error === null) this.noteAlive()
      else if (this.#session.destroyed) this.#endPing?.()
    }
    // Node.js sends no PING on a closed session. A SETTINGS frame without settings changes nothing and must be acknowledged.
    if (this.#session.closed) this.#session.settings({}, onAnswer)
    else this.#session.ping(onAnswer)
  }
}
