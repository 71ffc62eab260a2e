/** An HTTP client for the platform's instance list. */
import { BaseError } from '../../model/errors.ts'
import { SystemClock } from '../clock/systemClock.ts'
import type { Component } from '../../lifecycle/component.ts'
import type { TimerClock } from '../../ports/clock.ts'
import type { InstanceList, ListSnapshot } from '../../ports/instanceList.ts'
import { HttpClient } from '../http/httpClient.ts'
import { parseListSnapshot } from './listSchema.ts'

const DEFAULT_CALL_TIMEOUT_MS = 2_000
/** The list is read from time to time, by one caller at a time. */
const MAX_CONNECTIONS = 4

export interface HttpInstanceListOptions {
  /** `host:port`. */
  readonly address: string
  readonly callTimeoutMs?: number
  /** Defaults to the system clock. */
  readonly clock?: TimerClock
}

/**
 * Reads the instance list from its HTTP endpoint.
 *
 * @example
 * const { instances } = await new HttpInstanceList({ address: '127.0.0.1:8500' }).read()
 */
export class HttpInstanceList implements InstanceList, Component {
  readonly name = 'instance list client'
  readonly #client: HttpClient
  readonly #callTimeoutMs: number

  constructor ({ address, callTimeoutMs = DEFAULT_CALL_TIMEOUT_MS, clock = new SystemClock() }: HttpInstanceListOptions) {
    this.#callTimeoutMs = callTimeoutMs
    this.#client = new HttpClient({ address, clock, connections: MAX_CONNECTIONS, connectTimeoutMs: callTimeoutMs })
  }

  async start (): Promise<void> {}

  async stop (): Promise<void> {
    await this.#client.close()
  }

  async read (signal?: AbortSignal): Promise<ListSnapshot> {
    const { status, body } = await this.#client.callJson({ method: 'GET', path: '/v1/list', timeoutMs: this.#callTimeoutMs, signal })
    if (status !== 200) throw new BaseError(`the instance list responded with status ${status}: ${JSON.stringify(body)}`)
    return parseListSnapshot(body, 'the instance list')
  }
}
