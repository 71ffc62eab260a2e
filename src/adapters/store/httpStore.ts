/** An HTTP client for the platform's store. */
import { z } from 'zod'
import { InputError, StoreUnavailableError, StoreUnknownError } from '../../model/errors.ts'
import { SystemClock } from '../clock/systemClock.ts'
import type { Component } from '../../lifecycle/component.ts'
import type { TimerClock } from '../../ports/clock.ts'
import type { Store, StoreEntry, WriteOptions, WriteResult } from '../../ports/store.ts'
import { HttpClient, NotSentError } from '../http/httpClient.ts'
import type { CallOptions, JsonResponse } from '../http/httpClient.ts'

const DEFAULT_CALL_TIMEOUT_MS = 2_000
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000

/** Calls of one kind never wait for a connection behind those of another. */
type CallKind = 'read' | 'write' | 'lease' | 'watch'

/** An instance follows few keys, renews one lease, and writes the claims of many requests together. */
const MAX_CONNECTIONS: Readonly<Record<CallKind, number>> = { read: 32, write: 32, lease: 8, watch: 8 }

export interface HttpStoreOptions {
  /** `host:port`. */
  readonly address: string
  /** Timeout for a call; for a watch, added to the watch's own timeout. */
  readonly callTimeoutMs?: number
  readonly connectTimeoutMs?: number
  /** Defaults to the system clock. */
  readonly clock?: TimerClock
}

const entrySchema = z.object({ key: z.string(), value: z.string(), version: z.number().int().positive() })
const entryResponseSchema = z.object({ entry: entrySchema.optional() })
const listResponseSchema = z.object({ entries: z.array(entrySchema) })
const leaseResponseSchema = z.object({ lease: z.string() })
const renewResponseSchema = z.object({ renewed: z.boolean() })
const writeResponseSchema = z.discriminatedUnion('outcome', [
  z.object({ outcome: z.literal('written'), version: z.number().int().positive() }),
  z.object({ outcome: z.literal('conflict'), current: entrySchema.optional() })
])

/**
 * Calls the store, with separate connections for reads, writes, leases and watches. A failed read throws `StoreUnavailableError`; a write that was sent but has no
 * complete response throws `StoreUnknownError`.
 *
 * @example
 * const store = new HttpStore({ address: '127.0.0.1:2379' })
 * const entry = await store.get('registry')
 */
export class HttpStore implements Store, Component {
  readonly name = 'store client'
  readonly #clients: Readonly<Record<CallKind, HttpClient>>
  readonly #callTimeoutMs: number

  constructor ({ address, clock = new SystemClock(), callTimeoutMs = DEFAULT_CALL_TIMEOUT_MS, connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS }: HttpStoreOptions) {
    this.#callTimeoutMs = callTimeoutMs
    const open = (kind: CallKind): HttpClient => new HttpClient({ address, clock, connectTimeoutMs, connections: MAX_CONNECTIONS[kind] })
    this.#clients = { read: open('read'), write: open('write'), lease: open('lease'), watch: open('watch') }
  }

  async start (): Promise<void> {}

  /** Closes the connections; calls in progress fail. */
  async stop (): Promise<void> {
    await Promise.all(Object.values(this.#clients).map(async client => await client.close()))
  }

  async get (key: string, signal?: AbortSignal): Promise<StoreEntry | undefined> {
    return (await this.#read('read', entryPath(key), entryResponseSchema, this.#callTimeoutMs, signal)).entry
  }

  async list (prefix: string, signal?: AbortSignal): Promise<readonly StoreEntry[]> {
    const query = new URLSearchParams({ prefix })
    return (await this.#read('read', `/v1/entries?${query}`, listResponseSchema, this.#callTimeoutMs, signal)).entries
  }

  async put (key: string, value: string, { expectedVersion, lease }: WriteOptions, signal?: AbortSignal): Promise<WriteResult> {
    const body = { value, expectedVersion, lease }
    return await this.#write('write', { method: 'PUT', path: entryPath(key), body, signal }, writeResponseSchema)
  }

  async delete (key: string, expectedVersion: number, signal?: AbortSignal): Promise<WriteResult> {
    const path = `${entryPath(key)}?expectedVersion=${expectedVersion}`
    return await this.#write('write', { method: 'DELETE', path, signal }, writeResponseSchema)
  }

  async grantLease (durationMs: number, signal?: AbortSignal): Promise<string> {
    return (await this.#write('lease', { method: 'POST', path: '/v1/leases', body: { durationMs }, signal }, leaseResponseSchema)).lease
  }

  async renewLease (lease: string, signal?: AbortSignal): Promise<boolean> {
    const path = `/v1/leases/${encodeURIComponent(lease)}/renew`
    return (await this.#write('lease', { method: 'POST', path, body: {}, signal }, renewResponseSchema)).renewed
  }

  async watch (key: string, afterVersion: number, timeoutMs: number, signal?: AbortSignal): Promise<StoreEntry | undefined> {
    const path = `/v1/watch/${encodeURIComponent(key)}?afterVersion=${afterVersion}&timeoutMs=${timeoutMs}`
    return (await this.#read('watch', path, entryResponseSchema, timeoutMs + this.#callTimeoutMs, signal)).entry
  }

  async #read<T> (kind: CallKind, path: string, schema: z.ZodType<T>, timeoutMs: number, signal?: AbortSignal): Promise<T> {
    const options: CallOptions = { method: 'GET', path, timeoutMs, signal }
    try {
      return parseResponse(await this.#clients[kind].callJson(options), schema, options)
    } catch (error) {
      throw error instanceof InputError ? error : createUnavailableError(options, error)
    }
  }

  async #write<T> (kind: CallKind, options: CallOptions, schema: z.ZodType<T>): Promise<T> {
    try {
      return parseResponse(await this.#clients[kind].callJson({ ...options, timeoutMs: this.#callTimeoutMs }), schema, options)
    } catch (error) {
      if (error instanceof InputError || error instanceof StoreUnavailableError) throw error
      if (error instanceof NotSentError) throw createUnavailableError(options, error)
      throw new StoreUnknownError(`the store's response was lost: ${options.method} ${options.path}:`, { cause: error })
    }
  }
}

function entryPath (key: string): string {
  return `/v1/entries/${encodeURIComponent(key)}`
}

/** Statuses other than 200, 400 and 503 do not tell whether the call took effect. */
function parseResponse<T> ({ status, body }: JsonResponse, schema: z.ZodType<T>, { method, path }: CallOptions): T {
  if (status === 400) throw new InputError(`the store rejected ${method} ${path}: ${JSON.stringify(body)}`)
  if (status === 503) throw new StoreUnavailableError(`the store is unavailable (status 503): ${method} ${path}`)
  if (status !== 200) throw new StoreUnknownError(`unexpected status ${status} from the store`)
  return schema.parse(body)
}

function createUnavailableError ({ method, path }: CallOptions, cause: unknown): Error {
  return new StoreUnavailableError(`the store is unreachable: ${method} ${path}:`, { cause })
}
