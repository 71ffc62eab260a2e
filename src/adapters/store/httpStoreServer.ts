/** The stand-in for the platform's store over HTTP. */
import { z } from 'zod'
import { InputError, StoreUnavailableError } from '../../model/errors.ts'
import type { Component } from '../../lifecycle/component.ts'
import type { Store } from '../../ports/store.ts'
import { JsonServer } from '../http/jsonServer.ts'
import type { HttpHandler, JsonAnswer, Route } from '../http/routes.ts'

const versionSchema = z.coerce.number().int().nonnegative()

const putSchema = z.object({
  value: z.string(),
  expectedVersion: z.number().int().nonnegative(),
  lease: z.string().optional()
})

const grantSchema = z.object({ durationMs: z.number().positive() })

/**
 * Serves a store. `StoreUnavailableError` answers 503; after `StoreUnknownError` the connection is
 * reset, so that the caller sees a lost answer.
 *
 * @example
 * const server = new HttpStoreServer(new MemoryStore(new SystemClock()), '127.0.0.1:0')
 * await server.start()
 */
export class HttpStoreServer implements Component {
  readonly name = 'store stand-in'
  readonly #server: JsonServer

  /** `GET /v1/calls` answers with the counters, if they are given. */
  constructor (store: Store, listen: string, calls?: Readonly<Record<string, number>>) {
    const callsRoute: Route = { method: 'GET', pattern: '/v1/calls', handle: async () => ({ status: 200, body: calls }) }
    const routes = [...createRoutes(store), ...(calls === undefined ? [] : [callsRoute])]
    this.#server = new JsonServer({ name: this.name, listen, routes })
  }

  /** `host:port` as bound. */
  get address (): string {
    return this.#server.address
  }

  start (): Promise<void> {
    return this.#server.start()
  }

  stop (): Promise<void> {
    return this.#server.stop()
  }
}

function createRoutes (store: Store): readonly Route[] {
  const answer = (handle: (call: Parameters<HttpHandler>[0]) => Promise<unknown>): HttpHandler => call => answerJson(() => handle(call))
  return [
    {
      method: 'GET',
      pattern: '/v1/entries',
      handle: answer(async ({ query, signal }) => ({ entries: await store.list(query.get('prefix') ?? '', signal) }))
    },
    {
      method: 'GET',
      pattern: '/v1/entries/:key',
      handle: answer(async ({ parameters: { key = '' }, signal }) => ({ entry: await store.get(key, signal) }))
    },
    {
      method: 'PUT',
      pattern: '/v1/entries/:key',
      handle: answer(async ({ parameters: { key = '' }, body }) => {
        const { value, ...options } = check(putSchema, body)
        return await store.put(key, value, options)
      })
    },
    {
      method: 'DELETE',
      pattern: '/v1/entries/:key',
      handle: answer(async ({ parameters: { key = '' }, query }) =>
        await store.delete(key, check(versionSchema, query.get('expectedVersion'))))
    },
    {
      method: 'GET',
      pattern: '/v1/watch/:key',
      handle: answer(async ({ parameters: { key = '' }, query, signal }) => {
        const afterVersion = check(versionSchema, query.get('afterVersion'))
        const timeoutMs = check(versionSchema, query.get('timeoutMs'))
        return { entry: await store.watch(key, afterVersion, timeoutMs, signal) }
      })
    },
    {
      method: 'POST',
      pattern: '/v1/leases',
      handle: answer(async ({ body }) => ({ lease: await store.grantLease(check(grantSchema, body).durationMs) }))
    },
    {
      method: 'POST',
      pattern: '/v1/leases/:lease/renew',
      handle: answer(async ({ parameters: { lease = '' } }) => ({ renewed: await store.renewLease(lease) }))
    }
  ]
}

async function answerJson (handle: () => Promise<unknown>): Promise<JsonAnswer> {
  try {
    return { status: 200, body: await handle() }
  } catch (error) {
    if (error instanceof StoreUnavailableError) return { status: 503, body: { message: error.message } }
    throw error
  }
}

function check<T> (schema: z.ZodType<T>, value: unknown): T {
  const parsed = schema.safeParse(value)
  if (!parsed.success) throw new InputError(z.prettifyError(parsed.error))
  return parsed.data
}
