import test from 'ava'
import type { ListedInstance } from '../ports/instanceList.ts'
import { LIST_LAG_MS, ListPresence } from './listPresence.ts'

const ENDED = { name: 'attica-a-entry-1', incarnation: 'ended' }
const REPLACEMENT = { name: 'attica-a-entry-1', incarnation: 'replacement' }
/** A list whose entries have no incarnation. */
const LIST: readonly ListedInstance[] =
  [{ name: 'attica-a-entry-1', dataCentre: 'attica-a', region: 'attica', peerAddress: '10.1.0.7:7400', leaving: false }]

for (const order of [[ENDED, REPLACEMENT], [REPLACEMENT, ENDED]]) {
  test(`an instance is not considered gone when its earlier incarnation is discovered ${order[0] === ENDED ? 'before' : 'after'} it`, t => {
    const presence = new ListPresence()
    for (const ref of order) presence.track(ref, ref === ENDED ? 1_000 : 5_000)
    for (const readAt of [6_000, 6_000 + LIST_LAG_MS, 70_000]) presence.observe(LIST, readAt)
    t.is(presence.goneSince(REPLACEMENT), undefined)
    t.is(presence.goneSince(ENDED), 70_000)
  })
}
