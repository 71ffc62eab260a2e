/** HTTP client for the store, the targets and the placement advisor of the platform. */
import { HttpClient } from '../adapters/http/httpClient.ts'
import type { CallOptions, JsonResponse } from '../adapters/http/httpClient.ts'
import type { TimerClock } from '../ports/clock.ts'

/** Connecting takes at most 41 ms, within and between regions. */
const CONNECT_TIMEOUT_MS = 800
/** Longer than any interval between two calls, so that connections are reused. */
const IDLE_CONNECTION_TIMEOUT_MS = 30_000

/**
 * Sends calls to one address, which can be changed. Further calls than `maxConnections` wait for a connection; one that
 * gets none within its time-out rejects with `NotSentError`.
 *
 * @example
 * const client = new PlatformHttpClient('10.200.1.7:8182', clock, 16)
 * const { status, body } = await client.call({ method: 'GET', path: '/-/kv-key?key=op%2Fconfig', timeoutMs: 1_500 })
 */
export class PlatformHttpClient {
  readonly #clock: TimerClock
  readonly #maxConnections: number
  #address: string
  #client: HttpClient

  constructor (address: string, clock: TimerClock, maxConnections: number) {
    this.#clock = clock
    this.#maxConnections = maxConnections
    this.#address = address
    this.#client = this.#open()
  }

  get address (): string {
    return this.#address
  }

  /** Calls that wait for a connection. */
  get waitingCalls (): number {
    return this.#client.waitingCalls
  }

  /** Resolves with the complete answer; rejects with `NotSentError` or `NoAnswerError`. */
  call (options: CallOptions): Promise<JsonResponse> {
    return this.#client.callOptionalJson(options)
  }

  /** Sends new calls to another address; resolves when the calls to the previous one have ended. */
  async moveTo (address: string): Promise<void> {
    const previous = this.#client
    this.#address = address
    this.#client = this.#open()
    await previous.finish()
  }

  async close (): Promise<void> {
    await this.#client.close()
  }

  #open (): HttpClient {
    return new HttpClient({
      address: this.#address, clock: this.#clock, connections: this.#maxConnections, connectTimeoutMs: CONNECT_TIMEOUT_MS, idleConnectionMs: IDLE_CONNECTION_TIMEOUT_MS
    })
  }
}
