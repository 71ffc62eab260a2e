import test from 'ava'
import fc from 'fast-check'
import type { ConfigurationSnapshot, Operation } from '../model/change.ts'
import { applyOperations } from './applyOperations.ts'
import { diffSettings } from './diff.ts'
import { listTeams, resolveQueueSettings, resolveSetting, resolveTeamSettings, TeamSettingsCache } from './tree.ts'
import type { SettingsTree } from './tree.ts'
import { checkTree } from './treeCheck.ts'
import { validateOperations } from './validate.ts'

const HASH = 'a'.repeat(64)

const SNAPSHOT: ConfigurationSnapshot = {
  version: 7,
  settings: {
    '/': { keyGrace: 6_000, capacityMemory: 1_048_576 },
    '/kinds/batch': { crossRegionWait: 2_000 },
    '/teams/weavers': { share: 1, keyGrace: 10_000 },
    '/teams/weavers/kinds/batch': { preemptible: false },
    '/teams/dyers': { share: 3 },
    '/queues/kiosk': { open: true, team: 'weavers' }
  },
  keys: [{ keyId: 'weavers-1', team: 'weavers', hash: HASH, withdrawn: false }],
  drains: [{ scope: 'target', name: 'runner-1' }],
  recentChangeIds: []
}

const BAD_OPERATIONS: Readonly<Record<string, unknown>> = {
  'no list': 'set',
  'no operations': [],
  'unknown type': [{ type: 'rename', path: '/' }],
  'unknown field': [{ type: 'removeBranch', path: '/teams/dyers', force: true }],
  'unknown branch': [{ type: 'set', path: '/weavers', values: { share: 2 } }],
  'unknown setting': [{ type: 'set', path: '/teams/weavers', values: { shares: 2 } }],
  'wrong level': [{ type: 'set', path: '/kinds/batch', values: { limitSlots: 2 } }],
  'value out of range': [{ type: 'set', path: '/teams/weavers', values: { keyGrace: 10 } }],
  'value of a wrong type': [{ type: 'set', path: '/teams/weavers', values: { preemptible: 'yes' } }],
  'not a number': [{ type: 'set', path: '/teams/weavers', values: { share: NaN } }],
  'limit below the share': [{ type: 'set', path: '/teams/dyers', values: { limitMemory: 1_024 } }],
  'unset of an unknown name': [{ type: 'unset', path: '/', names: ['keyGrase'] }],
  'removal of the root': [{ type: 'removeBranch', path: '/' }],
  'removal of what is not there': [{ type: 'removeBranch', path: '/teams/spinners' }],
  'team with a valid key removed': [{ type: 'removeBranch', path: '/teams/weavers' }],
  'team of an open queue removed': [{ type: 'withdrawKey', keyId: 'weavers-1' }, { type: 'removeBranch', path: '/teams/weavers' }],
  'key for an unknown team': [{ type: 'createKey', keyId: 'k-2', team: 'spinners', hash: 'b'.repeat(64) }],
  'key in place of its hash': [{ type: 'createKey', keyId: 'k-2', team: 'weavers', hash: 'agk_secret' }],
  'key used twice': [{ type: 'createKey', keyId: 'weavers-1', team: 'weavers', hash: HASH }],
  'unknown key withdrawn': [{ type: 'withdrawKey', keyId: 'k-9' }],
  'end of a drain that is not there': [{ type: 'undrain', scope: 'instance', name: 'entry-1' }],
  'kind branch without its team': [{ type: 'set', path: '/teams/spinners/kinds/batch', values: { preemptible: true } }]
}

test('the most specific branch takes precedence, and its path is returned', t => {
  const { settings } = SNAPSHOT
  const scope = { team: 'weavers', kind: 'batch' } as const
  t.deepEqual(resolveSetting(settings, scope, 'preemptible'), { value: false, source: '/teams/weavers/kinds/batch' })
  t.deepEqual(resolveSetting(settings, scope, 'keyGrace'), { value: 10_000, source: '/teams/weavers' })
  t.deepEqual(resolveSetting(settings, scope, 'crossRegionWait'), { value: 2_000, source: '/kinds/batch' })
  t.deepEqual(resolveSetting(settings, { team: 'dyers' }, 'keyGrace'), { value: 6_000, source: '/' })
  t.deepEqual(resolveSetting(settings, { kind: 'urgent' }, 'crossRegionWait'), { value: 50, source: 'default' })
  t.deepEqual(resolveQueueSettings(SNAPSHOT, 'kiosk'), { open: true, team: 'weavers' })
  t.deepEqual(resolveQueueSettings(SNAPSHOT, 'other'), { open: false, team: undefined })
  t.snapshot(resolveTeamSettings(SNAPSHOT, 'weavers', 'batch'))
})

test('the cache does not return a setting from before a change', t => {
  const cache = new TeamSettingsCache()
  t.is(cache.get(SNAPSHOT, 'weavers', 'batch').share, 1)
  t.is(cache.get(SNAPSHOT, 'weavers', 'batch'), cache.get(SNAPSHOT, 'weavers', 'batch'))
  const settings = { ...SNAPSHOT.settings, '/teams/weavers': { share: 4 } }
  t.is(cache.get({ settings, version: 8 }, 'weavers', 'batch').share, 4)
  t.is(cache.get(SNAPSHOT, 'weavers', 'batch').share, 1)
})

test('each invalid change is rejected with a hint', t => {
  for (const [fault, operations] of Object.entries(BAD_OPERATIONS)) {
    const messages = validateOperations(SNAPSHOT, operations)
    t.true(messages.length > 0, fault)
    t.snapshot(messages, fault)
  }
})

test('operations of one change are validated on top of the earlier ones', t => {
  t.deepEqual(validateOperations(SNAPSHOT, [
    { type: 'set', path: '/teams/spinners', values: {} },
    { type: 'createKey', keyId: 'spinners-1', team: 'spinners', hash: 'c'.repeat(64) },
    { type: 'set', path: '/queues/kiosk', values: { team: 'spinners' } },
    { type: 'withdrawKey', keyId: 'weavers-1' },
    { type: 'removeBranch', path: '/teams/weavers' }
  ]), [])
})

test('a diff keeps settings missing from the file unless pruned, and applying a valid diff yields the file', t => {
  const file: SettingsTree = { '/': { keyGrace: 6_000 }, '/teams/dyers': { share: 2, limitMemory: 65_536 }, '/teams/spinners': {} }
  const kept = diffSettings(file, SNAPSHOT, { prune: false })
  t.snapshot(kept)
  t.true(validateOperations(SNAPSHOT, kept.operations).length > 0, 'the limit is below the team\'s share of the capacity in force')
  const pruned = diffSettings(file, SNAPSHOT, { prune: true })
  t.snapshot(pruned)
  t.deepEqual(validateOperations(SNAPSHOT, pruned.operations), [])
  const after = applyOperations(SNAPSHOT, pruned.operations)
  t.deepEqual(after.settings, file)
  t.true(after.keys.every(key => key.withdrawn))
  t.deepEqual(diffSettings(file, { ...SNAPSHOT, ...after }, { prune: true }).operations, [])
})

const SEED = 20_262
const name = fc.constantFrom('weavers', 'dyers', 'spinners', 'weavers-1', '__proto__', 'constructor', '')
const path = fc.oneof(fc.constantFrom('/', '/teams/weavers', '/teams/spinners', '/kinds/batch', '/queues/kiosk', '/teams/dyers/kinds/gang', '/teams/__proto__'), fc.string({ maxLength: 8 }))
const value = fc.oneof(fc.constantFrom(0, 1, 0.5, 5_000, true, 'weavers', -1, NaN, Infinity, null), fc.anything({ maxDepth: 1 }))
const values = fc.dictionary(fc.constantFrom('share', 'keyGrace', 'limitMemory', 'open', 'team', 'defaultSlots', 'toString', 'x'), value, { maxKeys: 3 })
const operation = fc.oneof(
  fc.record({ type: fc.constant('set'), path, values }),
  fc.record({ type: fc.constant('unset'), path, names: fc.array(fc.constantFrom('share', 'open', 'x'), { maxLength: 2 }) }),
  fc.record({ type: fc.constant('removeBranch'), path }),
  fc.record({ type: fc.constant('createKey'), keyId: name, team: name, hash: fc.constantFrom(HASH, 'b'.repeat(64), 'x') }),
  fc.record({ type: fc.constantFrom('withdrawKey'), keyId: name }),
  fc.record({ type: fc.constantFrom('drain', 'undrain'), scope: fc.constantFrom('target', 'instance', 'cell'), name }),
  fc.anything({ maxDepth: 2 })
)

test('the validator never throws or changes the snapshot, and accepted operations leave a valid tree', t => {
  const before = JSON.stringify(SNAPSHOT)
  t.deepEqual(checkTree(SNAPSHOT.settings), [])
  let accepted = 0
  fc.assert(fc.property(fc.oneof({ weight: 9, arbitrary: fc.array(operation, { maxLength: 3 }) }, { weight: 1, arbitrary: fc.anything() }), operations => {
    const messages = validateOperations(SNAPSHOT, operations)
    if (JSON.stringify(SNAPSHOT) !== before) throw new Error('the snapshot was changed')
    if (messages.length > 0) return
    accepted++
    const { settings } = applyOperations(SNAPSHOT, operations as readonly Operation[])
    for (const team of listTeams(settings)) resolveTeamSettings({ settings }, team, 'batch')
    const queues = checkTree(settings).filter(problem => problem.path.startsWith('/queues/'))
    if (queues.length > 0) throw new Error(`accepted: ${queues[0]?.problem}`)
  }), { seed: SEED, numRuns: 4_000 })
  t.true(accepted > 100, `${accepted} changes were accepted`)
})
