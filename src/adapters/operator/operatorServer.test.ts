import { once } from 'node:events'
import { connect } from 'node:net'
import test from 'ava'
import fc from 'fast-check'
import type { ExecutionContext } from 'ava'
import { request } from 'undici'
import type { ChangeSubmission, OperatorHandler } from '../../observability/operatorApi.ts'
import { MAX_BODY_BYTES } from './operatorRequests.ts'
import { OperatorServer } from './operatorServer.ts'

const TOKEN = 'operator-token-0123456789'

class RecordingHandler implements OperatorHandler {
  readonly submissions: ChangeSubmission[] = []
  drains = 0

  async readConfiguration () { return { version: 7, settings: {}, keys: [], drains: [], recentChangeIds: [] } }
  async readStatus (): Promise<never> { throw new Error('detail that stays inside') }
  async drainSelf () { this.drains++; return { state: 'draining' } as const }
  async readMetrics () { return { contentType: 'text/plain', body: 'agategauge_x 1\n' } }
  readHealth () { return { ok: true, state: 'serving' } as const }
  readReadiness () { return { ok: false, state: 'draining', reason: 'planned stop' } as const }

  async submitChange (submission: ChangeSubmission, signal: AbortSignal) {
    this.submissions.push(submission)
    if (submission.waitMs !== undefined) await once(signal, 'abort')
    return { outcome: 'invalid', messages: ['no such team'] } as const
  }
}

interface Fixture {
  readonly handler: RecordingHandler
  readonly server: OperatorServer
  readonly errors: unknown[]
  readonly call: (method: 'GET' | 'POST', path: string, body?: string, token?: string) => Promise<{ readonly status: number, readonly text: string }>
}

async function startServer (t: ExecutionContext, requestTimeoutMs = 10_000): Promise<Fixture> {
  const handler = new RecordingHandler()
  const errors: unknown[] = []
  const server = new OperatorServer(handler, { listen: '127.0.0.1:0', token: TOKEN, requestTimeoutMs, onError: error => { errors.push(error) } })
  await server.start()
  t.teardown(async () => { await server.stop(AbortSignal.abort()) })
  return {
    handler,
    server,
    errors,
    async call (method, path, body, token = TOKEN) {
      const response = await request(`http://${server.address}${path}`, { method, body, headers: { authorization: `Bearer ${token}` }, reset: true })
      return { status: response.statusCode, text: await response.body.text() }
    }
  }
}

test('no request body causes an internal error, and only a valid submission reaches the handler', async t => {
  const { call, handler, errors } = await startServer(t)
  const nearValid = fc.record({ id: fc.oneof(fc.constant(SUBMISSION.id), fc.jsonValue()), baseVersion: fc.oneof(fc.nat(), fc.double()), operator: fc.oneof(fc.constant('asha'), fc.string()), operations: fc.oneof(fc.array(fc.jsonValue()), fc.jsonValue()) })
  const body = fc.oneof(nearValid.map(value => JSON.stringify(value)), fc.json(), fc.string())
  await fc.assert(fc.asyncProperty(fc.constantFrom('/v1/changes', '/v1/drain', '/v1/%', '//', '/v1/changes/__proto__'), body, async (path, body) => {
    t.true([200, 202, 400, 404, 409, 422].includes((await call('POST', path, body)).status))
  }), { seed: 73, numRuns: 300 })
  t.deepEqual(errors, [])
  for (const { id, baseVersion, operator, operations } of handler.submissions) {
    t.true(id.length >= 8 && Number.isSafeInteger(baseVersion) && baseVersion >= 0 && operator.trim() !== '' && Array.isArray(operations))
  }
  t.true(handler.submissions.length > 0)
})

const SUBMISSION = { id: 'change-0001', baseVersion: 7, operator: 'asha', operations: [{ type: 'withdrawKey', keyId: 'k-1' }] }

test('only the probes are served without a valid token', async t => {
  const { call, handler } = await startServer(t)
  for (const [method, path] of [['GET', '/v1/configuration'], ['GET', '/v1/status'], ['GET', '/metrics'], ['POST', '/v1/changes'], ['POST', '/v1/drain']] as const) {
    for (const token of ['', 'x', TOKEN.slice(1), `${TOKEN}x`]) t.is((await call(method, path, method === 'POST' ? '{}' : undefined, token)).status, 401)
  }
  t.deepEqual(handler.submissions, [])
  t.is((await call('GET', '/health', undefined, '')).status, 200)
  t.is((await call('GET', '/ready', undefined, '')).status, 503)
  t.like(JSON.parse((await call('GET', '/v1/configuration')).text), { version: 7 })
  t.is((await call('GET', '/metrics')).text, 'agategauge_x 1\n')
})

test('a malformed or oversized change does not reach the handler', async t => {
  const { call, handler } = await startServer(t)
  const bodies = ['', '{', '[]', '{"id":1}', JSON.stringify({ ...SUBMISSION, id: 'short' }), JSON.stringify({ ...SUBMISSION, force: true }), JSON.stringify({ ...SUBMISSION, waitMs: 1e9 })]
  for (const body of bodies) t.is((await call('POST', '/v1/changes', body)).status, 400, body)
  t.is((await call('POST', '/v1/changes', ' '.repeat(MAX_BODY_BYTES + 1))).status, 413)
  t.is((await call('POST', '/v1/drain', '{"scope":"all"}')).status, 400)
  t.is((await call('GET', '/__proto__')).status, 404)
  t.deepEqual(handler.submissions, [])
  t.is(handler.drains, 0)
  const answer = await call('POST', '/v1/changes', JSON.stringify(SUBMISSION))
  t.is(answer.status, 400)
  t.deepEqual(JSON.parse(answer.text), { outcome: 'invalid', messages: ['no such team'] })
  t.deepEqual(handler.submissions, [SUBMISSION] as unknown as ChangeSubmission[])
})

test('an internal error shows no details to the client and is reported once', async t => {
  const { call, errors } = await startServer(t)
  const { status, text } = await call('GET', '/v1/status')
  t.is(status, 500)
  t.false(text.includes('stays inside'))
  t.is(errors.length, 1)
})

test('a client that does not send its request in time is disconnected', async t => {
  const { server, handler } = await startServer(t, 50)
  const socket = connect(Number(server.address.split(':').at(-1)), '127.0.0.1')
  socket.on('error', () => {})
  socket.resume()
  socket.write(`POST /v1/changes HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${TOKEN}\r\ncontent-length: 100\r\n\r\n{`)
  await once(socket, 'close')
  t.deepEqual(handler.submissions, [])
})

test('a pending change submission does not prevent the server from stopping', async t => {
  const { server, handler, call } = await startServer(t)
  const pending = t.throwsAsync(call('POST', '/v1/changes', JSON.stringify({ ...SUBMISSION, waitMs: 60_000 })))
  while (handler.submissions.length === 0) await new Promise(resolve => setImmediate(resolve))
  await server.stop(AbortSignal.abort())
  await pending
  t.pass()
})
