/** Parsing, binding and formatting of `host:port` addresses. */
import type { Server } from 'node:net'
import { InputError } from '../model/errors.ts'

export interface HostAndPort {
  readonly host: string
  readonly port: number
}

const MAX_PORT = 65_535

/**
 * Parses a `host:port` address; an IPv6 host may stand in brackets.
 *
 * @example
 * parseAddress('127.0.0.1:7401') // { host: '127.0.0.1', port: 7401 }
 */
export function parseAddress (address: string): HostAndPort {
  const match = /^\[?([^\]]+?)\]?:(\d+)$/.exec(address)
  const port = Number(match?.[2])
  if (match?.[1] === undefined || port > MAX_PORT) throw new InputError(`"${address}" is not an address of the form host:port`)
  return { host: match[1], port }
}

interface Listener {
  address: Server['address']
  listen: Server['listen']
  once: Server['once']
  off: Server['off']
}

/** Resolves when the server listens; rejects if the address cannot be bound. */
export function listenOn (server: Listener, address: string): Promise<void> {
  const { host, port } = parseAddress(address)
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port }, () => {
      server.off('error', reject)
      resolve()
    })
  })
}

/** Returns the address to which a listening server is bound, as `host:port`. */
export function getBoundAddress (server: Pick<Listener, 'address'>): string {
  const bound = server.address()
  if (bound === null || typeof bound === 'string') throw new Error('the server is not listening')
  return bound.family === 'IPv6' ? `[${bound.address}]:${bound.port}` : `${bound.address}:${bound.port}`
}
