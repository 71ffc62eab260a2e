import test from 'ava'
import fc from 'fast-check'
import { resources } from '../../model/resources.ts'
import type { QueueSettings, TeamSettings } from '../desiredState.ts'
import { DesiredStateIndex } from '../desiredStateIndex.ts'
import { hostName } from '../hostName.ts'
import { TEST_QUEUE } from '../testing/definitions.ts'
import { findContradictoryLimits, findIdentityErrors, findUnmatchedQueues, findUnusedEntries, findValueErrors, findVersionError } from './desiredStateFindings.ts'
import type { CheckedState, Finding } from './finding.ts'

const SEED = 11
const ADVICE = { decisionMs: 20, perTargetMs: 0.1, ticketValidityMs: 2_000 }

function team (overrides: Partial<TeamSettings> = {}): TeamSettings {
  return { name: 'weavers', keys: ['key-of-weavers'], weight: 1, cap: resources({}), ...overrides }
}

function queue (overrides: Partial<QueueSettings> = {}): QueueSettings {
  return { ...TEST_QUEUE, advice: ADVICE, ...overrides }
}

function state (overrides: Partial<CheckedState> = {}): CheckedState {
  return { version: 8, queues: [queue()], services: ['renders'], listedServices: [{ name: 'renders', standby: false }], teams: [team()], maximumBodyBytes: 1_000, ...overrides }
}

function format (findings: readonly Finding[]): readonly string[] {
  return findings.map(({ severity, code, place: { entry, field }, message }) => `${severity} ${code} ${entry === undefined ? '' : `${entry.kind} ${entry.index} `}${field}: ${message}`)
}

function findAll (checked: CheckedState): readonly Finding[] {
  return [findIdentityErrors, findValueErrors, findUnmatchedQueues, findUnusedEntries, findContradictoryLimits].flatMap(find => find(checked))
}

test('a correct state has no findings, with fractional times and caps of one unit', t => {
  t.deepEqual(findAll(state({ teams: [team({ cap: resources({ processors: 1, memory: 1 }), weight: 0.5 })] })), [])
  t.deepEqual(findVersionError(state(), 7), [])
})

test('empty and repeated names and keys are found, and messages contain no key', t => {
  const findings = findIdentityErrors(state({
    queues: [queue(), queue({ pathPrefix: '/other/' }), queue({ name: '' })],
    listedServices: [{ name: 'renders', standby: false }, { name: 'renders', standby: true }],
    teams: [team(), team({ name: 'dyers', keys: ['', 'own-key', 'own-key', 'key-of-weavers'] }), team({ keys: [] })]
  }))
  t.snapshot(format(findings))
  t.notRegex(JSON.stringify(findings), /key-of-weavers|own-key/)
})

test('each value out of range is found, and not only the first', t => {
  t.snapshot(format(findValueErrors(state({
    version: 1.5,
    maximumBodyBytes: 0,
    queues: [queue({ maximumFailures: 0, stretchFactor: -1, latencyObjectiveMs: 0, timeoutMs: Infinity, advice: { decisionMs: 0, perTargetMs: 0, ticketValidityMs: 0 } }), queue({ maximumFailures: 2.5 })],
    teams: [team({ weight: 0 })]
  }))))
  t.regex(findValueErrors(state({ version: 0 }))[0]?.message ?? '', /no instance adopts/)
  t.is(findValueErrors(state({ version: 2 ** 53 })).length, 1, 'a version that can not be compared exactly')
})

test('a version that instances ignore is not accepted', t => {
  t.snapshot([8, 9].flatMap(inForce => format(findVersionError(state(), inForce))))
})

test('hosts and prefixes that no call has are found with what is expected', t => {
  const hosts = ['Jobs.example', 'jobs.example:8183', 'jobs example', '', '[::1]']
  const prefixes = ['renders/', '/a?b', '/a#b', '/a b', '']
  for (const overrides of [...hosts.map(host => ({ host })), ...prefixes.map(pathPrefix => ({ pathPrefix }))]) t.snapshot(format(findUnmatchedQueues(state({ queues: [queue(overrides)] }))), JSON.stringify(overrides))
})

test('no queue is reported as unmatched that the lookup of the instances finds, and each other one is', t => {
  const host = fc.constantFrom('a.example', 'A.example', 'a.example:1', 'b')
  const pathPrefix = fc.array(fc.constantFrom('/', 'a', '?'), { maxLength: 4 }).map(parts => parts.join(''))
  fc.assert(fc.property(fc.array(fc.record({ host, pathPrefix }), { maxLength: 8 }), addresses => {
    const queues = addresses.map((address, number) => queue({ ...address, name: `queue-${number}` }))
    const index = new DesiredStateIndex(state({ queues }))
    const errors = new Set(findUnmatchedQueues(state({ queues })).filter(({ severity }) => severity === 'error').map(({ place }) => place.entry?.index))
    return queues.every((each, position) => {
      const path = each.pathPrefix.split('?', 1)[0] as string
      const isFound = (path === '' || path.startsWith('/')) && index.findQueue(hostName(each.host), path) === each
      return errors.has(position) !== isFound
    })
  }), { seed: SEED })
  t.pass()
})

test('references to services that get no work and entries that nothing uses are found', t => {
  t.snapshot(format(findUnusedEntries(state({
    queues: [queue(), queue({ service: 'rendrs' }), queue({ service: 'archive', anonymous: true })],
    listedServices: [{ name: 'renders', standby: false }, { name: 'archive', standby: true }, { name: 'idle', standby: false }],
    teams: [team(), team({ name: 'dyers', keys: [] })]
  }))))
})

test('limits that contradict each other are warnings', t => {
  t.snapshot(format(findContradictoryLimits(state({
    queues: [queue({ timeoutMs: 999 }), queue({ timeoutMs: 1_000, advice: { ...ADVICE, ticketValidityMs: 20.1 } })],
    teams: [team({ cap: resources({ processors: 0.5, accelerators: 0.25 }) })]
  }))))
})
