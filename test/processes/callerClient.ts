/** HTTP client of the caller interface, with one connection per call. */
import { Agent, request } from 'undici'

export interface CallerAnswer {
  /** Absent if the connection broke. */
  readonly status?: number
  readonly verdict?: string
  readonly target?: string
  readonly code?: string
  readonly claimed?: boolean
  readonly body: Buffer
  /** Why no complete answer was received. */
  readonly error?: unknown
}

export interface RequestOptions {
  readonly id: string
  readonly kind?: string
  readonly queue?: string
  readonly size?: Readonly<Record<string, number>>
  readonly tasks?: number
  readonly deadlineMs?: number
  readonly repeatable?: boolean
  readonly payload?: unknown
}

interface RefusalBody {
  readonly error?: { readonly code?: string, readonly claimed?: boolean }
}

export class CallerClient {
  /** With `pipelining: 0` undici closes each connection after its call. */
  readonly #agent = new Agent({ pipelining: 0, connect: { timeout: 5_000 }, headersTimeout: 0, bodyTimeout: 0 })

  async run (address: string, key: string | undefined, options: RequestOptions, signal?: AbortSignal): Promise<CallerAnswer> {
    return await this.#call(address, key, 'POST', '/v1/requests', { kind: 'urgent', repeatable: true, ...options }, signal)
  }

  async find (address: string, key: string | undefined, id: string): Promise<CallerAnswer> {
    return await this.#call(address, key, 'GET', `/v1/requests/${id}`)
  }

  async cancel (address: string, key: string | undefined, id: string): Promise<CallerAnswer> {
    return await this.#call(address, key, 'DELETE', `/v1/requests/${id}`)
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #call (address: string, key: string | undefined, method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown, signal?: AbortSignal): Promise<CallerAnswer> {
    try {
      const response = await request(`http://${address}${path}`, {
        method,
        signal,
        dispatcher: this.#agent,
        headers: { 'content-type': 'application/json', ...(key === undefined ? {} : { authorization: `Bearer ${key}` }) },
        body: body === undefined ? undefined : JSON.stringify(body)
      })
      const bytes = Buffer.from(await response.body.arrayBuffer())
      const { statusCode: status, headers } = response
      const refusal = status >= 300 ? (JSON.parse(bytes.toString('utf8')) as RefusalBody).error : undefined
      return {
        status,
        body: bytes,
        code: refusal?.code,
        claimed: refusal?.claimed,
        verdict: headers['agategauge-verdict'] as string | undefined,
        target: headers['agategauge-target'] as string | undefined
      }
    } catch (error) {
      return { body: Buffer.alloc(0), error }
    }
  }
}
