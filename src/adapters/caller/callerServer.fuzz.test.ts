import test from 'ava'
import fc from 'fast-check'
import { request as send } from 'node:http'
import { json } from 'node:stream/consumers'
import { RefusalError } from '../../model/errors.ts'
import { parseRequest } from '../../scheduler/admission/requestSchema.ts'
import { CallerServer } from './callerServer.ts'

const ADDRESS = { host: '127.0.0.1', port: 21_560 }

/** Almost valid bodies, so that fuzzing gets past the first validation. */
const nearValidRequest = fc.record({
  id: mostly(fc.constant('order-17')),
  kind: mostly(fc.constantFrom('urgent', 'batch', 'service', 'gang')),
  repeatable: mostly(fc.boolean()),
  size: mostly(fc.record({ slots: fc.nat(), processors: fc.oneof(fc.double({ min: 0 }), fc.double()) })),
  tasks: mostly(fc.constantFrom(1, 2, 1_000)),
  deadlineMs: mostly(fc.double({ min: 1 })),
  payload: fc.anything()
}, { requiredKeys: ['id', 'kind', 'repeatable'] })

function mostly<Value> (valid: fc.Arbitrary<Value>): fc.Arbitrary<unknown> {
  return fc.oneof({ arbitrary: valid, weight: 6 }, { arbitrary: fc.anything(), weight: 1 })
}

test('the schema accepts no amount that would corrupt placement, and every rejection has a verdict', t => {
  let accepted = 0
  fc.assert(fc.property(fc.oneof(nearValidRequest, fc.anything()), body => {
    try {
      const { size, tasks, deadlineMs } = parseRequest(body)
      accepted++
      for (const amount of [...Object.values(size ?? {}), tasks, deadlineMs ?? 1]) t.true(amount >= 0 && amount * tasks <= Number.MAX_SAFE_INTEGER, `${amount}`)
    } catch (error) {
      t.true(error instanceof RefusalError && error.code === 'invalid' && error.verdict === 'not-run', String(error))
    }
  }), { seed: 41, numRuns: 2_000 })
  t.true(accepted > 0)
})

test('every path and body gets a response, and a request that no handler received is not reported as possibly run', async t => {
  const server = new CallerServer({ address: `${ADDRESS.host}:${ADDRESS.port}`, bodyLimitBytes: 300, connectionLimit: 50, requestTimeoutMs: 5_000 }, {
    async * run (_key, body) {
      parseRequest(body)
      yield { type: 'refused', code: 'shed', message: 'full', verdict: 'not-run', claimed: false, retryable: true }
    },
    cancel: async () => false,
    find: async () => []
  })
  await server.start()
  t.teardown(async () => await server.stop(AbortSignal.abort()))
  const path = fc.oneof(
    fc.constant('/v1/requests'), fc.webUrl(), fc.webPath(), fc.constantFrom('//', '/v1/requests/%', 'http://[', '/v1/requests/%00', '///x@'),
    fc.string().map(text => `/v1/requests/${encodeURIComponent(text)}`))
  const body = fc.oneof(fc.json(), fc.uint8Array({ maxLength: 600 }).map(bytes => Buffer.from(bytes)), nearValidRequest.map(value => JSON.stringify(value, String) ?? ''))
  await fc.assert(fc.asyncProperty(fc.constantFrom('GET', 'POST', 'DELETE', 'PUT'), path, body, async (method, path, body) => {
    const answer = await call(method, path, method === 'POST' ? body : undefined)
    if (answer.status === 200) return
    t.is((answer.body as { error: { verdict: string } }).error.verdict, 'not-run', `${method} ${path}`)
  }), { seed: 42, numRuns: 300 })
})

test('a refusal with an unknown code of a newer version still gets a response', async t => {
  const server = new CallerServer({ address: `${ADDRESS.host}:${ADDRESS.port + 1}`, bodyLimitBytes: 300, connectionLimit: 50, requestTimeoutMs: 5_000 }, {
    async * run () { yield { type: 'refused', code: 'newer' as never, message: 'new', verdict: 'not-run', claimed: false, retryable: false } },
    cancel: async () => false,
    find: async () => []
  })
  await server.start()
  t.teardown(async () => await server.stop(AbortSignal.abort()))
  t.like(await call('POST', '/v1/requests', '{}', ADDRESS.port + 1), { status: 500, body: { error: { verdict: 'not-run' } } })
})

const RESPONSE_TIMEOUT_MS = 2_000

async function call (method: string, path: string, body?: string | Buffer, port = ADDRESS.port): Promise<{ readonly status: number, readonly body: unknown }> {
  return await new Promise((resolve, reject) => {
    const sent = send({ host: ADDRESS.host, port, method, path, agent: false, timeout: RESPONSE_TIMEOUT_MS }, response => {
      json(response).then(body => resolve({ status: response.statusCode ?? 0, body }), reject)
    })
    sent.on('error', reject)
    sent.on('timeout', () => sent.destroy(new Error(`no response to ${method} ${path}`)))
    sent.end(body)
  })
}
