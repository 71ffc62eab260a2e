import test from 'ava'
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
