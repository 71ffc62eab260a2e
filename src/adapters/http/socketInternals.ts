/** The parts of sockets that Node.js uses itself and does not document, with values that do no harm where they are missing. */
import type { Socket } from 'node:net'

/** The handle of a socket, as far as Node.js itself uses it to pause sockets and to see whether a long write proceeds. */
interface SocketHandle {
  readonly writeQueueSize: number
  reading: boolean
  readStart (): void
  readStop (): void
}

/** The parser of a socket, as far as Node.js itself uses it to find requests whose time has passed. */
interface MessageParser {
  /** Milliseconds since the start of the message that is being parsed; 0 after the end of one. */
  duration? (): number
}

interface SocketInternals {
  readonly _handle?: SocketHandle | null
  /** Set by the HTTP server while it does not want to be given input. */
  readonly _paused?: boolean
  readonly parser?: MessageParser | null
}

export function isPausedByServer (socket: Socket): boolean {
  return (socket as SocketInternals)._paused === true
}

/** Whether the parser has begun a message and not reached its end. */
export function isParsingMessage (socket: Socket): boolean {
  const { parser } = socket as SocketInternals
  return (parser?.duration?.() ?? 0) !== 0
}

/** Bytes of the answers that the handle has taken and the client has not read. Shrinks while a single long write is being read. */
export function countQueuedBytes (socket: Socket): number {
  return (socket as SocketInternals)._handle?.writeQueueSize ?? 0
}

/**
 * Lets a socket read only while `mayRead`. After each chunk, paused or not, a stream asks its socket to read on, which puts
 * up to 64 KB into its buffer.
 */
export function limitReadingAhead (socket: Socket, mayRead: () => boolean): void {
  const read = socket._read.bind(socket)
  socket._read = size => { if (mayRead()) read(size) }
}

/** The handle of a paused socket goes on reading unless it is stopped. */
export function setPaused (socket: Socket, isPaused: boolean): void {
  if (isPaused) socket.pause()
  const handle = (socket as SocketInternals)._handle
  if (handle != null && handle.reading === isPaused) {
    handle.reading = !isPaused
    if (isPaused) handle.readStop()
    else handle.readStart()
  }
  if (!isPaused) socket.resume()
}
