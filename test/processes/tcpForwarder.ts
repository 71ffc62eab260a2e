/** Forwards connections to an address, with the faults of a broken link. */
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { Transform } from 'node:stream'
import { parseAddress } from '../../src/adapters/network.ts'

/**
 * `silent` passes nothing in either direction and `one-way` no answers, on connections that stay open; `reset` ends
 * each connection; `delayed` holds each piece back.
 */
export const LINK_FAULTS = ['silent', 'one-way', 'reset', 'delayed'] as const
export type LinkFault = typeof LINK_FAULTS[number]

/** Longer than the way to another region and back. */
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

  /** `host:port` as bound. */
  get address (): string {
    const { address, port } = this.#server.address() as AddressInfo
    return `${address}:${port}`
  }

  async start (host: string): Promise<void> {
    this.#server.listen({ host, port: 0 })
    await once(this.#server, 'listening')
  }

  /** Begins a fault that concerns open connections and new ones. */
  startFault (fault: LinkFault): void {
    this.#fault = fault
    if (fault === 'reset') this.#closeAll()
  }

  /** Lets new connections through; those of the time before are closed. */
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

  /** Drops what passes during the faults given. */
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
