/** Weighted max-min division of a cluster among teams by their dominant shares. */
import { DIMENSIONS, dominantFraction } from '../../model/resources.ts'
import type { Dimension, Resources } from '../../model/resources.ts'

export interface TeamDemand {
  readonly team: string
  readonly weight: number
  /** What the team uses and waits for. */
  readonly demand: Resources
}

interface ActiveTeam {
  readonly team: string
  readonly weight: number
  /** Dominant share that would satisfy the team. */
  readonly demandedShare: number
  /** Fraction of each dimension that one unit of dominant share takes. */
  readonly profile: Resources
}

/** Rounding errors below this fraction of a dimension count as nothing left. */
const FRACTION_TOLERANCE = 1e-12

function describeActiveTeam ({ team, weight, demand }: TeamDemand, capacity: Resources): ActiveTeam {
  const demandedShare = dominantFraction(demand, capacity)
  const perShare = (dimension: Dimension): number =>
    capacity[dimension] > 0 && demandedShare > 0 ? demand[dimension] / capacity[dimension] / demandedShare : 0
  const profile = {
    slots: perShare('slots'),
    processors: perShare('processors'),
    memory: perShare('memory'),
    accelerators: perShare('accelerators')
  }
  return { team, weight, demandedShare, profile }
}

/** How far the level can rise until a claimant is satisfied or a dimension is used up. */
function computeNextIncrease (active: readonly ActiveTeam[], level: number, left: Record<Dimension, number>): number {
  const untilSatisfied = Math.min(...active.map(claimant => claimant.demandedShare / claimant.weight - level))
  const untilUsedUp = DIMENSIONS.map(dimension => {
    const rate = active.reduce((sum, { weight, profile }) => sum + weight * profile[dimension], 0)
    return rate > 0 ? left[dimension] / rate : Infinity
  })
  return Math.max(0, Math.min(untilSatisfied, ...untilUsedUp))
}

/**
 * The dominant share to which each team is entitled: all shares rise together in proportion to the weights; a team
 * stops when its demand is met or when a dimension that it needs is used up. Teams without demand get nothing.
 *
 * @example
 * fillByWater([{ team: 'a', weight: 1, demand }, { team: 'b', weight: 2, demand }], capacity).get('b')
 */
export function computeMaxMinShares (teams: readonly TeamDemand[], capacity: Resources): ReadonlyMap<string, number> {
  const entitlements = new Map<string, number>()
  const left: Record<Dimension, number> = { slots: 1, processors: 1, memory: 1, accelerators: 1 }
  let active = teams.map(team => describeActiveTeam(team, capacity)).filter(({ demandedShare, weight }) => demandedShare > 0 && weight > 0)
  for (let level = 0; active.length > 0;) {
    const rise = computeNextIncrease(active, level, left)
    level += rise
    for (const { weight, profile } of active) {
      for (const dimension of DIMENSIONS) left[dimension] -= rise * weight * profile[dimension]
    }
    const isDone = (claimant: ActiveTeam): boolean => claimant.demandedShare - level * claimant.weight <= FRACTION_TOLERANCE ||
      DIMENSIONS.some(dimension => claimant.profile[dimension] > 0 && left[dimension] <= FRACTION_TOLERANCE)
    for (const claimant of active) {
      if (isDone(claimant)) entitlements.set(claimant.team, Math.min(claimant.demandedShare, level * claimant.weight))
    }
    const remaining = active.filter(claimant => !isDone(claimant))
    // Rounding of very unequal weights can leave a rise that satisfies nobody; the rest then stops at this level.
    if (remaining.length === active.length) {
      for (const { team, demandedShare, weight } of active) entitlements.set(team, Math.min(demandedShare, level * weight))
      break
    }
    active = remaining
  }
  return entitlements
}
