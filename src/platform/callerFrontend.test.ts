import test from 'ava'
import type { ExecutionContext } from 'ava'
import { chooseHost } from '../../test/processes/topology.ts'
import { DEFAULT_FRONT_END_LIMITS, deriveClientShare } from '../adapters/http/frontEndLimits.ts'
import type { CallHandler } from '../entry/callerCall.ts'
import { createLogger } from '../observability/logger.ts'
import { CallerFrontend } from './callerFrontend.ts'

async function startFrontend (t: ExecutionContext, port: number, handle: CallHandler['handle'], calls?: number): Promise<{ frontend: CallerFrontend, send (): Promise<Response>, call (): Promise<number> }> {
  const address = `${chooseHost()}:${port}`
  const logger = createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'test', secrets: [] })
  const frontend = new CallerFrontend({ address, handler: { handle }, desiredState: () => ({ version: 1, maximumBodyBytes: 0 }), logger, limits: { ...DEFAULT_FRONT_END_LIMITS, ...deriveClientShare(), ...(calls === undefined ? {} : { calls }) }, onRefused: () => {}, onCall: () => {} })
  await frontend.start()
  t.teardown(async () => await frontend.stop(AbortSignal.abort()))
  const send = async (): Promise<Response> => await fetch(`http://${address}/checks/0000000000000001`)
  return { frontend, send, call: async () => (await send()).status }
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
