/** TCP forwarder that injects network faults. */
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { Transform } from 'node:stream'
import { parseAddress } from '../../src/adapters/network.ts'

/**
 * `silent` drops data in both directions and `one-way` drops answers, while connections stay open; `reset` resets
 * each connection; `delayed` delays each chunk.
 */
export const LINK_FAULTS = ['silent', 'one-way', 'reset', 'delayed'] as const
export type LinkFault = typeof LINK_FAULTS[number]

/** Longer than a round trip to another region. */
const DELAY_MS = 120

export class TcpForwarder {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  readonly #destination: string
  #fault: LinkFault | undefined

  constructor (destination: string) {
    this.#destination = destination
    this.#server = createServer(socket => this.#forward(socket))
  }

  /** The bound address as `host:port`. */
  get address (): string {
    const { address, port } = this.#server.address() as AddressInfo
    return `${address}:${port}`
  }

  async start (host: string): Promise<void> {
    this.#server.listen({ host, port: 0 })
    await once(this.#server, 'listening')
  }

  /** Injects a fault into open and new connections. */
  startFault (fault: LinkFault): void {
    this.#fault = fault
    if (fault === 'reset') this.#closeAll()
  }

  /** Ends the fault and closes the existing connections; new ones are forwarded normally. */
  clearFault (): void {
    this.#fault = undefined
    this.#closeAll()
  }

  async stop (): Promise<void> {
    this.#closeAll()
    await new Promise(resolve => this.#server.close(resolve))
  }

  #closeAll (): void {
    for (const socket of this.#sockets) socket.destroy()
  }

  #forward (incoming: Socket): void {
    this.#trackSocket(incoming)
    if (this.#fault === 'silent') return
    if (this.#fault === 'reset') {
      incoming.resetAndDestroy()
      return
    }
    const outgoing = connect(parseAddress(this.#destination))
    this.#trackSocket(outgoing)
    incoming.pipe(this.#createFaultTransform(['silent'])).pipe(outgoing)
    outgoing.pipe(this.#createFaultTransform(['silent', 'one-way'])).pipe(incoming)
    incoming.once('close', () => outgoing.destroy())
    outgoing.once('close', () => incoming.destroy())
  }

  /** Creates a transform that drops data during the faults given and delays it during `delayed`. */
  #createFaultTransform (droppedBy: readonly LinkFault[]): Transform {
    return new Transform({
      transform: (chunk, _encoding, done) => {
        if (this.#fault !== undefined && droppedBy.includes(this.#fault)) done()
        else if (this.#fault === 'delayed') setTimeout(() => done(null, chunk), DELAY_MS)
        else done(null, chunk)
      }
    })
  }

  #trackSocket (socket: Socket): void {
    this.#sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.once('close', () => this.#sockets.delete(socket))
  }
}
