/** An HTTP stand-in for the platform's instance list: `GET /v1/list` reads it, `PUT /v1/list` replaces it. */
import { BaseError } from '../../model/errors.ts'
import { JsonServer } from '../http/jsonServer.ts'
import type { Route } from '../http/routes.ts'
import { parseListSnapshot } from './listSchema.ts'
import type { MemoryInstanceList } from './memoryInstanceList.ts'

/**
 * Serves an in-memory instance list.
 *
 * @example
 * const server = new HttpInstanceListServer(new MemoryInstanceList(clock, snapshot), '127.0.0.1:0')
 * await server.start()
 */
export class HttpInstanceListServer extends JsonServer {
  constructor (list: MemoryInstanceList, listen: string) {
    super({ name: 'instance list stand-in', listen, routes: createRoutes(list) })
  }
}

function createRoutes (list: MemoryInstanceList): readonly Route[] {
  return [
    {
      method: 'GET',
      pattern: '/v1/list',
      handle: async ({ signal }) => {
        try {
          return { status: 200, body: await list.read(signal) }
        } catch (error) {
          if (error instanceof BaseError) return { status: 503, body: { message: error.message } }
          throw error
        }
      }
    },
    {
      method: 'PUT',
      pattern: '/v1/list',
      handle: async ({ body }) => {
        list.set(parseListSnapshot(body, 'body'))
        return { status: 200, body: {} }
      }
    }
  ]
}
