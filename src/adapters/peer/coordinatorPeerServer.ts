/** Serves the job calls between instances, as JSON over HTTP. */
import { z } from 'zod'
import { InputError } from '../../model/errors.ts'
import type { CoordinatorPeer } from '../../ports/coordinatorPeer.ts'
import { JsonServer } from '../http/jsonServer.ts'
import type { Route } from '../http/routes.ts'
import { coordinatorSchema, PEER_PATHS } from './coordinatorPeerPaths.ts'
import { encodeRelayAnswer, relayBatchSchema } from './relayCodec.ts'

const callSchema = z.object({
  action: z.enum(['submit', 'read', 'cancel']),
  host: z.string(),
  path: z.string(),
  key: z.string(),
  definition: z.string(),
  desiredStateVersion: z.number()
})
const callsSchema = z.object({ fence: z.number(), calls: z.array(callSchema) })
const reportSchema = z.object({
  instance: z.string(), address: z.string(), region: z.string(), peersDigest: z.string(), processors: z.number(), reachesStore: z.boolean()
})
const releaseSchema = z.object({ lease: z.number() })
const questionSchema = z.object({ step: z.string(), targets: z.array(z.string()), expectedMs: z.number() })

/**
 * Creates the server for the job calls of other instances.
 *
 * @example
 * const server = createCoordinatorPeerServer('10.1.0.17:7420', instance)
 * await server.start()
 */
export function createCoordinatorPeerServer (address: string, handler: CoordinatorPeer): JsonServer {
  const route = <Body>(pattern: string, schema: z.ZodType<Body>, handle: (body: Body) => Promise<unknown>): Route => ({
    method: 'POST',
    pattern,
    handle: async ({ body }) => ({ status: 200, body: await handle(parseBody(schema, body)) })
  })
  return new JsonServer({
    name: 'coordinator peer server',
    listen: address,
    routes: [
      route(PEER_PATHS.handle, callsSchema, async ({ fence, calls }) => ({ answers: await handler.handleAll(fence, calls) })),
      route(PEER_PATHS.report, reportSchema, async report => await handler.report(report)),
      route(PEER_PATHS.release, releaseSchema, async ({ lease }) => ({ released: await handler.release(lease) })),
      route(PEER_PATHS.reachesStore, z.object({}), async () => ({ reachesStore: await handler.reachesStore() })),
      route(PEER_PATHS.advise, questionSchema, async question => ({ allowed: await handler.advise(question) })),
      route(PEER_PATHS.relay, relayBatchSchema, async batch => encodeRelayAnswer(await handler.relay(batch))),
      route(PEER_PATHS.announce, coordinatorSchema, async coordinator => {
        await handler.announce(coordinator)
        return {}
      })
    ]
  })
}

function parseBody<Body> (schema: z.ZodType<Body>, body: unknown): Body {
  const parsed = schema.safeParse(body)
  if (!parsed.success) throw new InputError(`invalid request of a peer: ${z.prettifyError(parsed.error)}`)
  return parsed.data
}
