import test from 'ava'
import fc from 'fast-check'
import { resources } from '../model/resources.ts'
import type { QueueSettings } from './desiredState.ts'
import { DesiredStateIndex } from './desiredStateIndex.ts'
import { TEST_QUEUE } from './testing/definitions.ts'

const SEED = 5

function createIndex (queues: readonly QueueSettings[]): DesiredStateIndex {
  return new DesiredStateIndex({ version: 1, services: [], maximumBodyBytes: 0, queues, teams: [{ name: 'weavers', keys: ['k1', 'k2'], weight: 1, cap: resources({}) }] })
}

/** Scans all queues. */
function findByScan (queues: readonly QueueSettings[], host: string, path: string): QueueSettings | undefined {
  let best: QueueSettings | undefined
  for (const queue of queues) {
    if (queue.host === host && path.startsWith(queue.pathPrefix) && queue.pathPrefix.length > (best?.pathPrefix.length ?? -1)) best = queue
  }
  return best
}

test('no path is routed to another queue than the one with the longest matching prefix', t => {
  const text = fc.string({ unit: fc.constantFrom('/', 'a', 'b'), maxLength: 5 })
  const host = fc.constantFrom('one.example', 'two.example')
  fc.assert(fc.property(fc.array(fc.record({ host, pathPrefix: text }), { maxLength: 12 }), fc.array(fc.tuple(host, text), { maxLength: 20 }), (prefixes, calls) => {
    const queues = prefixes.map((overrides, number) => ({ ...TEST_QUEUE, ...overrides, name: `queue-${number}` }))
    const index = createIndex(queues)
    return calls.every(([name, path]) => index.findQueue(name, path) === findByScan(queues, name, path))
  }), { seed: SEED })
  t.pass()
})

test('each key of a team is found, and an unknown key names no team', t => {
  const index = createIndex([TEST_QUEUE])
  t.deepEqual(['k1', 'k2', 'k3', ''].map(key => index.findTeam(key)?.name), ['weavers', 'weavers', undefined, undefined])
  t.deepEqual([index.team('weavers')?.name, index.team('dyers')?.name, index.queue('renders')?.name, index.queue('gone')?.name], ['weavers', undefined, 'renders', undefined])
})
