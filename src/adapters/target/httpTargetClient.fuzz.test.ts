import test from 'ava'
import fc from 'fast-check'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { resources } from '../../model/resources.ts'
import type { TargetInfo } from '../../model/target.ts'
import type { TaskStart } from '../../ports/targetClient.ts'
import { HttpTargetClient } from './httpTargetClient.ts'
import { REFUSAL_STATUS } from './targetProtocol.ts'

const TASK_ID = 'f3.1'

const START: TaskStart = {
  taskId: TASK_ID,
  team: 'cooks',
  requestId: 'q',
  kind: 'urgent',
  name: 'n',
  size: resources({ slots: 1 }),
  payload: null,
  epoch: 1,
  startByWallMs: 1e13,
  leaseMs: 15_000,
  detached: false
}

const echo = fc.constantFrom(TASK_ID, 'f3.2', '%', '%ff', 'F3.1', '')
const body = fc.oneof(fc.constantFrom('{"message":"no"}', '{"refusal":"unknown-task"}', '', 'null', '{', '[]', '{"tasks":[{}]}', '{"highestEpoch":-1}'), fc.json())

interface RawAnswer { readonly status: number, readonly echo: string, readonly body: string, readonly cut: number, readonly bytes: Buffer<ArrayBuffer> }

const answer = fc.record({
  status: fc.oneof(fc.constantFrom(200, 500, ...Object.values(REFUSAL_STATUS)), fc.integer({ min: 200, max: 599 })),
  echo,
  body,
  cut: fc.oneof({ arbitrary: fc.constant(0), weight: 3 }, { arbitrary: fc.nat(60), weight: 1 })
}).map(({ status, echo, body, cut }): RawAnswer => {
  const text = `HTTP/1.1 ${status} X\r\nx-task-id: ${echo}\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`
  return { status, echo, body, cut, bytes: Buffer.from(text).subarray(0, Buffer.byteLength(text) - cut) }
})

const randomBytes = fc.uint8Array({ maxLength: 100 }).map((bytes): RawAnswer => ({ status: 0, echo: '', body: '', cut: 0, bytes: Buffer.from(bytes) }))

test('no response of a target is interpreted as a refusal, a failure or another result that it does not state completely', async t => {
  let next = Buffer.alloc(0)
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => socket.end(next))
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => server.close())
  const info: TargetInfo = {
    id: 'r',
    type: 'runner',
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    dataCentre: 'd',
    region: 'r',
    rack: '',
    capacity: resources({ slots: 8 }),
    connections: 8,
    features: { fencing: true, startBy: true, inventory: true, checkpoint: true },
    leaving: false
  }
  await fc.assert(fc.asyncProperty(fc.oneof({ arbitrary: answer, weight: 4 }, { arbitrary: randomBytes, weight: 1 }), async raw => {
    next = raw.bytes
    const client = new HttpTargetClient()
    const result = await client.start(info, START)
    const isCompleteAndOwn = raw.cut === 0 && raw.echo === TASK_ID
    t.not(result.outcome, 'unreachable')
    if (result.outcome === 'refused') t.true(isCompleteAndOwn && raw.status === REFUSAL_STATUS[result.refusal])
    if (result.outcome === 'failed') t.true(isCompleteAndOwn && raw.status === 500)
    if (result.outcome === 'started') {
      t.is(raw.status, 200)
      const chunks: Uint8Array[] = []
      const read = async (): Promise<void> => { for await (const chunk of result.answer.body) chunks.push(chunk) }
      if (raw.cut === 0) await read()
      else await t.throwsAsync(read())
      if (raw.cut === 0) t.is(Buffer.concat(chunks).toString(), raw.body)
    }
    const calls = await Promise.allSettled([client.fence(info, 2), client.usage(info), client.renew(info, TASK_ID, 1, 15_000)])
    for (const call of calls) {
      if (call.status === 'rejected') t.true(call.reason instanceof Error && !(call.reason instanceof TypeError), String(call.reason))
    }
    if (calls[2].status === 'fulfilled' && calls[2].value === undefined) t.true(raw.status === 404 && raw.cut === 0)
    await client.close()
  }), { seed: 71, numRuns: 250 })
})
