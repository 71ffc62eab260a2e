/** Client load beyond the limits of a front end: bodies left open, and pipelined requests whose answers are not read. */
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { parseAddress } from '../../src/adapters/network.ts'

/** A client that the server does not read from gives up writing after this time. */
const WRITE_LIMIT_MS = 20_000
/** Connections opened at a time, below the backlog of a listener. */
const CONNECT_BATCH = 50

export interface OverloadClients {
  readonly address: string
  readonly connections: number
  /** Bytes that each connection sends first. */
  readonly head: string
  /** Bytes that each connection then sends `repetitions` times. */
  readonly part: Buffer
  readonly repetitions: number
  /** Whether answers stay unread. */
  readonly unread: boolean
}

/** Head of a request with a chunked body. */
export function chunkedHead (method: string, path: string, headers: Readonly<Record<string, string>>): string {
  return `${method} ${path} HTTP/1.1\r\n${encodeLines({ ...headers, 'transfer-encoding': 'chunked' })}\r\n`
}

/** Encodes headers as lines of a request. */
export function encodeLines (headers: Readonly<Record<string, string>>): string {
  return Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
}

/** Encodes `count` chunks of `bytes` bytes each. */
export function chunks (bytes: number, count: number): Buffer {
  return Buffer.from(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`.repeat(count))
}

/** Opens the connections and writes to them; they stay open until `close` is called. */
export async function startOverload (clients: OverloadClients): Promise<{ close (): void }> {
  const sockets: Socket[] = []
  const until = Date.now() + WRITE_LIMIT_MS
  for (let opened = 0; opened < clients.connections && Date.now() < until; opened += CONNECT_BATCH) {
    const batch = Array.from({ length: Math.min(CONNECT_BATCH, clients.connections - opened) }, () => openConnection(clients))
    sockets.push(...batch)
    await Promise.race([Promise.all(batch.map(async socket => await once(socket, 'connect').catch(() => {}))), delay(1_000, undefined, { ref: false })])
  }
  await Promise.all(sockets.map(async socket => await write(socket, clients, until)))
  return { close: () => { for (const socket of sockets) socket.destroy() } }
}

function openConnection ({ address, unread }: OverloadClients): Socket {
  const socket = connect(parseAddress(address))
  // Closed and refused connections are part of the load.
  socket.on('error', () => {})
  if (unread) socket.pause()
  else socket.resume()
  return socket
}

async function write (socket: Socket, { head, part, repetitions }: OverloadClients, until: number): Promise<void> {
  socket.write(head)
  for (let sent = 0; sent < repetitions && !socket.destroyed; sent++) {
    if (socket.write(part)) continue
    const left = until - Date.now()
    if (left <= 0) return
    const stop = new AbortController()
    const { signal } = stop
    await Promise.race([
      once(socket, 'drain', { signal }).catch(() => {}), once(socket, 'close', { signal }).catch(() => {}), delay(left, undefined, { signal }).catch(() => {})
    ])
    stop.abort()
  }
}
