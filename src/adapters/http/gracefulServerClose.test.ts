import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { text } from 'node:stream/consumers'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { getBoundAddress, listenOn, parseAddress } from '../network.ts'
import { GracefulServerClose } from './gracefulServerClose.ts'

const REQUEST = 'GET / HTTP/1.1\r\nhost: test\r\n\r\n'

async function startServer (t: ExecutionContext): Promise<{ open (): Socket, close (signal?: AbortSignal): Promise<void> }> {
  let closing = false
  const server = createServer((_request, response) => {
    if (closing) response.setHeader('connection', 'close')
    response.end('served')
  })
  const graceful = new GracefulServerClose(server)
  await listenOn(server, '127.0.0.1:0')
  t.teardown(() => server.closeAllConnections())
  return {
    open: () => connect(parseAddress(getBoundAddress(server))),
    async close (signal = new AbortController().signal) {
      closing = true
      await graceful.close(signal)
    }
  }
}

// Guards against resetting requests that arrive while the event loop is busy, right before a planned stop.
test('requests that lie unread in open connections are answered when the server closes', async t => {
  const { open, close } = await startServer(t)
  const sockets = [open(), open(), open()]
  for (const socket of sockets) socket.write(REQUEST)
  await Promise.all(sockets.map(async socket => await once(socket, 'data')))
  for (const socket of sockets) socket.write(REQUEST)
  const closed = close()
  for (const answer of await Promise.all(sockets.map(text))) t.regex(answer, /served$/)
  await closed
})

// Guards against resetting the connections that the system has accepted and the process has not.
test('connections that wait to be accepted are served when the server closes', async t => {
  const { open, close } = await startServer(t)
  const sockets = Array.from({ length: 5 }, () => open().on('connect', function (this: Socket) { this.write(REQUEST) }))
  const closed = close()
  for (const answer of await Promise.all(sockets.map(text))) t.regex(answer, /served$/)
  await closed
})

// Guards against waiting for connections that callers have opened in advance until the whole stop times out.
test('idle connections do not delay the close, and an aborted one ends those with an incomplete request', async t => {
  const { open, close } = await startServer(t)
  const [idle, incomplete] = [open(), open()]
  await Promise.all([once(idle, 'connect'), once(incomplete, 'connect')])
  incomplete.write(REQUEST.slice(0, 20))
  incomplete.on('error', () => {})
  const abort = new AbortController()
  const closed = close(abort.signal)
  t.is(await text(idle), '')
  t.false(incomplete.destroyed)
  abort.abort()
  await closed
})

// Guards against counting time in which the process did not run as time in which connections could be accepted.
test('connections that wait to be accepted are served when the process stands still after the close has begun', async t => {
  const { open, close } = await startServer(t)
  const closed = close()
  const sockets = Array.from({ length: 5 }, () => open().on('connect', function (this: Socket) { this.write(REQUEST) }))
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600)
  for (const answer of await Promise.all(sockets.map(text))) t.regex(answer, /served$/)
  await closed
})
