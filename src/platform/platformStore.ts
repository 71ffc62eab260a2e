/** HTTP client of the platform's metadata store. */
import { z } from 'zod'
import { NotSentError } from '../adapters/http/httpClient.ts'
import type { CallOptions, JsonResponse } from '../adapters/http/httpClient.ts'
import type { Component } from '../lifecycle/component.ts'
import { InputError, StoreUnavailableError, StoreUnknownError } from '../model/errors.ts'
import type { TimerClock } from '../ports/clock.ts'
import type {
  CommitResult, StoreChange, StoredItem, StorePage, StoreRead, Transaction, TransactionalStore, WatchResult
} from '../ports/transactionalStore.ts'
import { PlatformHttpClient } from './platformHttpClient.ts'

const itemSchema = z.object({ key: z.string(), value: z.string(), revision: z.number() })
const readSchema = itemSchema.extend({ at: z.number() })
const absentSchema = z.object({ at: z.number() })
const pageSchema = z.object({ items: z.array(itemSchema), has_more: z.boolean(), at: z.number() })
const eventSchema = z.object({
  key: z.string(),
  revision: z.number(),
  value: z.string().optional(),
  /** Despite its name, this says that the key was removed; the history was not compacted. */
  compacted: z.boolean().optional()
})
const watchSchema = z.object({ events: z.array(eventSchema), at: z.number() })
const revisionSchema = z.object({ revision: z.number() })
const conflictSchema = z.object({ items: z.array(itemSchema) })
const leaseSchema = z.object({ lease_id: z.number(), ttl_ms: z.number() })

/** The store normally answers within milliseconds, and within 400 ms when it is slow. */
const CALL_TIMEOUT_MS = 1_500
/** Whole pages may be read over the link between regions. */
const PAGE_TIMEOUT_MS = 4_000
/** Added to the waiting time of a watch. */
const WATCH_TIMEOUT_MARGIN_MS = 1_500

/**
 * Connections for each kind of call. The coordinator has at most about six reads, five commits and five renewals under
 * way, even while the store leaves calls unanswered until their time-out; the rest is for the questions of other instances.
 */
const MAX_CONNECTIONS: Readonly<Record<StoreCallKind, number>> = { read: 16, watch: 8, commit: 16, lease: 16 }

/** Calls of one kind never wait for a connection behind those of another. */
export type StoreCallKind = 'read' | 'watch' | 'commit' | 'lease'

/**
 * The platform's metadata store as a `TransactionalStore`. The renewal of the election, the watches and the commits have
 * connections of their own, so that no number of reads delays them.
 */
export class PlatformStore implements TransactionalStore, Component {
  readonly name = 'store client'
  readonly #clients: Readonly<Record<StoreCallKind, PlatformHttpClient>>

  constructor (address: string, clock: TimerClock) {
    const open = (kind: StoreCallKind): PlatformHttpClient => new PlatformHttpClient(address, clock, MAX_CONNECTIONS[kind])
    this.#clients = { read: open('read'), watch: open('watch'), commit: open('commit'), lease: open('lease') }
  }

  get address (): string {
    return this.#clients.read.address
  }

  /** Calls that wait for a connection, by kind. */
  get waitingCalls (): Readonly<Record<StoreCallKind, number>> {
    const { read, watch, commit, lease } = this.#clients
    return { read: read.waitingCalls, watch: watch.waitingCalls, commit: commit.waitingCalls, lease: lease.waitingCalls }
  }

  /** Sends new calls to another address; resolves when the calls to the previous one have ended. */
  async moveTo (address: string): Promise<void> {
    await Promise.all(Object.values(this.#clients).map(async client => await client.moveTo(address)))
  }

  async start (): Promise<void> {}

  async stop (): Promise<void> {
    await Promise.all(Object.values(this.#clients).map(async client => await client.close()))
  }

  async get (key: string): Promise<StoreRead> {
    const { status, body } = await this.#read('read', { method: 'GET', path: `/-/kv-key?${new URLSearchParams({ key })}`, timeoutMs: CALL_TIMEOUT_MS })
    if (status === 404) return { revision: absentSchema.safeParse(body).data?.at ?? 0 }
    const item = parseAnswer(readSchema, status, body, 'get')
    return { item: decodeItem(item), revision: item.at }
  }

  async listPage (prefix: string, after?: string): Promise<StorePage> {
    const query = new URLSearchParams(after === undefined ? { prefix } : { prefix, after })
    const { status, body } = await this.#read('read', { method: 'GET', path: `/-/kv-range?${query}`, timeoutMs: PAGE_TIMEOUT_MS })
    const page = parseAnswer(pageSchema, status, body, 'list')
    return { items: page.items.map(decodeItem), hasMore: page.has_more, revision: page.at }
  }

  async watch (prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<WatchResult> {
    const query = new URLSearchParams({ prefix, after: String(afterRevision), wait_ms: String(Math.floor(waitMs)) })
    const { status, body } = await this.#read('watch', { method: 'GET', path: `/-/kv-watch?${query}`, timeoutMs: waitMs + WATCH_TIMEOUT_MARGIN_MS, signal })
    if (status === 410) return { outcome: 'history-lost' }
    const answer = parseAnswer(watchSchema, status, body, 'watch')
    return { outcome: 'changes', changes: answer.events.map(decodeChange), revision: answer.at }
  }

  async commit ({ conditions, writes, removes }: Transaction): Promise<CommitResult> {
    const { status, body } = await this.#write('commit', {
      method: 'POST',
      path: '/-/kv-txn',
      body: {
        expected_rev: conditions,
        write: writes.map(({ key, value, lease }) => ({ key, value: encodeValue(value), ...(lease === undefined ? {} : { lease_id: lease }) })),
        remove: removes
      }
    })
    if (status === 404) return { outcome: 'lease-ended' }
    if (status === 412) return { outcome: 'conflict', current: parseAnswer(conflictSchema, 200, body, 'commit').items.map(decodeItem) }
    return { outcome: 'committed', revision: parseAnswer(revisionSchema, status, body, 'commit').revision }
  }

  async grantLease (durationMs: number): Promise<number> {
    const { status, body } = await this.#write('lease', { method: 'POST', path: '/-/kv-lease', body: { ttl_ms: durationMs } })
    return parseAnswer(leaseSchema, status, body, 'grant').lease_id
  }

  async renewLease (lease: number): Promise<boolean> {
    const { status, body } = await this.#write('lease', { method: 'POST', path: `/-/kv-keep/${lease}` })
    if (status === 404) return false
    parseAnswer(z.object({}), status, body ?? {}, 'renew')
    return true
  }

  async endLease (lease: number): Promise<void> {
    await this.#write('lease', { method: 'DELETE', path: `/-/kv-lease-end/${lease}` })
  }

  async #read (kind: StoreCallKind, options: CallOptions): Promise<JsonResponse> {
    let answer: JsonResponse
    try {
      answer = await this.#clients[kind].call(options)
    } catch (error) {
      throw new StoreUnavailableError(`the store did not answer ${options.method} ${options.path}:`, { cause: error })
    }
    throwIfUnavailable(answer.status, options)
    return answer
  }

  async #write (kind: StoreCallKind, options: CallOptions): Promise<JsonResponse> {
    let answer: JsonResponse
    try {
      answer = await this.#clients[kind].call({ ...options, timeoutMs: CALL_TIMEOUT_MS })
    } catch (error) {
      if (error instanceof NotSentError) throw new StoreUnavailableError(`the store cannot be reached for ${options.path}:`, { cause: error })
      throw new StoreUnknownError(`the store's answer to ${options.path} was lost:`, { cause: error })
    }
    throwIfUnavailable(answer.status, options)
    return answer
  }
}

/** Throws for status 429 or 503, with which the store states that it did not apply the call. */
function throwIfUnavailable (status: number, { method, path }: CallOptions): void {
  if (status === 429 || status === 503) throw new StoreUnavailableError(`the store answered ${status} to ${method} ${path}`)
}

function parseAnswer<T> (schema: z.ZodType<T>, status: number, body: unknown, call: string): T {
  if (status === 400 || status === 403) throw new InputError(`the store refused the ${call} call: ${status} ${JSON.stringify(body)}`)
  const parsed = schema.safeParse(body)
  if (status !== 200 || !parsed.success) throw new StoreUnknownError(`unexpected answer of the store to the ${call} call, with status ${status}`)
  return parsed.data
}

function encodeValue (value: string): string {
  return Buffer.from(value, 'utf8').toString('base64')
}

function decodeItem ({ key, value, revision }: z.infer<typeof itemSchema>): StoredItem {
  return { key, value: Buffer.from(value, 'base64').toString('utf8'), revision }
}

function decodeChange ({ key, revision, value, compacted }: z.infer<typeof eventSchema>): StoreChange {
  if (compacted === true || value === undefined) return { type: 'removed', key }
  return { type: 'written', item: decodeItem({ key, value, revision }) }
}
