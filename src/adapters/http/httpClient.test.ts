import { once } from 'node:events'
import { createServer } from 'node:http'
import type { ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import { ManualClock } from '../clock/manualClock.ts'
import { SystemClock } from '../clock/systemClock.ts'
import { HttpClient, NotSentError } from './httpClient.ts'

const CALL = { method: 'GET', path: '/' } as const

function createClient (address: string): HttpClient {
  return new HttpClient({ address, clock: new SystemClock(), connectTimeoutMs: 100 })
}

test('an address that can not be used fails the calls to it as not sent, instead of the code that creates the client', async t => {
  const client = createClient('not an address:x')
  await t.throwsAsync(client.callOptionalJson(CALL), { instanceOf: NotSentError })
  await t.throwsAsync(client.call(CALL), { instanceOf: NotSentError })
  await client.close()
})

test('a client that was closed before its first call sends nothing', async t => {
  const client = createClient('127.0.0.1:9')
  await client.close()
  await t.throwsAsync(client.callOptionalJson(CALL), { instanceOf: NotSentError, message: /closed/ })
})

/** A client with one connection, which the first call occupies until `release`, and a second call that waits for it. */
async function queueCall () {
  const paths: string[] = []
  let held: ServerResponse | undefined
  const server = createServer((request, response) => {
    paths.push(request.url ?? '')
    if (held === undefined) held = response
    else response.end('{}')
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const clock = new ManualClock()
  const client = new HttpClient({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, clock, connections: 1, connectTimeoutMs: 1_000 })
  const first = client.callOptionalJson({ method: 'POST', path: '/first', body: {} })
  await once(server, 'request')
  const queued = client.callOptionalJson({ method: 'POST', path: '/queued', body: {}, timeoutMs: 1_000 })
  const release = async (): Promise<void> => {
    held?.end('{}')
    await first
  }
  const close = async (): Promise<void> => {
    await client.close()
    server.close()
  }
  return { clock, paths, queued, release, close }
}

// Guards against a call that reaches a server long after its sender gave it up: after a pause, Node.js writes to sockets that are ready before it fires timers that are due.
test('a call that waited for a connection while the process or the machine was paused is not sent after its timeout', async t => {
  for (const pause of [(clock: ManualClock) => clock.pause(5_000), (clock: ManualClock) => clock.suspend(5_000)]) {
    const { clock, paths, queued, release, close } = await queueCall()
    const rejected = t.throwsAsync(queued, { instanceOf: NotSentError })
    pause(clock)
    await release()
    await rejected
    t.deepEqual(paths, ['/first'])
    await close()
  }
})

test('a call that waited for a connection for less than its timeout is sent', async t => {
  const { clock, paths, queued, release, close } = await queueCall()
  clock.pause(900)
  await release()
  t.like(await queued, { status: 200 })
  t.deepEqual(paths, ['/first', '/queued'])
  await close()
})
