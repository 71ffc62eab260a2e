import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { text } from 'node:stream/consumers'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { getBoundAddress, listenOn, parseAddress } from '../network.ts'
import { FrontEndGuard } from './frontEndGuard.ts'
import { DEFAULT_FRONT_END_LIMITS, PROBE_LIMITS } from './frontEndLimits.ts'
import type { FrontEndLimits } from './frontEndLimits.ts'
import type { OverloadReason } from './memoryBudget.ts'

const GET = 'GET / HTTP/1.1\r\nhost: test\r\n\r\n'
const LAST_GET = 'GET / HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n'
const POST = 'POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 5\r\n\r\nab\n\nc'

/** Time that is advanced within one turn of the event loop, as a blocked loop sees it. */
class TestClock {
  nowMs = 60_000

  monotonicMs (): number {
    return this.nowMs
  }

  /** Advances the time by seconds, with the checks that a loop that is not blocked makes. */
  runChecks (guard: FrontEndGuard, seconds: number): void {
    for (let second = 0; second < seconds; second++) {
      this.nowMs += 1_000
      guard.check()
    }
  }
}

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setImmediate(resolve))
}

async function startServer (t: ExecutionContext, limits: Partial<FrontEndLimits>, handle: (guard: FrontEndGuard, request: IncomingMessage, response: ServerResponse) => void): Promise<{ readonly guard: FrontEndGuard, readonly clock: TestClock, readonly refused: OverloadReason[], open (input: string): Socket }> {
  const clock = new TestClock()
  const refused: OverloadReason[] = []
  const server = createServer((request, response) => handle(guard, request, response))
  const guard = new FrontEndGuard(server, { limits: { ...DEFAULT_FRONT_END_LIMITS, memoryBytes: 1_000_000, connections: 10, ...limits }, clock, onRefused: reason => refused.push(reason) })
  await listenOn(server, '127.0.0.1:0')
  t.teardown(() => server.close().closeAllConnections())
  return {
    guard,
    clock,
    refused,
    open (input) {
      const socket = connect(parseAddress(getBoundAddress(server)))
      socket.on('error', () => {}).write(input)
      return socket
    }
  }
}

async function echo (guard: FrontEndGuard, request: IncomingMessage, response: ServerResponse): Promise<void> {
  try {
    response.end(`[${await guard.readBody(request, 100_000)}]`)
  } catch {
    response.writeHead(503, { connection: 'close' }).end()
  }
}

test('pipelined requests beyond the limit wait for the answers before them, and all are answered in order', async t => {
  let mostOpen = 0
  const open: ServerResponse[] = []
  const server = await startServer(t, { pipelinedRequests: 3 }, (_guard, _request, response) => {
    open.push(response)
    mostOpen = Math.max(mostOpen, open.length)
    setImmediate(() => open.shift()?.end('served'))
  })
  const answers = await text(server.open(GET.repeat(50) + LAST_GET))
  t.is(answers.split('served').length - 1, 51)
  t.true(mostOpen <= 4, `${mostOpen} open requests`)
})

// Guards against memory that the budget does not count: a buffer of 64 KB for each connection that is not read from.
test('a connection whose input waits keeps nothing in the buffer of its socket', async t => {
  const sockets = new Set<Socket>()
  const server = await startServer(t, { pipelinedRequests: 1 }, (_guard, request) => { sockets.add(request.socket) })
  for (let client = 0; client < 4; client++) server.open(GET.repeat(10_000))
  await waitUntil(() => sockets.size === 4)
  for (let turn = 0; turn < 100; turn++) await new Promise(resolve => setImmediate(resolve))
  t.deepEqual([...sockets].map(socket => socket.readableLength), [0, 0, 0, 0])
  t.true(server.guard.heldBytes > 0)
})

// Guards against calls that go on, and take the place of others, after their clients have left.
test('the end of a connection is noticed while its further requests wait', async t => {
  let closed = 0
  const begun: ServerResponse[] = []
  const server = await startServer(t, { pipelinedRequests: 1 }, (_guard, _request, response) => {
    begun.push(response)
    response.once('close', () => { closed += 1 })
  })
  const clients = [server.open(GET.repeat(3)), server.open(GET.repeat(3))]
  await waitUntil(() => begun.length === clients.length)
  clients[0]?.resetAndDestroy()
  clients[1]?.end()
  await waitUntil(() => closed === clients.length)
  t.is(begun.length, clients.length)
})

// Guards against calls in progress that exhaust the memory, and against a client that waits behind those with thousands of requests.
test('beyond the calls in progress, pipelined requests wait, and a connection with one request does not', async t => {
  const begun: ServerResponse[] = []
  const outcomes = new Map<string, boolean[]>([['/', []], ['/single', []]])
  const server = await startServer(t, { calls: 8 }, (guard, request, response) => {
    const isBegun = guard.beginCall()
    outcomes.get(request.url ?? '')?.push(isBegun)
    if (isBegun) begun.push(response)
    else response.end('refused')
  })
  const busyClients = Array.from({ length: 4 }, async () => await text(server.open(GET.repeat(20) + LAST_GET)))
  await waitUntil(() => begun.length >= 4)
  const single = text(server.open(LAST_GET.replace(' / ', ' /single ')))
  await waitUntil(() => outcomes.get('/single')?.length === 1)
  t.deepEqual(outcomes.get('/single'), [true], 'begun while no other call has ended')
  const answering = setInterval(() => {
    for (const response of begun.splice(0)) {
      response.end('served')
      server.guard.endCall()
    }
  }, 1)
  t.regex(await single, /served$/)
  for (const answers of await Promise.all(busyClients)) t.is(answers.split('served').length - 1, 21)
  clearInterval(answering)
  t.is(server.guard.callsInProgress, 0)
})

test('a request in pieces of one byte, also one between others, is read whole', async t => {
  const server = await startServer(t, {}, (guard, request, response) => { echo(guard, request, response) })
  const socket = server.open('')
  const answers = text(socket)
  for (const byte of `\r\n${POST}${POST}${LAST_GET}`) {
    socket.write(byte)
    await new Promise(resolve => setImmediate(resolve))
  }
  t.is((await answers).match(/\[.*\]|\[ab\n\nc\]/g)?.join(' '), '[ab\n\nc] [ab\n\nc] []')
})

test('open bodies beyond the memory are refused with 503 and closed, and a small request is served meanwhile', async t => {
  const server = await startServer(t, { memoryBytes: 100_000 }, (guard, request, response) => { echo(guard, request, response) })
  const part = `POST / HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n\r\n${'a000\r\n' + 'x'.repeat(0xa000) + '\r\n'}`
  const refused = Promise.race([server.open(part), server.open(part), server.open(part)].map(async socket => await text(socket)))
  t.regex(await refused, /^HTTP\/1\.1 503 /)
  t.true(server.guard.heldBytes <= 100_000)
  t.regex(await text(server.open(POST.replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n'))), /\[ab\n\nc\]$/)
})

test('a connection whose answers are not read takes no further requests, and delays no other connection', async t => {
  let served = 0
  const server = await startServer(t, {}, (_guard, request, response) => {
    if (request.url === '/') served += 1
    response.end(Buffer.alloc(100_000))
  })
  const unread = server.open(GET.repeat(1_000))
  unread.pause()
  await once(unread, 'connect')
  t.true((await text(server.open(LAST_GET.replace(' / ', ' /other ')))).length > 100_000)
  t.true(served < 500, `${served} served`)
  t.true(server.guard.heldBytes > 0)
  unread.destroy()
})

test('beyond the limit of connections, the newest is closed, and the others are served', async t => {
  const server = await startServer(t, { connections: 2 }, (_guard, _request, response) => { response.end('served') })
  const [first, second] = [server.open(GET), server.open(GET)]
  await Promise.all([once(first, 'data'), once(second, 'data')])
  t.is(await text(server.open(LAST_GET)).catch(() => ''), '')
  first.write(LAST_GET)
  t.regex(await text(first), /served$/)
})

// Guards against a load balancer that takes an instance out of use because others hold connections to its readiness port.
test('at the limit of connections for probes, one that has been idle for a second is closed in favour of a new one', async t => {
  const server = await startServer(t, { ...PROBE_LIMITS, connections: 2 }, (_guard, _request, response) => { response.end('served') })
  await Promise.all([server.open(GET), server.open(GET)].map(async socket => await once(socket, 'data')))
  server.clock.nowMs += 1_001
  t.regex(await text(server.open(LAST_GET)).catch(() => ''), /served$/)
  t.deepEqual(server.refused, ['connections'])
})

test('a request that has arrived in full and waits for a turn is not closed with 408', async t => {
  const server = await startServer(t, {}, (guard, request, response) => {
    const endMs = performance.now() + 15
    while (performance.now() < endMs);
    response.end('served')
    if (request.headers.connection === undefined) response.once('close', () => server.clock.runChecks(guard, 10))
  })
  t.is((await text(server.open(GET + LAST_GET))).split('served').length - 1, 2)
  t.deepEqual(server.refused, [])
})

test('a request whose rest was not read because the event loop was blocked is not closed with 408', async t => {
  const server = await startServer(t, {}, (_guard, _request, response) => { response.end('served') })
  const socket = server.open(LAST_GET.slice(0, 20))
  await waitUntil(() => server.guard.heldBytes > 0)
  server.clock.nowMs += 10_000
  server.guard.check()
  socket.write(LAST_GET.slice(20))
  t.regex(await text(socket), /served$/)
})

test('a request that stays incomplete is still closed with 408', async t => {
  const server = await startServer(t, {}, (_guard, _request, response) => { response.end('served') })
  const socket = server.open(LAST_GET.slice(0, 20))
  await waitUntil(() => server.guard.heldBytes > 0)
  server.clock.runChecks(server.guard, 7)
  t.regex(await text(socket), /^HTTP\/1\.1 408 /)
})

// Guards against connections that stay open without a limit, since the start of a head came with the end of a body.
test('the start of a head in one packet with the end of a body has the time of a head', async t => {
  let bodies = 0
  const server = await startServer(t, {}, (guard, request, response) => {
    bodies += 1
    echo(guard, request, response)
  })
  const socket = server.open(POST.slice(0, -2))
  const received = text(socket)
  await waitUntil(() => bodies === 1)
  socket.write(POST.slice(-2) + LAST_GET.slice(0, 20))
  await once(socket, 'readable')
  server.clock.runChecks(server.guard, 7)
  t.regex(await received, /\[ab\n\nc\].*408 /s)
  t.deepEqual(server.refused, ['header-timeout'])
})

// Guards against a request that is never parsed, since its head came with the end of a body and was cut before its last line end.
test('a request behind a body is read wherever its head is cut', async t => {
  for (let cut = 1; cut < LAST_GET.length; cut++) {
    let requests = 0
    const server = await startServer(t, {}, (guard, request, response) => {
      requests += 1
      echo(guard, request, response)
    })
    const socket = server.open(POST.slice(0, -2))
    const received = text(socket)
    await waitUntil(() => requests === 1)
    socket.write(POST.slice(-2) + LAST_GET.slice(0, cut))
    await once(socket, 'readable')
    socket.write(LAST_GET.slice(cut))
    await waitUntil(() => requests === 2)
    t.is((await received).split(' 200 ').length - 1, 2, `cut after ${cut} bytes`)
  }
})

// Guards against a thousand busy connections that each have their time before a client with one request.
test('a connection with one request is served before connections that have used up their time', async t => {
  const BUSY_CLIENTS = 100
  const sockets = new Set<Socket>()
  let served = 0
  let singleServed = -1
  const server = await startServer(t, { connections: 200 }, (_guard, request, response) => {
    const endMs = performance.now() + 3
    while (performance.now() < endMs);
    if (request.url === '/single') singleServed = served
    served += 1
    sockets.add(request.socket)
    response.end('served')
  })
  const busyClients = Array.from({ length: BUSY_CLIENTS }, () => server.open(GET.repeat(200)).resume())
  await waitUntil(() => sockets.size === BUSY_CLIENTS)
  const single = server.open('')
  await once(single, 'connect')
  const before = served
  single.write(LAST_GET.replace(' / ', ' /single '))
  t.regex(await text(single), /served$/)
  t.true(singleServed - before < BUSY_CLIENTS / 2, `${singleServed - before} requests were served before it`)
  for (const socket of busyClients) socket.destroy()
})

test('a client of an old process that has just begun to read its first answer is neither closed nor stalled', async t => {
  const server = await startServer(t, { connections: 1, memoryBytes: 100_000_000 }, (_guard, _request, response) => { response.end(Buffer.alloc(20_000_000)) })
  const socket = server.open(LAST_GET)
  await once(socket, 'readable')
  server.clock.nowMs += 1
  server.open('').resume()
  await waitUntil(() => server.refused.length > 0)
  server.guard.check()
  t.deepEqual(server.refused, ['connections'])
  t.true((await text(socket)).length > 20_000_000)
})

test('a client that reads a long answer slowly is not closed, and one that stops reading is', async t => {
  const server = await startServer(t, { memoryBytes: 100_000_000 }, (_guard, _request, response) => { response.end(Buffer.alloc(40_000_000)) })
  const socket = server.open(GET)
  await once(socket, 'readable')
  for (let part = 0; part < 3; part++) {
    server.clock.runChecks(server.guard, 29)
    const end = socket.bytesRead + 8_000_000
    while (socket.bytesRead < end && !socket.destroyed) {
      socket.read()
      await new Promise(resolve => setImmediate(resolve))
    }
  }
  t.deepEqual(server.refused, [])
  server.clock.runChecks(server.guard, 32)
  t.deepEqual(server.refused, ['unread-answer'])
})

test('at the limit of connections, a slow upload and a call in progress are not closed in favour of a new connection', async t => {
  const open: ServerResponse[] = []
  let uploading: Socket | undefined
  const server = await startServer(t, { connections: 2 }, (guard, request, response) => {
    if (request.method === 'GET') return open.push(response)
    uploading = request.socket
    echo(guard, request, response)
  })
  const call = server.open(GET)
  const upload = server.open(POST.slice(0, -4).replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n'))
  await waitUntil(() => open.length === 1 && uploading !== undefined)
  call.write(LAST_GET.slice(0, 10))
  await waitUntil(() => open[0]?.req.socket.bytesRead === GET.length + 10)
  server.clock.runChecks(server.guard, 2)
  const uploadBytes = uploading?.bytesRead ?? 0
  upload.write('b\n')
  await waitUntil(() => uploading?.bytesRead === uploadBytes + 2)
  server.open('').resume()
  await waitUntil(() => server.refused.length > 0)
  upload.write('\nc')
  t.regex(await text(upload), /\[ab\n\nc\]$/)
  open[0]?.end('served')
  t.regex(String(await once(call, 'data')), /served$/)
  t.deepEqual(server.refused, ['connections'])
})

test('a connection with an empty line after a body is not closed with 408, and is closed once it has been idle', async t => {
  let received: Socket | undefined
  const server = await startServer(t, {}, (guard, request, response) => {
    received = request.socket
    echo(guard, request, response)
  })
  const socket = server.open(POST)
  await once(socket, 'data')
  socket.write('\r\n')
  await waitUntil(() => received?.bytesRead === POST.length + 2)
  server.clock.runChecks(server.guard, 50)
  t.deepEqual(server.refused, [])
  server.clock.runChecks(server.guard, 12)
  t.deepEqual(server.refused, ['idle'])
})
