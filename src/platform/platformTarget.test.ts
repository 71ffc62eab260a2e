import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import { SystemClock } from '../adapters/clock/systemClock.ts'
import { PlatformTarget } from './platformTarget.ts'

// Guards against a report that counts as one of any incarnation, with which runs on another one are taken for ended.
test('a report that does not name the incarnation of its target is a failed renewal', async t => {
  const reports = ['{}', '{"born":0}', '{"born":"5"}', '{"born":1.5}', '{"born":5}'].map(text => ({ clock_ms: 1, running: [], finished: [], ...JSON.parse(text) as object }))
  const server = createServer((_request, response) => response.setHeader('content-type', 'application/json').end(JSON.stringify(reports.shift())))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const target = new PlatformTarget(`127.0.0.1:${(server.address() as AddressInfo).port}`, { id: 'i-1', bornMs: 5 }, new SystemClock())
  t.teardown(async () => {
    await target.close()
    server.close()
  })
  const outcomes: string[] = []
  while (reports.length > 0) outcomes.push((await target.renew({ fencingToken: 1, acknowledged: 0, waitMs: 0 })).outcome)
  t.deepEqual(outcomes, ['failed', 'failed', 'failed', 'failed', 'report'])
})
