/** Connections to the store, the targets and the advisor of the platform. */
import { HttpClient } from '../adapters/http/httpClient.ts'
import type { CallOptions, JsonResponse } from '../adapters/http/httpClient.ts'
import type { TimerClock } from '../ports/clock.ts'

/** A connection within and between regions takes 41 ms at most. */
const CONNECT_TIMEOUT_MS = 800
/** Longer than any pause between two calls. */
const IDLE_CONNECTION_MS = 30_000

/**
 * Calls one address at a time; `connections` bounds those open at the same time.
 *
 * @example
 * const caller = new PlatformCaller('10.200.1.7:8182', clock)
 * const { status, body } = await caller.call({ method: 'GET', path: '/-/kv-key?key=op%2Fconfig', timeoutMs: 1_500 })
 */
export class PlatformCaller {
  readonly #clock: TimerClock
  readonly #connections: number | undefined
  #address: string
  #caller: HttpClient

  constructor (address: string, clock: TimerClock, connections?: number) {
    this.#clock = clock
    this.#connections = connections
    this.#address = address
    this.#caller = this.#open()
  }

  get address (): string {
    return this.#address
  }

  /** Resolves with the whole answer; fails with `NotSentError` or `NoAnswerError`. */
  call (options: CallOptions): Promise<JsonResponse> {
    return this.#caller.callOptionalJson(options)
  }

  /** Sends further calls to another address; resolves when the earlier ones have ended. */
  async moveTo (address: string): Promise<void> {
    const earlier = this.#caller
    this.#address = address
    this.#caller = this.#open()
    await earlier.finish()
  }

  async close (): Promise<void> {
    await this.#caller.close()
  }

  #open (): HttpClient {
    return new HttpClient({
      address: this.#address, clock: this.#clock, connections: this.#connections, connectTimeoutMs: CONNECT_TIMEOUT_MS, idleConnectionMs: IDLE_CONNECTION_MS
    })
  }
}
