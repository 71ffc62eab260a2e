/** An HTTP stand-in for the platform's store. */
import { z } from 'zod'
import { StoreUnavailableError } from '../../model/errors.ts'
import type { Store } from '../../ports/store.ts'
import { parseInput } from '../http/parseInput.ts'
import { JsonServer } from '../http/jsonServer.ts'
import type { RouteRequest, RouteHandler, Route } from '../http/routes.ts'

const countSchema = z.coerce.number().int().nonnegative()

const putSchema = z.object({
  value: z.string(),
  expectedVersion: z.number().int().nonnegative(),
  lease: z.string().optional()
})

const grantSchema = z.object({ durationMs: z.number().positive() })

/**
 * Serves a store. `StoreUnavailableError` gives status 503; `StoreUnknownError` resets the
 * connection, so that the client sees a lost response.
 *
 * @example
 * const server = new HttpStoreServer(new MemoryStore(new SystemClock()), '127.0.0.1:0')
 * await server.start()
 */
export class HttpStoreServer extends JsonServer {
  /** If counters are given, `GET /v1/calls` returns them. */
  constructor (store: Store, listen: string, calls?: Readonly<Record<string, number>>) {
    const callsRoute: Route = { method: 'GET', pattern: '/v1/calls', handle: async () => ({ status: 200, body: calls }) }
    const routes = [...createRoutes(store), ...(calls === undefined ? [] : [callsRoute])]
    super({ name: 'store stand-in', listen, routes })
  }
}

function createRoutes (store: Store): readonly Route[] {
  return [...createEntryRoutes(store), ...createLeaseRoutes(store)]
}

function createEntryRoutes (store: Store): readonly Route[] {
  return [
    createRoute('GET', '/v1/entries', async ({ query, signal }) => ({ entries: await store.list(query.get('prefix') ?? '', signal) })),
    createRoute('GET', '/v1/entries/:key', async ({ parameters: { key = '' }, signal }) => ({ entry: await store.get(key, signal) })),
    createRoute('PUT', '/v1/entries/:key', async ({ parameters: { key = '' }, body }) => {
      const { value, ...options } = parseInput(putSchema, body, 'body')
      return await store.put(key, value, options)
    }),
    createRoute('DELETE', '/v1/entries/:key', async ({ parameters: { key = '' }, query }) =>
      await store.delete(key, parseCount(query, 'expectedVersion'))),
    createRoute('GET', '/v1/watch/:key', async ({ parameters: { key = '' }, query, signal }) =>
      ({ entry: await store.watch(key, parseCount(query, 'afterVersion'), parseCount(query, 'timeoutMs'), signal) }))
  ]
}

function createLeaseRoutes (store: Store): readonly Route[] {
  return [
    createRoute('POST', '/v1/leases', async ({ body }) =>
      ({ lease: await store.grantLease(parseInput(grantSchema, body, 'body').durationMs) })),
    createRoute('POST', '/v1/leases/:lease/renew', async ({ parameters: { lease = '' } }) =>
      ({ renewed: await store.renewLease(lease) }))
  ]
}

function createRoute (method: Route['method'], pattern: string, perform: (call: RouteRequest) => Promise<unknown>): Route {
  const handle: RouteHandler = async call => {
    try {
      return { status: 200, body: await perform(call) }
    } catch (error) {
      if (error instanceof StoreUnavailableError) return { status: 503, body: { message: error.message } }
      throw error
    }
  }
  return { method, pattern, handle }
}

function parseCount (query: URLSearchParams, name: string): number {
  return parseInput(countSchema, query.get(name) ?? undefined, name)
}
