import test from 'ava'
import { NO_RESOURCES, resources } from '../../model/resources.ts'
import type { DigestUpdate, ExchangeSender } from '../../model/digest.ts'
import type { ForwardedRequest, PeerHandler, RunEvent } from '../../ports/peerClient.ts'
import { ConnectPeerClient } from './connectPeerClient.ts'
import { ConnectPeerServer } from './connectPeerServer.ts'

const ref = { name: 'entry-1', incarnation: 'i1' }
const place = { dataCentre: 'attica-a', region: 'attica', peerAddress: '127.0.0.1:1' }

const sender: ExchangeSender = {
  ref, state: 'draining', configurationVersion: 7, place, known: { incarnation: 'i0', revision: 9 }, unanswered: ['entry-3'], withoutLoad: true
}

const updates: readonly DigestUpdate[] = [
  {
    handle: 0,
    ref,
    state: 'serving',
    configurationVersion: 7,
    heardAge: 0,
    storeReadAge: undefined,
    quietAge: 12,
    place,
    load: { version: 4, free: resources({ slots: 8 }), largestFree: resources({ slots: 8 }), queued: 3 },
    teams: [{ team: 'weavers', used: resources({ slots: 2, processors: 64_000 }), spare: NO_RESOURCES, queued: 1, version: 4 }]
  },
  {
    handle: 5,
    ref: undefined,
    state: 'starting',
    configurationVersion: 8,
    heardAge: 700,
    storeReadAge: 3,
    quietAge: undefined,
    place: undefined,
    load: undefined,
    teams: []
  }
]

const forwarded: ForwardedRequest = {
  attemptId: 'f1.1',
  team: 'weavers',
  request: {
    id: 'q1', kind: 'urgent', name: 'default', size: resources({ slots: 1 }), tasks: 1, deadlineMs: 1_000, repeatable: true, payload: { x: 1 }
  },
  remainingMs: 900,
  hops: 1,
  configurationVersion: 7
}

class RecordingHandler implements PeerHandler {
  readonly senders: ExchangeSender[] = []
  async exchange (caller: ExchangeSender) {
    this.senders.push(caller)
    return { instances: updates, acknowledged: true, revision: 11 }
  }

  async * run (request: ForwardedRequest): AsyncIterable<RunEvent> {
    yield { type: 'head', target: 'r1', contentType: 'application/json' }
    yield { type: 'chunk', bytes: Buffer.from(JSON.stringify(request.request.payload)) }
    yield { type: 'end', byteCount: 7 }
  }

  async cancel () { return true }
  async find () { return [{ instance: 'entry-1', state: 'running' as const, attemptId: 'f1.1', target: 'r1' }] }
  async fetchChanges () { return { type: 'changes' as const, changes: [] } }
  async transferAllotment () { return resources({ slots: 2 }) }
  async claim () { return ['claimed' as const, 'duplicate' as const] }
  async handOver () {}
}

test('messages between two instances keep every field, and a wrong secret is rejected', async t => {
  const handler = new RecordingHandler()
  const server = new ConnectPeerServer('127.0.0.1:0', 'secret', handler)
  await server.start()
  const { address } = server
  const client = new ConnectPeerClient('secret')
  t.deepEqual(await client.exchange(address, sender, true), { instances: updates, acknowledged: true, revision: 11 })
  t.deepEqual(handler.senders, [sender])
  const events: RunEvent[] = []
  for await (const event of client.run(address, forwarded)) events.push(event)
  t.deepEqual(events.map(event => event.type), ['head', 'chunk', 'end'])
  t.deepEqual(await client.transferAllotment(address, ref, 'weavers', resources({ slots: 4 })), resources({ slots: 2 }))
  t.deepEqual(await client.claim(address, [{ identity: 'a', holder: 'f1' }, { identity: 'b', holder: 'f1' }]), ['claimed', 'duplicate'])
  t.is((await client.find(address, 'weavers', 'q1'))[0]?.target, 'r1')

  const unauthenticated = new ConnectPeerClient('guess')
  await t.throwsAsync(unauthenticated.exchange(address, sender, false), { message: /secret/ })
  await unauthenticated.stop()
  await client.stop()
  await server.stop()
})

test('a refused connection is distinguished from a lost response, since only the former means that nothing ran', async t => {
  const server = new ConnectPeerServer('127.0.0.1:0', 'secret', new RecordingHandler())
  await server.start()
  const { address } = server
  await server.stop()
  const client = new ConnectPeerClient('secret')
  const error = await t.throwsAsync(client.exchange(address, sender, false))
  let code: unknown
  for (let cause: unknown = error; cause instanceof Error; cause = cause.cause) code = (cause as NodeJS.ErrnoException).code ?? code
  t.is(code, 'ECONNREFUSED')
  await client.stop()
})

// Guards against sessions that are opened after the client was stopped, which nothing closes.
test('a stopped client refuses calls', async t => {
  const handler = new RecordingHandler()
  const server = new ConnectPeerServer('127.0.0.1:0', 'secret', handler)
  await server.start()
  const client = new ConnectPeerClient('secret')
  await client.exchange(server.address, sender, true)
  await client.stop()
  await t.throwsAsync(client.exchange(server.address, sender, true), { message: /stopped/ })
  t.is(handler.senders.length, 1)
  await server.stop()
})
