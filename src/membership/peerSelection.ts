/** Selects the peers to exchange with from the membership table, the instance list and the seeds. */
import type { InstanceDigest } from '../model/digest.ts'
import type { ListSnapshot } from '../ports/instanceList.ts'
import type { Random } from '../ports/random.ts'
import type { Member } from './membershipTable.ts'

export interface PeerSources {
  readonly own: InstanceDigest
  readonly others: readonly Member[]
  readonly list: ListSnapshot | undefined
  readonly seeds: readonly string[]
}

export interface SelectedPeers {
  readonly local: ReadonlySet<string>
  readonly remote: ReadonlySet<string>
}

/**
 * Splits the addresses of peers by data centre; a seed whose data centre is unknown counts as local.
 *
 * @example
 * selectPeers({ own, others: table.others(), list, seeds: ['10.1.0.7:7400'] }).local
 */
export function selectPeers ({ own, others, list, seeds }: PeerSources): SelectedPeers {
  const dataCentres = new Map<string, string>(seeds.map(address => [address, own.dataCentre]))
  for (const { peerAddress, dataCentre } of list?.instances ?? []) dataCentres.set(peerAddress, dataCentre)
  for (const { digest } of others) dataCentres.set(digest.peerAddress, digest.dataCentre)
  dataCentres.delete(own.peerAddress)
  const addresses = [...dataCentres.keys()]
  return {
    local: new Set(addresses.filter(address => dataCentres.get(address) === own.dataCentre)),
    remote: new Set(addresses.filter(address => dataCentres.get(address) !== own.dataCentre))
  }
}

/** Returns a copy of the items in random order. */
export function shuffle<Item> (items: readonly Item[], random: Random): Item[] {
  const shuffled = [...items]
  for (let last = shuffled.length - 1; last > 0; last--) {
    const other = random.integer(last + 1)
    const swapped = shuffled[last] as Item
    shuffled[last] = shuffled[other] as Item
    shuffled[other] = swapped
  }
  return shuffled
}
