import test from 'ava'
import { createConnection } from 'node:net'
import { Pool, request as send } from 'undici'
import { RefusalError } from '../../model/errors.ts'
import type { CallerHandler } from '../../ports/callerHandler.ts'
import type { RunEvent } from '../../ports/peerClient.ts'
import { CallerServer } from './callerServer.ts'

const ANY_PORT = '127.0.0.1:0'

async function startServer (events: () => AsyncIterable<RunEvent>): Promise<{ url: string, stop: () => Promise<void>, server: CallerServer }> {
  const handler: CallerHandler = { run: events, cancel: async () => false, find: async () => [] }
  const server = new CallerServer({ address: ANY_PORT, bodyLimitBytes: 1_000, connectionLimit: 10, requestTimeoutMs: 5_000 }, handler)
  await server.start()
  return { url: `http://${server.address}`, server, stop: async () => await server.stop(new AbortController().signal) }
}

async function * answerWith (text: string, announced = Buffer.byteLength(text)): AsyncIterable<RunEvent> {
  yield { type: 'head', target: 'r1', contentType: 'text/plain' }
  yield { type: 'chunk', bytes: Buffer.from(text) }
  yield { type: 'end', byteCount: announced }
}

const post = { method: 'POST' as const, body: '{}' }

test('a truncated answer is not delivered as complete: the connection is reset', async t => {
  const { url, stop } = await startServer(() => answerWith('partial', 100))
  await t.throwsAsync(send(`${url}/v1/requests`, post).then(async answer => await answer.body.text()))
  await stop()
})

test('a refusal does not reach the caller without its verdict', async t => {
  const refusal = new RefusalError('the queue is full', { code: 'shed', verdict: 'not-run' })
  const { url, stop } = await startServer(async function * () { throw refusal })
  const answer = await send(`${url}/v1/requests`, post)
  t.is(answer.statusCode, 503)
  t.deepEqual(await answer.body.json(), { error: { code: 'shed', message: 'the queue is full', verdict: 'not-run' } })
  await stop()
})

test('an unexpected error does not claim that the request has not run', async t => {
  const { url, stop } = await startServer(async function * () { throw new Error('secret detail') })
  const answer = await send(`${url}/v1/requests`, post)
  const { error } = await answer.body.json() as { error: { verdict: string, message: string } }
  t.is(error.verdict, 'may-have-run')
  t.false(error.message.includes('secret'))
  await stop()
})

test('invalid input does not reach the handler: too large, not JSON, wrong path', async t => {
  const { url, stop } = await startServer(() => answerWith('never'))
  t.is((await send(`${url}/v1/requests`, { method: 'POST', body: 'x'.repeat(2_000) })).statusCode, 413)
  t.is((await send(`${url}/v1/requests`, { method: 'POST', body: '{' })).statusCode, 400)
  t.is((await send(`${url}/v2`, { method: 'GET' })).statusCode, 404)
  t.is((await send(`${url}/v1/requests/%ff`, { method: 'GET' })).statusCode, 400)
  await stop()
})

test('a planned stop does not interrupt a request in progress', async t => {
  let proceed: () => void = () => {}
  const gate = new Promise<void>(resolve => { proceed = resolve })
  let enter: () => void = () => {}
  const entered = new Promise<void>(resolve => { enter = resolve })
  const { url, stop } = await startServer(async function * () {
    enter()
    yield { type: 'head', target: 'r1', contentType: 'text/plain' } satisfies RunEvent
    await gate
    yield { type: 'chunk', bytes: Buffer.from('whole') } satisfies RunEvent
    yield { type: 'end', byteCount: 5 } satisfies RunEvent
  })
  const answered = send(`${url}/v1/requests`, post)
  await entered
  const stopped = stop()
  proceed()
  t.is(await (await answered).body.text(), 'whole')
  await stopped
})

test('a planned stop does not reset a request sent on an open connection as the stop begins', async t => {
  const { url, stop } = await startServer(() => answerWith('whole'))
  const pool = new Pool(url, { connections: 1 })
  const run = async (): Promise<string> => await (await pool.request({ path: '/v1/requests', ...post })).body.text()
  t.is(await run(), 'whole')
  const stopped = stop()
  t.is(await run(), 'whole')
  await stopped
  await pool.close()
})

test('a caller that disconnects does not leave its request running', async t => {
  let aborted: () => void = () => {}
  const abortNoticed = new Promise<void>(resolve => { aborted = resolve })
  const server = new CallerServer({ address: ANY_PORT, bodyLimitBytes: 1_000, connectionLimit: 10, requestTimeoutMs: 5_000 }, {
    run: async function * (_key, _body, signal) {
      socket.destroy()
      await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve()))
      aborted()
    },
    cancel: async () => false,
    find: async () => []
  })
  await server.start()
  const socket = createConnection(Number(server.address.split(':')[1]), '127.0.0.1')
  socket.write('POST /v1/requests HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{}')
  await abortNoticed
  await server.stop(new AbortController().signal)
  t.pass()
})
