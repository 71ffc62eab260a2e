/** In-memory stand-in for the platform's store, for tests. */
import { setTimeout as delay } from 'node:timers/promises'
import type { RouteRequest, RouteResponse, Route } from '../../adapters/http/routes.ts'

interface Item {
  readonly key: string
  readonly value: string
  readonly revision: number
  readonly created: number
  readonly lease: number
}

interface Lease {
  readonly durationMs: number
  timer: NodeJS.Timeout
}

type StoreEvent = { readonly key: string, readonly revision: number, readonly item?: Item }

/**
 * `refusing` answers 503, `silent` never answers, `losing` executes calls and drops the connection, `late` executes
 * writes after a delay without answering, `slow` answers after a delay.
 */
export const STORE_FAULTS = ['refusing', 'silent', 'losing', 'late', 'slow'] as const
export type StoreFault = 'none' | typeof STORE_FAULTS[number]

const SHORTEST_LATE_WRITE_MS = 1_500
const SLOW_ANSWER_DELAY_MS = 240

const PAGE_SIZE = 500
const UNAVAILABLE_ANSWER: RouteResponse = { status: 503, body: {} }

export class StandInStore {
  readonly #items = new Map<string, Item>()
  readonly #leases = new Map<number, Lease>()
  readonly #waiters = new Set<() => void>()
  #events: StoreEvent[] = []
  #revision = 1
  #compactedBefore = 0
  #nextLease = 1
  fault: StoreFault = 'none'
  /** Minimum duration of a granted lease; shorter requests are extended to it, as the protocol allows. */
  shortestLeaseMs = 0
  /** Maximum delay of a write under the fault `late`. */
  longestLateWriteMs = SHORTEST_LATE_WRITE_MS
  calls = 0
  /** Reads of a range of keys, by prefix. */
  readonly rangeReads = new Map<string, number>()

  /** Writes a key as an operator or a target would. */
  put (key: string, value: unknown): void {
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0)
  }

  remove (key: string): void {
    this.#remove(key)
  }

  /** Returns the keys with the prefix and their decoded values. */
  read (prefix: string): readonly (readonly [key: string, value: string])[] {
    return this.#list(prefix).map(({ key, value }) => [key, Buffer.from(value, 'base64').toString('utf8')])
  }

  /** Discards the change history, so that waiting watches end with status 410. */
  compact (): void {
    this.#compactedBefore = this.#revision
    this.#events = []
    this.#wakeWatches()
  }

  close (): void {
    for (const { timer } of this.#leases.values()) clearTimeout(timer)
  }

  /** Creates the routes of one endpoint of the store, which may have a fault of its own. */
  createRoutes (endpointFault: () => StoreFault = () => 'none'): readonly Route[] {
    const route = (method: Route['method'], pattern: string, handle: Route['handle']): Route => this.#route(endpointFault, method, pattern, handle)
    return [
      route('GET', '/-/kv-key', async ({ query }) => this.#get(query.get('key') ?? '')),
      route('GET', '/-/kv-range', async ({ query }) => this.#range(query.get('prefix') ?? '', query.get('after') ?? '')),
      route('GET', '/-/kv-watch', async ({ query, signal }) =>
        await this.#watch(query.get('prefix') ?? '', Number(query.get('after')), Number(query.get('wait_ms')), signal)),
      route('POST', '/-/kv-txn', async ({ body }) => this.#commit(body as TransactionBody)),
      route('POST', '/-/kv-lease', async ({ body }) => this.#grantLease((body as { ttl_ms: number }).ttl_ms)),
      route('POST', '/-/kv-keep/:id', async ({ parameters }) => this.#renewLease(Number(parameters['id']))),
      route('DELETE', '/-/kv-lease-end/:id', async ({ parameters }) => this.#endLease(Number(parameters['id'])))
    ]
  }

  #route (endpointFault: () => StoreFault, method: Route['method'], pattern: string, handle: Route['handle']): Route {
    return {
      method,
      pattern,
      handle: async call => {
        this.calls += 1
        const fault = this.fault === 'none' ? endpointFault() : this.fault
        return await this.#handleWithFault(fault, method, handle, call)
      }
    }
  }

  async #handleWithFault (fault: StoreFault, method: Route['method'], handle: Route['handle'], call: RouteRequest): Promise<RouteResponse | undefined> {
    switch (fault) {
      case 'none':
        return await handle(call)
      case 'refusing':
        return UNAVAILABLE_ANSWER
      case 'slow':
        await delay(SLOW_ANSWER_DELAY_MS)
        return await handle(call)
      case 'silent':
        return await untilAborted(call.signal)
      case 'losing':
        await handle(call)
        call.response.destroy()
        return undefined
      case 'late':
        if (method === 'GET') return await handle(call)
        setTimeout(() => { handle(call).catch(() => {}) }, SHORTEST_LATE_WRITE_MS + Math.random() * (this.longestLateWriteMs - SHORTEST_LATE_WRITE_MS))
        return await untilAborted(call.signal)
    }
  }

  #get (key: string): RouteResponse {
    const item = this.#items.get(key)
    return item === undefined ? { status: 404, body: { at: this.#revision } } : { status: 200, body: { ...encodeItem(item), at: this.#revision } }
  }

  #list (prefix: string, after = ''): readonly Item[] {
    return [...this.#items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((left, right) => left.key < right.key ? -1 : 1)
  }

  #range (prefix: string, after: string): RouteResponse {
    this.rangeReads.set(prefix, (this.rangeReads.get(prefix) ?? 0) + 1)
    const items = this.#list(prefix, after)
    return { status: 200, body: { items: items.slice(0, PAGE_SIZE).map(encodeItem), has_more: items.length > PAGE_SIZE, at: this.#revision } }
  }

  async #watch (prefix: string, after: number, waitMs: number, signal: AbortSignal): Promise<RouteResponse> {
    const untilMs = Date.now() + waitMs
    for (;;) {
      if (after < this.#compactedBefore) return { status: 410, body: {} }
      const events = this.#eventsAfter(after).filter(event => event.key.startsWith(prefix))
      if (events.length > 0 || Date.now() >= untilMs || signal.aborted) {
        return { status: 200, body: { events: events.map(({ key, revision, item }) => item === undefined ? { key, revision, compacted: true } : encodeItem(item)), at: this.#revision } }
      }
      await this.#waitForChange(untilMs - Date.now())
    }
  }

  /** Revisions rise, so that the search starts at the latest event; many watches wait at the size of a large site. */
  #eventsAfter (revision: number): readonly StoreEvent[] {
    let first = this.#events.length
    while (first > 0 && (this.#events[first - 1] as StoreEvent).revision > revision) first -= 1
    return this.#events.slice(first)
  }

  async #waitForChange (waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(done, waitMs)
      const waiters = this.#waiters
      function done (): void {
        clearTimeout(timer)
        waiters.delete(done)
        resolve()
      }
      waiters.add(done)
    })
  }

  #commit ({ expected_rev: expected = [], write = [], remove = [] }: TransactionBody): RouteResponse {
    const conditionsHold = expected.every(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision)
    if (!conditionsHold) {
      const items = expected.flatMap(({ key }) => this.#items.get(key) ?? [])
      return { status: 412, body: { items: items.map(encodeItem) } }
    }
    if (write.some(({ lease_id: lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) return { status: 404, body: {} }
    for (const { key, value, lease_id: lease = 0 } of write) this.#write(key, value, lease)
    for (const key of remove) this.#remove(key)
    return { status: 200, body: { revision: this.#revision } }
  }

  #write (key: string, value: string, lease: number): void {
    this.#revision += 1
    const item: Item = { key, value, revision: this.#revision, created: this.#items.get(key)?.created ?? this.#revision, lease }
    this.#items.set(key, item)
    this.#events.push({ key, revision: this.#revision, item })
    this.#wakeWatches()
  }

  #remove (key: string): void {
    if (!this.#items.delete(key)) return
    this.#revision += 1
    this.#events.push({ key, revision: this.#revision })
    this.#wakeWatches()
  }

  #wakeWatches (): void {
    for (const wake of [...this.#waiters]) wake()
  }

  #grantLease (requestedMs: number): RouteResponse {
    const durationMs = Math.max(requestedMs, this.shortestLeaseMs)
    const id = this.#nextLease++
    this.#leases.set(id, { durationMs, timer: setTimeout(() => this.#endLease(id), durationMs) })
    return { status: 200, body: { lease_id: id, ttl_ms: durationMs } }
  }

  #renewLease (id: number): RouteResponse {
    const lease = this.#leases.get(id)
    if (lease === undefined) return { status: 404, body: {} }
    clearTimeout(lease.timer)
    lease.timer = setTimeout(() => this.#endLease(id), lease.durationMs)
    return { status: 200, body: { ttl_ms: lease.durationMs } }
  }

  #endLease (id: number): RouteResponse {
    const lease = this.#leases.get(id)
    if (lease === undefined) return { status: 404, body: {} }
    clearTimeout(lease.timer)
    this.#leases.delete(id)
    for (const item of [...this.#items.values()]) {
      if (item.lease === id) this.#remove(item.key)
    }
    return { status: 200, body: {} }
  }
}

interface TransactionBody {
  readonly expected_rev?: readonly { readonly key: string, readonly revision: number }[]
  readonly write?: readonly { readonly key: string, readonly value: string, readonly lease_id?: number }[]
  readonly remove?: readonly string[]
}

function encodeItem ({ key, value, revision, created, lease }: Item): Record<string, unknown> {
  return { key, value, revision, created, lease_id: lease }
}

async function untilAborted (signal: AbortSignal): Promise<undefined> {
  await new Promise<void>(resolve => {
    if (signal.aborted) resolve()
    else signal.addEventListener('abort', () => resolve(), { once: true })
  })
  return undefined
}
