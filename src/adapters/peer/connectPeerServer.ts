/** Serves the peer protocol to other entry instances, over HTTP/2 without TLS. */
import { createHash, timingSafeEqual } from 'node:crypto'
import { createServer } from 'node:http2'
import type { Http2Server, ServerHttp2Session } from 'node:http2'
import { create } from '@bufbuild/protobuf'
import { Code, ConnectError } from '@connectrpc/connect'
import type { ConnectRouter, HandlerContext, Interceptor } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import * as wire from '../../generated/peer_pb.ts'
import type { Component } from '../../lifecycle/component.ts'
import type { FetchedChanges, ForwardedRequest, PeerHandler } from '../../ports/peerClient.ts'
import { decodeExchangeSender, encodeExchangeAnswer } from './exchangeCodec.ts'
import { decodeClaims, decodeForwardedRequest, decodeRef, decodeResources, encodeResources, encodeRunEvent } from './peerCodec.ts'
import { getBoundAddress, listenOn } from '../network.ts'

export const PEER_SECRET_HEADER = 'agategauge-peer-secret'

/** Maximum size of a message, so that a faulty peer cannot exhaust memory. */
const MESSAGE_LIMIT_BYTES = 8 * 1024 * 1024

export class ConnectPeerServer implements Component {
  readonly name = 'peer server'
  readonly #address: string
  readonly #secretHash: Buffer
  readonly #handler: PeerHandler
  readonly #sessions = new Set<ServerHttp2Session>()
  #server: Http2Server | undefined

  constructor (address: string, secret: string, handler: PeerHandler) {
    this.#address = address
    this.#secretHash = hashSecret(secret)
    this.#handler = handler
  }

  /** The bound address; with port 0, the system chooses the port. */
  get address (): string {
    if (this.#server === undefined) throw new Error('the peer server is not listening')
    return getBoundAddress(this.#server)
  }

  async start (): Promise<void> {
    const handler = connectNodeAdapter({
      routes: router => this.#addRoutes(router),
      interceptors: [this.#createAuthentication()],
      readMaxBytes: MESSAGE_LIMIT_BYTES
    })
    const server = createServer(handler)
    server.on('session', session => {
      this.#sessions.add(session)
      session.on('close', () => this.#sessions.delete(session))
    })
    this.#server = server
    await listenOn(server, this.#address)
  }

  async stop (): Promise<void> {
    const server = this.#server
    if (server === undefined) return
    const closed = new Promise<void>(resolve => server.close(() => resolve()))
    for (const session of this.#sessions) session.destroy()
    await closed
  }

  #createAuthentication (): Interceptor {
    return next => async request => {
      const given = hashSecret(request.header.get(PEER_SECRET_HEADER) ?? '')
      if (!timingSafeEqual(given, this.#secretHash)) throw new ConnectError('the peer secret is wrong', Code.Unauthenticated)
      return await next(request)
    }
  }

  #addRoutes (router: ConnectRouter): void {
    const handler = this.#handler
    router.service(wire.PeerService, {
      exchange: async request => {
        return encodeExchangeAnswer(await handler.exchange(decodeExchangeSender(request), request.registering))
      },
      run: (request, context) => this.#run(request, context),
      cancel: async request => create(wire.CancelResponseSchema, {
        found: await handler.cancel(request.team, request.requestId, request.attemptId)
      }),
      find: async request => create(wire.FindResponseSchema, {
        statuses: (await handler.find(request.team, request.requestId)).map(status => create(wire.RequestStatusSchema, status))
      }),
      fetchChanges: async request => encodeChanges(await handler.fetchChanges(Number(request.afterVersion))),
      transferAllotment: async request => create(wire.TransferAllotmentResponseSchema, {
        given: encodeResources(await handler.transferAllotment(
          decodeRef(request.receiver), request.team, decodeResources(request.wanted)))
      }),
      claim: async request => create(wire.ClaimResponseSchema, {
        results: [...await handler.claim(decodeClaims(request))]
      }),
      handOver: async request => {
        await handler.handOver(decodeRef(request.from), request.dataCentre, request.targets)
        return create(wire.HandOverResponseSchema)
      }
    })
  }

  async * #run (request: wire.RunRequest, context: HandlerContext): AsyncIterable<wire.RunEvent> {
    let forwarded: ForwardedRequest
    try {
      forwarded = decodeForwardedRequest(request)
    } catch (error) {
      // Throwing would end the stream without a verdict, although the request has certainly not run.
      const { message } = error as Error
      yield encodeRunEvent({ type: 'refused', code: 'invalid', message, verdict: 'not-run', claimed: false, retryable: false }, request.attemptId)
      return
    }
    for await (const event of this.#handler.run(forwarded, context.signal)) yield encodeRunEvent(event, request.attemptId)
  }
}

function hashSecret (secret: string): Buffer {
  return createHash('sha256').update(secret).digest()
}

function encodeChanges (fetched: FetchedChanges): wire.FetchChangesResponse {
  if (fetched.type === 'changes') {
    return create(wire.FetchChangesResponseSchema, { changesJson: fetched.changes.map(change => JSON.stringify(change)) })
  }
  return create(wire.FetchChangesResponseSchema, {
    snapshotJson: JSON.stringify(fetched.snapshot), snapshotVersion: BigInt(fetched.snapshot.version)
  })
}
