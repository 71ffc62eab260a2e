/** Serves the calls between instances about jobs. */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { create } from '@bufbuild/protobuf'
import type { ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import type { CallAction } from '../../entry/callerCall.ts'
import * as wire from '../../generated/coordinator_pb.ts'
import type { Component } from '../../lifecycle/component.ts'
import type { CoordinatorPeer } from '../../ports/coordinatorPeer.ts'
import { listenOn } from '../network.ts'
import { encodeAnswer, encodeReportAnswer } from './coordinatorCodec.ts'

/** Bounds one message, so that a faulty peer can't exhaust memory. */
const MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024
const KEEP_ALIVE_MS = 60_000

export class CoordinatorPeerServer implements Component {
  readonly name = 'coordinator peer server'
  readonly #address: string
  readonly #handler: CoordinatorPeer
  #server: Server | undefined

  constructor (address: string, handler: CoordinatorPeer) {
    this.#address = address
    this.#handler = handler
  }

  async start (): Promise<void> {
    const handler = connectNodeAdapter({ routes: router => this.#addRoutes(router), readMaxBytes: MESSAGE_LIMIT_BYTES })
    const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, handler)
    this.#server = server
    await listenOn(server, this.#address)
  }

  async stop (): Promise<void> {
    const server = this.#server
    if (server === undefined) return
    await new Promise<void>(resolve => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }

  #addRoutes (router: ConnectRouter): void {
    const handler = this.#handler
    router.service(wire.CoordinatorService, {
      handle: async request => encodeAnswer(await handler.handle({
        action: request.action as CallAction,
        host: request.host,
        path: request.path,
        key: request.key,
        definition: Buffer.from(request.body).toString('utf8'),
        desiredStateVersion: Number(request.desiredStateVersion)
      })),
      report: async request => encodeReportAnswer(await handler.report({
        instance: request.instance, address: request.address, desiredStateVersion: Number(request.desiredStateVersion)
      })),
      release: async request => create(wire.ReleaseResponseSchema, { released: await handler.release(Number(request.lease)) }),
      advise: async request => create(wire.AdviseResponseSchema, {
        allowed: (await handler.advise({
          step: request.step, targets: request.targets, expectedMs: request.expectedMilliseconds
        })).map(allowed => create(wire.AllowedTargetSchema, allowed))
      })
    })
  }
}
