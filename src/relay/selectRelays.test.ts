import test from 'ava'
import { chooseRelay, DIRECT_TARGETS, nameCandidates, selectRelays, TARGETS_PER_RELAY } from './selectRelays.ts'
import type { RelayCandidate } from './selectRelays.ts'

function candidate (address: string, region: string, processors: number): RelayCandidate {
  return { address, region, processors }
}

/** 24 instances in each region, with the sizes of a grown deployment. */
const CANDIDATES = ['attica', 'macedonia'].flatMap(region => Array.from({ length: 24 }, (_, number) =>
  candidate(`${region}-${number}`, region, [0.324, 0.675, 1.35][number % 3] ?? 1)))

test('a small cluster has no relays, since they would only add a hop', t => {
  t.deepEqual(selectRelays(new Map([['attica', DIRECT_TARGETS]]), CANDIDATES, new Set()), [])
})

test('relays are large instances of the region of their targets, enough for all of them and never more than 16', t => {
  const relays = selectRelays(new Map([['attica', 189], ['macedonia', 189]]), CANDIDATES, new Set())
  t.deepEqual(relays.map(({ region }) => region), ['attica', 'attica', 'macedonia', 'macedonia'])
  t.true(relays.every(({ processors }) => processors === 1.35))
  t.is(selectRelays(new Map([['attica', 1_300], ['macedonia', 1_300]]), CANDIDATES, new Set()).length, 16)
})

test('instances that appear do not take the place of relays in use unless they are much larger', t => {
  const inUse = new Set(['old'])
  const select = (processors: number): string[] => selectRelays(new Map([['attica', TARGETS_PER_RELAY]]), [candidate('old', 'attica', 1), candidate('new', 'attica', processors)], inUse).map(({ address }) => address)
  t.deepEqual(select(1.35), ['old'])
  t.deepEqual(select(2), ['new'])
})

test('a region without instances has no relay in another region, whose link is narrow', t => {
  const relays = selectRelays(new Map([['attica', 100], ['macedonia', 100]]), [candidate('near', 'attica', 1)], new Set())
  t.deepEqual(relays.map(({ address }) => address), ['near'])
})

test('the loss of a relay moves only its own targets', t => {
  const targets = Array.from({ length: 300 }, (_, number) => `i-${number}`)
  const relays = ['a', 'b', 'c']
  for (const target of targets) {
    const before = chooseRelay(target, relays)
    if (before !== 'b') t.is(chooseRelay(target, ['a', 'c']), before)
  }
  const counts = relays.map(relay => targets.filter(target => chooseRelay(target, relays) === relay).length)
  t.true(counts.every(count => count > 70), `shares ${counts}`)
  t.is(chooseRelay('i-1', []), undefined)
})

test('a coordinator names few instances to the others, so that a large cluster does not exchange a list of all sizes', t => {
  const named = nameCandidates(CANDIDATES)
  t.deepEqual(named.map(({ region }) => region), [...Array<string>(4).fill('attica'), ...Array<string>(4).fill('macedonia')])
  t.true(named.every(({ processors }) => processors === 1.35))
})
