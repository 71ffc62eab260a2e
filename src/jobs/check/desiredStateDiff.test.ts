import test from 'ava'
import { resources } from '../../model/resources.ts'
import { TEST_QUEUE } from '../testing/definitions.ts'
import { diffDesiredStates } from './desiredStateDiff.ts'
import type { CheckedState } from './finding.ts'

const QUEUE = { ...TEST_QUEUE, anonymous: true }
const TEAM = { name: 'weavers', keys: ['key-kept', 'key-moved', 'key-withdrawn'], weight: 1, cap: resources({ memory: 64 }) }

const IN_FORCE: CheckedState = {
  version: 7,
  maximumBodyBytes: 262_144,
  queues: [QUEUE, { ...QUEUE, name: 'old', pathPrefix: '/old/' }],
  services: ['renders', 'unused', 'gone'],
  listedServices: [{ name: 'renders', standby: false }, { name: 'unused', standby: false }, { name: 'gone', standby: false }, { name: 'resting', standby: true }],
  teams: [TEAM, { ...TEAM, name: 'dyers', keys: ['key-of-dyers'] }]
}

test('equal states have no differences', t => {
  t.deepEqual(diffDesiredStates(IN_FORCE, structuredClone(IN_FORCE)), [])
})

test('no difference is missing, callers notice only what refuses or delays their calls, and no key is shown', t => {
  const changes = diffDesiredStates(IN_FORCE, {
    version: 8,
    maximumBodyBytes: 1_000,
    queues: [{ ...QUEUE, name: 'new', pathPrefix: '/new/' }, { ...QUEUE, pathPrefix: '/moved/', timeoutMs: 2_000, anonymous: false, advice: { decisionMs: 5, perTargetMs: 1, ticketValidityMs: 2_000 } }],
    services: ['resting', 'fresh'],
    listedServices: [{ name: 'renders', standby: true }, { name: 'unused', standby: true }, { name: 'resting', standby: false }, { name: 'fresh', standby: true }],
    teams: [{ ...TEAM, keys: ['key-added', 'key-kept'], weight: 2, cap: resources({ memory: 32 }) }, { ...TEAM, name: 'spinners', keys: ['key-moved'] }]
  })
  t.snapshot(changes.map(change => JSON.stringify(change)))
  t.notRegex(JSON.stringify(changes), /key-/)
})
