import { connect } from 'node:net'
import { text } from 'node:stream/consumers'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { chooseHost } from '../../test/processes/topology.ts'
import { DEFAULT_FRONT_END_LIMITS, deriveClientShare } from '../adapters/http/frontEndLimits.ts'
import { parseAddress } from '../adapters/network.ts'
import type { CallHandler } from '../entry/callerCall.ts'
import { createLogger } from '../observability/logger.ts'
import { CallerFrontend } from './callerFrontend.ts'

async function startFrontend (t: ExecutionContext, port: number, handle: CallHandler['handle'], calls?: number): Promise<{ frontend: CallerFrontend, send (): Promise<Response>, open (input: string): Promise<string>, call (): Promise<number> }> {
  const address = `${chooseHost()}:${port}`
  const logger = createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'test', secrets: [] })
  const frontend = new CallerFrontend({ address, handler: { handle }, desiredState: () => ({ version: 1, maximumBodyBytes: 0 }), logger, limits: { ...DEFAULT_FRONT_END_LIMITS, ...deriveClientShare(), ...(calls === undefined ? {} : { calls }) }, onRefused: () => {}, onCall: () => {} })
  await frontend.start()
  t.teardown(async () => await frontend.stop(AbortSignal.abort()))
  const send = async (): Promise<Response> => await fetch(`http://${address}/checks/0000000000000001`)
  const open = async (input: string): Promise<string> => {
    const socket = connect(parseAddress(address))
    socket.write(input)
    return await text(socket)
  }
  return { frontend, send, open, call: async () => (await send()).status }
}

// Guards against a connection that ends without an answer after the request was read.
test('a call that fails unexpectedly is answered as unknown', async t => {
  const { call } = await startFrontend(t, 23_910, async () => { throw new Error('a bug') })
  t.is(await call(), 504)
})

// Guards against calls that are still open when the platform kills the stopping process.
test('calls that the stop leaves no time are answered: open ones as unknown, later ones as refused', async t => {
  const { frontend, call } = await startFrontend(t, 23_920, async () => await new Promise(() => {}))
  const open = call()
  while (frontend.callsInProgress === 0) await new Promise(resolve => setImmediate(resolve))
  frontend.beginClosing(100)
  t.is(await open, 504)
  t.is(await call(), 503)
})

// Guards against as many calls in progress as there are connections, which exhaust the memory.
test('a call beyond those in progress is refused at once and told when to return, and one after them is served', async t => {
  const waiting: (() => void)[] = []
  const { frontend, send, call } = await startFrontend(t, 23_925, async () => await new Promise(resolve => waiting.push(() => resolve({ outcome: 'no-job' }))), 2)
  const open = [call(), call()]
  while (frontend.callsInProgress < 2) await new Promise(resolve => setImmediate(resolve))
  const refused = await send()
  t.is(refused.status, 503)
  t.true(Number(refused.headers.get('retry-after')) >= 1)
  for (const answer of waiting.splice(0)) answer()
  t.deepEqual(await Promise.all(open), [410, 410])
  const served = call()
  while (waiting.length === 0) await new Promise(resolve => setImmediate(resolve))
  waiting[0]?.()
  t.is(await served, 410)
})

/** Sends requests on one connection, of which the handler answers none before `answer` is called. */
async function pipeline (t: ExecutionContext, port: number, requests: readonly string[], begun: number): Promise<{ frontend: CallerFrontend, answers: Promise<string>, answer: () => void }> {
  const waiting: (() => void)[] = []
  const { frontend, open } = await startFrontend(t, port, async () => await new Promise(resolve => waiting.push(() => resolve({ outcome: 'no-job' }))))
  const answers = open(requests.join(''))
  while (waiting.length < begun) await new Promise(resolve => setImmediate(resolve))
  return { frontend, answers, answer: () => { for (const settle of waiting) settle() } }
}

const GET = 'GET /checks/1 HTTP/1.1\r\nhost: test\r\n\r\n'

// Guards against calls that have run and get no answer, since an answer before theirs closes the connection.
test('a planned stop answers all calls of a connection that have begun, and closes it after the last', async t => {
  const { frontend, answers, answer } = await pipeline(t, 23_930, [GET, GET, GET], 3)
  frontend.beginClosing(60_000)
  answer()
  const received = await answers
  t.is(received.split('HTTP/1.1 410').length - 1, 3)
  t.is(received.split(/connection: close/i).length - 1, 1)
})

test('a call behind a request that closes the connection is not begun', async t => {
  const { frontend, answers, answer } = await pipeline(t, 23_935, [GET, GET.replace('host: test\r\n', ''), GET], 1)
  for (let turn = 0; turn < 20; turn++) await new Promise(resolve => setImmediate(resolve))
  t.is(frontend.callsInProgress, 1)
  answer()
  t.deepEqual((await answers).match(/HTTP\/1\.1 \d+/g), ['HTTP/1.1 410', 'HTTP/1.1 400'])
})
