import { once } from 'node:events'
import { createServer, request as startRequest } from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import { readRequestBody } from './readRequestBody.ts'

const LIMIT = 1_000

/** Sends a request whose body is written by `send`, and returns what the server read of it. `breakOff` waits until the server has the head. */
async function read (send: (write: (bytes: number) => void, finish: () => void, breakOff: () => void) => void): Promise<number | string> {
  return await new Promise(resolve => {
    const server = createServer((request, response) => {
      readRequestBody(request, LIMIT).then(body => resolve(body === undefined ? 'too large' : body.length), error => resolve(String(error)))
        .finally(() => {
          response.end()
          server.close()
          // A request without an end would keep the test process alive for as long as the server waits for its rest.
          server.closeAllConnections()
        })
    })
    const received = once(server, 'request')
    server.listen(0, '127.0.0.1', () => {
      const outgoing = startRequest({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', method: 'POST' })
      outgoing.on('error', () => {})
      outgoing.on('response', response => response.resume())
      send(bytes => outgoing.write('x'.repeat(bytes)), () => outgoing.end(), () => { received.then(() => outgoing.destroy()).catch(error => resolve(String(error))) })
    })
  })
}

test('a body is read whole, whatever its parts', async t => {
  t.is(await read((_write, finish) => finish()), 0)
  t.is(await read((write, finish) => { write(300); write(700); finish() }), 1_000)
})

test('a body beyond the limit is refused at once, before its end', async t => {
  t.is(await read(write => { write(600); write(600) }), 'too large')
})

test('a request that breaks off is not taken for a whole one', async t => {
  t.regex(String(await read((write, _finish, breakOff) => { write(300); breakOff() })), /closed|aborted/)
})
