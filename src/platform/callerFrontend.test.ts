import test from 'ava'
import type { ExecutionContext } from 'ava'
import { chooseHost } from '../../test/processes/topology.ts'
import { DEFAULT_FRONT_END_LIMITS, deriveClientShare } from '../adapters/http/frontEndLimits.ts'
import type { CallHandler } from '../entry/callerCall.ts'
import { createLogger } from '../observability/logger.ts'
import { CallerFrontend } from './callerFrontend.ts'

async function startFrontend (t: ExecutionContext, port: number, handle: CallHandler['handle']): Promise<{ frontend: CallerFrontend, call (): Promise<number> }> {
  const address = `${chooseHost()}:${port}`
  const logger = createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'test', secrets: [] })
  const frontend = new CallerFrontend({ address, handler: { handle }, desiredState: () => ({ version: 1, maximumBodyBytes: 0 }), logger, limits: { ...DEFAULT_FRONT_END_LIMITS, ...deriveClientShare() }, onRefused: () => {}, onCall: () => {} })
  await frontend.start()
  t.teardown(async () => await frontend.stop(AbortSignal.abort()))
  return { frontend, call: async () => (await fetch(`http://${address}/checks/0000000000000001`)).status }
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
