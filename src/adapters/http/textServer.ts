/** A small server of fixed paths: readiness for a balancer, metrics for scrapers. */
import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { Component } from '../../lifecycle/component.ts'
import { listenOn } from '../network.ts'

export interface TextAnswer {
  readonly status: number
  readonly contentType: string
  readonly text: string
}

/** Serves texts under fixed paths; everything else is not found. */
export class TextServer implements Component {
  readonly name: string
  readonly #address: string
  readonly #paths: Readonly<Record<string, () => Promise<TextAnswer>>>
  #server: Server | undefined

  constructor (name: string, address: string, paths: Readonly<Record<string, () => Promise<TextAnswer>>>) {
    this.name = name
    this.#address = address
    this.#paths = paths
  }

  async start (): Promise<void> {
    const server = createServer((request, response) => {
      this.#serve(request.url ?? '', response).catch(() => response.destroy())
    })
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

  async #serve (path: string, response: ServerResponse): Promise<void> {
    const { status, contentType, text } = await this.#paths[path]?.() ?? { status: 404, contentType: 'text/plain', text: '' }
    response.writeHead(status, { 'content-type': contentType, 'content-length': Buffer.byteLength(text) })
    response.end(text)
  }
}
