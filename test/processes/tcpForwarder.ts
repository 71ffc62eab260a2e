/** Forwards connections to an address until it is cut; then no byte passes, as on a broken link. */
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { parseAddress } from '../../src/adapters/network.ts'

export class TcpForwarder {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  readonly #destination: string
  #isCut = false

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

  /** Holds every byte back; new connections are taken and get no answer. */
  cut (): void {
    this.#isCut = true
    for (const socket of this.#sockets) {
      socket.unpipe()
      socket.pause()
    }
  }

  /** Lets new connections through; those of the time before are closed. */
  heal (): void {
    this.#isCut = false
    for (const socket of this.#sockets) socket.destroy()
  }

  async stop (): Promise<void> {
    for (const socket of this.#sockets) socket.destroy()
    await new Promise(resolve => this.#server.close(resolve))
  }

  #forward (incoming: Socket): void {
    this.#keep(incoming)
    if (this.#isCut) return
    const outgoing = connect(parseAddress(this.#destination))
    this.#keep(outgoing)
    incoming.pipe(outgoing).pipe(incoming)
    incoming.once('close', () => outgoing.destroy())
    outgoing.once('close', () => incoming.destroy())
  }

  #keep (socket: Socket): void {
    this.#sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.once('close', () => this.#sockets.delete(socket))
  }
}
