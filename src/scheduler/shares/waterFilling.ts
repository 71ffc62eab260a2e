/** Weighted max-min fair division of a cluster among teams by dominant share, computed by water filling. */
import { DIMENSIONS, dominantFraction } from '../../model/resources.ts'
import type { Dimension, Resources } from '../../model/resources.ts'

export interface TeamDemand {
  readonly team: string
  readonly weight: number
  /** Sum of the resources that the team uses and waits for. */
  readonly demand: Resources
}

interface ActiveTeam {
  readonly team: string
  readonly weight: number
  /** Dominant share that would meet the team's demand. */
  readonly demandedShare: number
  /** Fraction of each dimension that one unit of dominant share uses. */
  readonly profile: Resources
}

/** Tolerance for rounding errors: a smaller remaining fraction of a dimension counts as zero. */
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

/** Returns how far the level can rise until a team's demand is met or a dimension is exhausted. */
function computeNextIncrease (active: readonly ActiveTeam[], level: number, left: Record<Dimension, number>): number {
  const untilSatisfied = Math.min(...active.map(claimant => claimant.demandedShare / claimant.weight - level))
  const untilUsedUp = DIMENSIONS.map(dimension => {
    const rate = active.reduce((sum, { weight, profile }) => sum + weight * profile[dimension], 0)
    return rate > 0 ? left[dimension] / rate : Infinity
  })
  return Math.max(0, Math.min(untilSatisfied, ...untilUsedUp))
}

/**
 * Returns the dominant share to which each team is entitled. All shares rise together in proportion to the weights; a
 * team's share stops when its demand is met or a dimension that it needs is exhausted. Teams without demand get none.
 *
 * @example
 * computeMaxMinShares([{ team: 'a', weight: 1, demand }, { team: 'b', weight: 2, demand }], capacity).get('b')
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
    // With very unequal weights, rounding can make the level rise without meeting any team's demand or exhausting a
    // dimension. The remaining teams then stop at this level.
    if (remaining.length === active.length) {
      for (const { team, demandedShare, weight } of active) entitlements.set(team, Math.min(demandedShare, level * weight))
      break
    }
    active = remaining
  }
  return entitlements
}
