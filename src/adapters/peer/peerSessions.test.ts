import { once } from 'node:events'
import { constants, createServer } from 'node:http2'
import type { ClientHttp2Stream, Http2ServerResponse, ServerHttp2Session } from 'node:http2'
import { connect, createServer as createTcpServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { PeerSessions } from './peerSessions.ts'

const PING_INTERVAL_MS = 50
/** Longer than the test unless a ping is to time out. */
const LONG_MS = 60_000
const SHORT_MS = 1_000

/** A peer behind a link that can drop data and close its connections. */
class Peer {
  readonly connections = new Set<Socket>()
  readonly sessions: ServerHttp2Session[] = []
  /** Answers to the requests for `/open`, which the peer does not end. */
  readonly openResponses: Http2ServerResponse[] = []
  silent = false
  /** Holds back what the client sends, like a link that is busy with an upload. */
  uplinkBusy = false
  #link!: Server

  static async start (t: ExecutionContext): Promise<Peer> {
    const peer = new Peer()
    const server = createServer((request, response) => {
      if (request.url === '/open') peer.openResponses.push(response)
      else response.end()
    })
    server.on('session', session => peer.sessions.push(session))
    await once(server.listen(0, '127.0.0.1'), 'listening')
    peer.#link = createTcpServer({ allowHalfOpen: true }, incoming => peer.#forward(incoming, (server.address() as AddressInfo).port))
    await once(peer.#link.listen(0, '127.0.0.1'), 'listening')
    t.teardown(() => {
      peer.#link.close()
      server.close()
      for (const connection of peer.connections) connection.destroy()
    })
    return peer
  }

  get url (): string {
    return `http://127.0.0.1:${(this.#link.address() as AddressInfo).port}`
  }

  #forward (incoming: Socket, port: number): void {
    const outgoing = connect(port, '127.0.0.1')
    this.connections.add(incoming)
    for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]] as const) {
      from.on('data', data => { if (!this.silent && !(this.uplinkBusy && from === incoming)) to.write(data) })
      from.on('error', () => {})
      from.on('close', () => to.destroy())
    }
  }
}

/** Sends a request and returns the status of its answer. */
async function call (sessions: PeerSessions): Promise<unknown> {
  const stream = await sessions.request('GET', '/', {}, {})
  const [headers] = await once(stream, 'response')
  stream.resume()
  await once(stream, 'close')
  return headers[':status']
}

/** Opens a stream on a session that its peer then closes with GOAWAY, and a second session that replaces it. */
async function openOnClosedSession (peer: Peer, sessions: PeerSessions): Promise<ClientHttp2Stream> {
  const open = await sessions.request('GET', '/open', {}, {})
  await call(sessions)
  const goaway = once(open.session!, 'goaway')
  peer.sessions[0]!.goaway(constants.NGHTTP2_NO_ERROR)
  await goaway
  await call(sessions)
  return open
}

/** Runs the action and returns how often it called `setTimeout`. Only for serial tests. */
async function countTimers (action: () => Promise<unknown>): Promise<number> {
  const { setTimeout: original } = globalThis
  let count = 0
  globalThis.setTimeout = ((...parameters: Parameters<typeof setTimeout>) => {
    count++
    return original(...parameters)
  }) as typeof setTimeout
  try {
    await action()
  } finally {
    globalThis.setTimeout = original
  }
  return count
}

// Guards against a timer every millisecond while a stream goes on after a GOAWAY.
test.serial('a session that its peer closed is checked at the interval while a stream goes on', async t => {
  const peer = await Peer.start(t)
  const sessions = new PeerSessions(peer.url, { pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: LONG_MS })
  t.teardown(() => sessions.abort())
  const open = await openOnClosedSession(peer, sessions)
  open.on('error', () => {})
  t.true(open.session?.closed)
  let checks = 0
  // Node.js can send no PING on such a session, so that it is checked with SETTINGS frames.
  peer.sessions[0]!.on('remoteSettings', () => { checks++ })
  const timers = await countTimers(() => sleep(10 * PING_INTERVAL_MS))
  // Each check takes a timer for its interval, one for its time-out, and a third if the first fires early by a part of 1 ms.
  t.true(timers <= 40, `${timers} timers in 10 intervals`)
  t.true(checks > 0 && checks <= 10, `${checks} checks in 10 intervals`)
  t.false(open.destroyed)
})

// Guards against a process that is kept by the ping of a session that nothing uses any more.
test.serial('a ping does not keep the process alive', async t => {
  const peer = await Peer.start(t)
  const sessions = new PeerSessions(peer.url, { pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: LONG_MS })
  t.teardown(() => sessions.abort())
  const countReferenced = (): number => process.getActiveResourcesInfo().filter(type => type === 'Timeout').length
  const open = await sessions.request('GET', '/open', {}, {})
  open.on('error', () => {})
  await call(sessions)
  const before = countReferenced()
  peer.silent = true
  t.true(await countTimers(() => sleep(3 * PING_INTERVAL_MS)) > 0, 'a ping is sent')
  open.close()
  t.is(countReferenced(), before)
})

// Guards against a stream that waits until its deadline for a dead peer that had closed the session before.
test('a session that its peer closed and that no longer answers ends its streams', async t => {
  const peer = await Peer.start(t)
  const sessions = new PeerSessions(peer.url, { pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: SHORT_MS })
  t.teardown(() => sessions.abort())
  const open = await openOnClosedSession(peer, sessions)
  const failed = once(open, 'error')
  peer.silent = true
  const [outcome] = await Promise.race([failed.catch((error: unknown) => [error]), sleep(5_000, ['no error within 5 s'])])
  t.regex(String(outcome), /PING timed out|cancel/i)
})

// Guards against an upload that delays the answer to a ping and thereby ends all streams to a peer whose answers arrive.
for (const [name, openStream] of [
  ['a session', async (peer: Peer, sessions: PeerSessions) => await sessions.request('GET', '/open', {}, {})],
  ['a session that its peer closed', openOnClosedSession]
] as const) {
  test(`${name} is kept while answers arrive although its pings are not answered, and no longer`, async t => {
    const peer = await Peer.start(t)
    const sessions = new PeerSessions(peer.url, { pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: 2_000 })
    t.teardown(() => sessions.abort())
    const open = await openStream(peer, sessions)
    let error: unknown
    open.on('error', reason => { error = reason })
    let bytes = 0
    open.on('data', (data: Buffer) => {
      bytes += data.length
      sessions.notifyResponseByteRead(open)
    })
    await call(sessions)
    peer.uplinkBusy = true
    for (let sent = 1; sent <= 4; sent++) {
      await sleep(800)
      peer.openResponses[0]!.write('.')
    }
    await sleep(500)
    t.is(error, undefined)
    t.is(bytes, 4)
    await Promise.race([new Promise(resolve => open.once('close', resolve)), sleep(10_000)])
    t.regex(String(error), /PING timed out|cancel/i)
  })
}

// Guards against a stopped process that opens a session again for a request that was still verifying the last one.
test('a request that verifies its session when the sessions are closed is refused, as are later ones', async t => {
  const peer = await Peer.start(t)
  const sessions = new PeerSessions(peer.url, { pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: LONG_MS })
  await call(sessions)
  await sleep(2 * PING_INTERVAL_MS)
  peer.silent = true
  const verifying = call(sessions)
  await sleep(PING_INTERVAL_MS)
  sessions.abort()
  peer.silent = false
  await t.throwsAsync(verifying, { message: /^\[canceled\]/ })
  await t.throwsAsync(call(sessions), { message: /^\[canceled\]/ })
  t.is(peer.connections.size, 1)
})

// Guards against an instance that never reaches a peer again which closed an idle session while it was pinged.
test('a session that the peer closes while it is pinged is replaced', async t => {
  const peer = await Peer.start(t)
  const sessions = new PeerSessions(peer.url, { pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: LONG_MS })
  t.teardown(() => sessions.abort())
  t.is(await call(sessions), 200)
  await sleep(2 * PING_INTERVAL_MS)
  peer.silent = true
  const next = call(sessions)
  await sleep(PING_INTERVAL_MS)
  peer.silent = false
  for (const connection of peer.connections) connection.end()
  t.is(await next, 200)
  await sleep(2 * PING_INTERVAL_MS)
  t.is(await call(sessions), 200)
})

test('a session that does not answer a ping is replaced, and its streams end', async t => {
  const peer = await Peer.start(t)
  const sessions = new PeerSessions(peer.url, { pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: SHORT_MS })
  t.teardown(() => sessions.abort())
  t.is(await call(sessions), 200)
  const open = await sessions.request('GET', '/open', {}, {})
  const failed = once(open, 'error')
  peer.silent = true
  t.regex(String(await failed), /PING timed out|cancel/i)
  peer.silent = false
  t.is(await call(sessions), 200)
})

test('a session that answers its pings is kept while a stream waits for its answer', async t => {
  const peer = await Peer.start(t)
  const sessions = new PeerSessions(peer.url, { pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: LONG_MS })
  t.teardown(() => sessions.abort())
  const open = await sessions.request('GET', '/open', {}, {})
  open.on('error', () => {})
  await sleep(6 * PING_INTERVAL_MS)
  t.is(await call(sessions), 200)
  t.false(open.destroyed)
  t.is(peer.connections.size, 1)
})

// Guards against an uncaught exception, which ended the process with code 1.
test('the error of a session that is replaced while it closes is not thrown', async t => {
  const peer = await Peer.start(t)
  const sessions = new PeerSessions(peer.url, { pingIntervalMs: LONG_MS, pingTimeoutMs: LONG_MS })
  t.teardown(() => sessions.abort())
  const open = await sessions.request('GET', '/open', {}, {})
  open.on('error', () => {})
  const { session } = open
  session?.destroy(new Error('the session does not answer'))
  // Not `once`, which would listen to the error as well.
  const closed = new Promise<void>(resolve => session?.once('close', () => resolve()))
  t.is(await call(sessions), 200)
  await closed
})
