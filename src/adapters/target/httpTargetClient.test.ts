import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { resources } from '../../model/resources.ts'
import type { TargetInfo } from '../../model/target.ts'
import type { StartResult, TaskStart } from '../../ports/targetClient.ts'
import { ManualClock } from '../clock/manualClock.ts'
import { HttpTargetClient } from './httpTargetClient.ts'
import { StandInTarget } from './standInTarget.ts'
import { StandInTargetServer } from './standInTargetServer.ts'

const RUNNER: TargetInfo = {
  id: 'runner-1',
  type: 'runner',
  address: '127.0.0.1:0',
  dataCentre: 'attica-a',
  region: 'Attica',
  rack: 'rack-1',
  capacity: resources({ slots: 8 }),
  connections: 8,
  features: { fencing: true, startBy: true, inventory: true, checkpoint: true },
  leaving: false
}

function createStart (taskId: string, overrides: Partial<TaskStart> = {}): TaskStart {
  return {
    taskId,
    team: 'weavers',
    requestId: `request-${taskId}`,
    kind: 'urgent',
    name: 'price-check',
    size: resources({ slots: 1 }),
    payload: { price: 3 },
    epoch: 1,
    startByWallMs: Number.MAX_SAFE_INTEGER,
    leaseMs: 15_000,
    detached: false,
    ...overrides
  }
}

async function startTarget (t: ExecutionContext): Promise<{
  clock: ManualClock, target: StandInTarget, server: StandInTargetServer, client: HttpTargetClient, info: TargetInfo
}> {
  const clock = new ManualClock()
  const target = new StandInTarget(RUNNER, clock)
  const server = new StandInTargetServer([target])
  await server.start()
  const client = new HttpTargetClient()
  t.teardown(async () => {
    await client.close()
    await server.stop()
  })
  return { clock, target, server, client, info: server.infos[0] ?? RUNNER }
}

/** Starts a server that responds to each request with the same bytes and then closes the connection. */
async function startRawServer (t: ExecutionContext, answer: string): Promise<TargetInfo> {
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', () => socket.end(answer))
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  return { ...RUNNER, id: `raw-${(server.address() as AddressInfo).port}`, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
}

async function readAnswer (result: StartResult): Promise<string> {
  if (result.outcome !== 'started') throw new Error(result.outcome)
  const chunks: Uint8Array[] = []
  for await (const chunk of result.answer.body) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setImmediate(resolve))
}

test('calls over HTTP behave like direct calls of the target', async t => {
  const { clock, target, client, info } = await startTarget(t)
  const taskId = 'attempt/1 é'
  const echoed = await client.start(info, createStart(taskId))
  t.like(echoed, { outcome: 'started', answer: { taskId, contentType: 'application/json' } })
  t.is(await readAnswer(echoed), '{"price":3}')
  t.is((await readAnswer(await client.start(info, createStart('large', { payload: { bytes: 300_000 } })))).length, 300_000)
  t.is(await readAnswer(await client.start(info, createStart('empty', { payload: undefined }))), 'null')
  t.like(await client.start(info, createStart('failing', { payload: { fail: 'no paper' } })), { outcome: 'failed', message: 'no paper' })
  await readAnswer(await client.start(info, createStart('service', { detached: true, payload: { runMs: 60_000 } })))
  await clock.advance(target.usageLagMs)
  t.deepEqual(await client.fence(info, 2), { outcome: 'fenced', tasks: target.usage() })
  t.deepEqual(await client.fence(info, 1), { outcome: 'refused', highestEpoch: 2 })
  t.deepEqual(await client.renew(info, 'service', 2, 15_000), target.inspect('service'))
  await t.throwsAsync(client.renew(info, 'service', 1, 15_000), { code: 'fenced' })
  t.deepEqual(await client.usage(info), target.usage())
  t.like(await client.command(info, 'service', 2, 'checkpoint'), { state: 'checkpointed' })
  t.is(await client.inspect(info, 'absent'), undefined)
  t.is(await client.command(info, 'absent', 2, 'stop'), undefined)
})

test('each refusal of the target keeps its reason', async t => {
  const { clock, target, client, info } = await startTarget(t)
  target.fence(2)
  const refusals = [
    await client.start(info, createStart('1')),
    await client.start(info, createStart('2', { epoch: 2, size: resources({ slots: 9 }) })),
    await client.start(info, createStart('3', { epoch: 2, startByWallMs: clock.wallMs() - 1 }))
  ]
  target.command('4', 2, 'stop')
  refusals.push(await client.start(info, createStart('4', { epoch: 2 })))
  target.leaving = true
  refusals.push(await client.start(info, createStart('5', { epoch: 2 })))
  t.deepEqual(refusals.map(result => result.outcome === 'refused' ? result.refusal : result.outcome),
    ['fenced', 'no-capacity', 'too-late', 'unknown-task', 'leaving'])
})

test('a start whose response was lost is not reported as never sent', async t => {
  const { target, server, client, info } = await startTarget(t)
  const running = client.start(info, createStart('1', { payload: { runMs: 60_000 } }))
  const abort = new AbortController()
  const aborted = client.start(info, createStart('2', { payload: { runMs: 60_000 } }), abort.signal)
  await waitUntil(() => target.history.length === 2)
  abort.abort(new Error('deadline'))
  t.like(await aborted, { outcome: 'unknown' })
  await server.crash(info.id)
  t.like(await running, { outcome: 'unknown' })
  t.like(await client.start(info, createStart('3')), { outcome: 'unreachable' })
  await t.throwsAsync(client.usage(info), { name: 'TargetUnreachableError' })
})

test('an incomplete response, or one for another task, is not accepted as complete', async t => {
  const client = new HttpTargetClient()
  t.teardown(() => client.close())
  const startOn = async (answer: string): Promise<StartResult> =>
    await client.start(await startRawServer(t, answer), createStart('1'))
  for (const body of ['Content-Length: 10\r\n\r\nhello', 'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n']) {
    const truncated = await startOn(`HTTP/1.1 200 OK\r\nX-Task-Id: 1\r\n${body}`)
    await t.throwsAsync(readAnswer(truncated), { name: 'IncompleteAnswerError' })
  }
  for (const answer of [
    'HTTP/1.1 200 OK\r\nX-Task-Id: 1\r\n\r\nhello',
    'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello',
    'HTTP/1.1 200 OK\r\nX-Task',
    'HTTP/1.1 412 Precondition Failed\r\nX-Task-Id: 2\r\nContent-Length: 2\r\n\r\n{}',
    'HTTP/1.1 409 Conflict\r\nX-Task-Id: 1\r\nContent-Length: 2\r\n\r\n{',
    'HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}'
  ]) t.is((await startOn(answer)).outcome, 'unknown', answer)
  t.like(await startOn('HTTP/1.1 200 OK\r\nX-Task-Id: 2\r\nContent-Length: 0\r\n\r\n'), { answer: { taskId: '2' } })
  const other = await startRawServer(t, 'HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}')
  await t.throwsAsync(client.command(other, '1', 1, 'stop'), { name: 'TargetUnknownError' })
})

test('starts do not exceed the connection limit of the target, nor delay renewals', async t => {
  const { clock, target, client, info } = await startTarget(t)
  const starts = Array.from({ length: 12 }, (_, index) => client.start(info, createStart(`${index}`, { payload: { runMs: 1_000 } })))
  await waitUntil(() => target.history.length === 6)
  t.like(await client.renew(info, '0', 1, 15_000), { state: 'running' })
  await clock.advance(1_000)
  await waitUntil(() => target.usage().length === 6)
  await clock.advance(1_000)
  for (const result of await Promise.all(starts)) t.is(await readAnswer(result), '{"runMs":1000}')
  t.true(target.highestConnections <= RUNNER.connections)
})
