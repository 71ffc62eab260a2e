import test from 'ava'
import { EMPTY_STATE, applyChange, createState, findSetting, toSnapshot } from './configurationState.ts'
import { KeyRing, createKey, hashKey } from './keys.ts'
import type { Operation } from '../model/change.ts'

function apply (...operations: readonly Operation[]): typeof EMPTY_STATE {
  return applyChange(EMPTY_STATE, { id: 'a', version: 1, baseVersion: 0, operator: 'eleni', acceptedAt: 0, operations })
}

test('only a stored key that is not withdrawn authenticates, and only for its own team', t => {
  const [weavers, dyers] = [createKey(), createKey()]
  t.regex(weavers.key, /^agk_[\w-]{43}$/)
  t.is(weavers.hash, hashKey(weavers.key))
  const state = apply(
    { type: 'createKey', keyId: weavers.keyId, team: 'weavers', hash: weavers.hash },
    { type: 'createKey', keyId: dyers.keyId, team: 'dyers', hash: dyers.hash },
    { type: 'withdrawKey', keyId: dyers.keyId },
    { type: 'createKey', keyId: dyers.keyId, team: 'dyers', hash: dyers.hash }
  )
  const ring = new KeyRing(createState(toSnapshot(state)).keys.values())
  t.deepEqual(ring.authenticate(weavers.key), { team: 'weavers', keyId: weavers.keyId })
  for (const wrong of [dyers.key, weavers.hash, weavers.key + ' ', '', 'agk_'.repeat(1_000)]) t.is(ring.authenticate(wrong), undefined)
})

test('a setting of a more general branch does not override one of a more specific branch', t => {
  const set = (path: `/${string}`, share: number): Operation => ({ type: 'set', path, values: { share } })
  const scope = { team: 'weavers', kind: 'batch' }
  const paths = ['/', '/kinds/batch', '/teams/weavers', '/teams/weavers/kinds/batch'] as const
  paths.forEach((path, index) => {
    const state = apply(...paths.slice(0, index + 1).map((each, share) => set(each, share)))
    t.deepEqual(findSetting(state, scope, 'share'), { value: index, path })
  })
  const removed = apply(set('/teams/weavers/kinds/batch', 1), set('/teams/weaversons', 2), { type: 'removeBranch', path: '/teams/weavers' })
  t.is(findSetting(removed, scope, 'share'), undefined)
  t.is(findSetting(removed, { team: 'weaversons' }, 'share')?.value, 2)
  t.is(findSetting(removed, {}, 'constructor'), undefined)
})
