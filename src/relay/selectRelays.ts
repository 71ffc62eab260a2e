/** Decides which instances relay the orders to targets, so that calls to many targets do not occupy the coordinator. */
import murmurhash from 'murmurhash'

/** Up to this number of targets, the coordinator calls all of them itself. */
export const DIRECT_TARGETS = 60
/** Targets of one region that one relay serves. */
export const TARGETS_PER_RELAY = 100
/** Bounds the exchanges of the coordinator with its relays. */
const MAX_RELAYS = 16
/** Instances of each region that a coordinator names to the others, so that its successor can use them at once. */
const NAMED_CANDIDATES_PER_REGION = 4
/** A relay in use is replaced only by an instance with this many times its processors. */
const REPLACEMENT_RATIO = 1.5

export interface RelayCandidate {
  readonly address: string
  readonly region: string
  /** Number of processors that the instance may use. */
  readonly processors: number
}

/**
 * Selects instances for each region by their processors. Instances in use are kept, so that outstanding orders are not
 * disturbed. A region without an instance has no relay: its targets are called directly.
 *
 * @example
 * const relays = selectRelays(new Map([['attica', 189]]), candidates, new Set(['10.1.0.15:7600']))
 */
export function selectRelays (targetsByRegion: ReadonlyMap<string, number>, candidates: readonly RelayCandidate[], inUse: ReadonlySet<string>): readonly RelayCandidate[] {
  if (!needsRelays(targetsByRegion)) return []
  const targets = countTargets(targetsByRegion)
  const targetsPerRelay = Math.max(TARGETS_PER_RELAY, Math.ceil(targets / MAX_RELAYS))
  const weight = ({ address, processors }: RelayCandidate): number => processors * (inUse.has(address) ? REPLACEMENT_RATIO : 1)
  return [...targetsByRegion].flatMap(([region, count]) => sortByWeight(candidates.filter(candidate => candidate.region === region), weight)
    .slice(0, Math.ceil(count / targetsPerRelay)))
}

/** Whether there are too many targets for the coordinator to call them itself. */
export function needsRelays (targetsByRegion: ReadonlyMap<string, number>): boolean {
  return countTargets(targetsByRegion) > DIRECT_TARGETS
}

function countTargets (targetsByRegion: ReadonlyMap<string, number>): number {
  return [...targetsByRegion.values()].reduce((sum, count) => sum + count, 0)
}

/**
 * Returns the instances with the most processors of each region.
 *
 * @example
 * const named = nameCandidates(peers)
 */
export function nameCandidates (candidates: readonly RelayCandidate[]): readonly RelayCandidate[] {
  const regions = [...new Set(candidates.map(({ region }) => region))].sort()
  return regions.flatMap(region => sortByWeight(candidates.filter(candidate => candidate.region === region), ({ processors }) => processors)
    .slice(0, NAMED_CANDIDATES_PER_REGION))
}

function sortByWeight (candidates: readonly RelayCandidate[], weight: (candidate: RelayCandidate) => number): readonly RelayCandidate[] {
  return [...candidates].sort((left, right) => weight(right) - weight(left) || (left.address < right.address ? -1 : 1))
}

/**
 * Chooses the relay of a target by rendezvous hashing: when a relay is lost, only its targets move.
 *
 * @example
 * const address = chooseRelay('i-524754753b', ['10.1.0.15:7600', '10.1.0.16:7600'])
 */
export function chooseRelay (target: string, relays: readonly string[]): string | undefined {
  let chosen: string | undefined
  let highest = -1
  for (const relay of relays) {
    const score = murmurhash.v3(`${relay} ${target}`)
    if (score > highest) [chosen, highest] = [relay, score]
  }
  return chosen
}
