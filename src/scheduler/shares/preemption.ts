/** Chooses checkpointable tasks to preempt for underserved teams and for urgent requests. */
import { addResources, DIMENSIONS, dominantFraction, subtractResources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import { countFitting } from '../placement/targetState.ts'

/** A running checkpointable task of this instance. */
export interface PreemptionCandidate {
  readonly taskId: string
  readonly targetId: string
  readonly team: string
  readonly size: Resources
  /** Monotonic start time. */
  readonly startedAt: number
  /** Told to checkpoint but still holding its reservation. Its capacity counts as being freed. */
  readonly checkpointing: boolean
}

/** Urgent tasks of one size for which no target has room. */
export interface UrgentNeed {
  readonly size: Resources
  readonly tasks: number
  /** Returns the free capacity of a target on which candidates run. */
  freeOn (targetId: string): Resources
}

export interface PreemptionRequest {
  /** Monotonic time. */
  readonly now: number
  readonly candidates: readonly PreemptionCandidate[]
  /** If given, the plan covers only this need. */
  readonly urgent?: UrgentNeed
}

export interface PreemptionPlan {
  readonly checkpoints: readonly PreemptionCandidate[]
}

/** Part of the share ledger that preemption reads. */
export interface ShareView {
  readonly capacity: Resources
  teams (): Iterable<string>
  weight (team: string): number
  dominantShare (team: string): number
  entitlement (team: string): number
  waiting (team: string): Resources
  localPartOfWaiting (team: string): number
}

/** Minimum time between rounds for underserved teams, so that the usage reflects the checkpoints of the last round. */
export const PREEMPTION_INTERVAL_MS = 1_000

/** Tolerance for rounding errors of shares. */
const TOLERANCE = 1e-9

interface ShareDeficit {
  readonly team: string
  readonly needed: Resources
  /** Dominant share that the team still lacks. */
  missingShare: number
}

function sharesDimension (left: Resources, right: Resources): boolean {
  return DIMENSIONS.some(dimension => left[dimension] > 0 && right[dimension] > 0)
}

export class PreemptionPlanner {
  readonly #shares: ShareView
  #lastRound = -Infinity

  constructor (shares: ShareView) {
    this.#shares = shares
  }

  plan (request: PreemptionRequest): PreemptionPlan {
    if (request.urgent !== undefined) return { checkpoints: this.#planUrgent(request.urgent, request.candidates) }
    if (request.now - this.#lastRound < PREEMPTION_INTERVAL_MS) return { checkpoints: [] }
    const checkpoints = this.#planRound(request.candidates)
    if (checkpoints.length > 0) this.#lastRound = request.now
    return { checkpoints }
  }

  /** Returns by how much the dominant share exceeds the entitlement; negative for underserved teams. */
  #excess (team: string): number {
    return this.#shares.dominantShare(team) - this.#shares.entitlement(team)
  }

  #share (size: Resources): number {
    return dominantFraction(size, this.#shares.capacity)
  }

  #planRound (candidates: readonly PreemptionCandidate[]): readonly PreemptionCandidate[] {
    const excess = new Map([...this.#shares.teams()].map(team => [team, this.#excess(team)]))
    const deficits = this.#findDeficits(candidates)
    for (const { team, size, checkpointing } of candidates) {
      if (checkpointing) excess.set(team, (excess.get(team) ?? 0) - this.#share(size))
    }
    const victims = candidates.filter(({ checkpointing }) => !checkpointing).sort((left, right) => right.startedAt - left.startedAt)
    const chosen = new Set<PreemptionCandidate>()
    for (const deficit of deficits) {
      for (let victim = this.#nextVictim(deficit, victims, excess, chosen); victim !== undefined;
        victim = this.#nextVictim(deficit, victims, excess, chosen)) {
        chosen.add(victim)
        deficit.missingShare -= this.#share(victim.size)
        excess.set(victim.team, excess.get(victim.team)! - this.#share(victim.size))
      }
    }
    return [...chosen]
  }

  /** Returns the teams below their entitlement, most underserved first, less the capacity that is already being freed. */
  #findDeficits (candidates: readonly PreemptionCandidate[]): readonly ShareDeficit[] {
    const deficits = [...this.#shares.teams()]
      .filter(team => this.#excess(team) < 0)
      .sort((left, right) => this.#excess(left) / this.#shares.weight(left) - this.#excess(right) / this.#shares.weight(right))
      .map(team => ({
        team,
        needed: this.#shares.waiting(team),
        missingShare: -this.#excess(team) * this.#shares.localPartOfWaiting(team)
      }))
    for (const { size, checkpointing } of candidates) {
      const deficit = checkpointing ? deficits.find(({ missingShare, needed }) => missingShare > 0 && sharesDimension(size, needed)) : undefined
      if (deficit !== undefined) deficit.missingShare -= this.#share(size)
    }
    return deficits
  }

  /**
   * Returns the newest task of the team furthest above its entitlement whose share exceeds neither the deficit nor that
   * team's excess.
   */
  #nextVictim (deficit: ShareDeficit, newestFirst: readonly PreemptionCandidate[], excess: ReadonlyMap<string, number>,
    chosen: ReadonlySet<PreemptionCandidate>): PreemptionCandidate | undefined {
    let best: PreemptionCandidate | undefined
    let bestExcess = 0
    for (const candidate of newestFirst) {
      const teamExcess = excess.get(candidate.team) ?? 0
      const weighted = teamExcess / this.#shares.weight(candidate.team)
      if (weighted <= bestExcess || chosen.has(candidate) || !sharesDimension(candidate.size, deficit.needed)) continue
      if (this.#share(candidate.size) > Math.min(deficit.missingShare, teamExcess) + TOLERANCE) continue
      best = candidate
      bestExcess = weighted
    }
    return best
  }

  /** Frees room for the urgent tasks target by target, and no more than is needed beyond what is already being freed. */
  #planUrgent (need: UrgentNeed, candidates: readonly PreemptionCandidate[]): readonly PreemptionCandidate[] {
    const targets = new Map<string, TargetSimulation>()
    const targetOf = (targetId: string): TargetSimulation => {
      const target = targets.get(targetId) ?? new TargetSimulation(need.size, need.freeOn(targetId))
      targets.set(targetId, target)
      return target
    }
    const useful = candidates.filter(({ size }) => sharesDimension(size, need.size))
    let missing = need.tasks
    for (const candidate of useful) if (candidate.checkpointing) missing -= targetOf(candidate.targetId).release(candidate)
    const order = useful.filter(({ checkpointing }) => !checkpointing)
      .map(candidate => ({ candidate, excess: this.#excess(candidate.team) / this.#shares.weight(candidate.team) }))
      .sort((left, right) => right.excess - left.excess || right.candidate.startedAt - left.candidate.startedAt)
    const chosen: PreemptionCandidate[] = []
    for (const { candidate } of order) {
      if (missing <= 0) break
      const target = targetOf(candidate.targetId)
      const gained = target.release(candidate)
      if (gained === 0) continue
      missing -= gained
      chosen.push(...target.selectNecessary())
    }
    return chosen
  }
}

/** Simulates the free capacity of a target as tasks are preempted. */
class TargetSimulation {
  readonly #size: Resources
  #available: Resources
  #freed: PreemptionCandidate[] = []

  constructor (size: Resources, free: Resources) {
    this.#size = size
    this.#available = free
  }

  /** Frees the candidate's capacity and returns how many more urgent tasks fit. */
  release (candidate: PreemptionCandidate): number {
    const before = countFitting(this.#size, this.#available)
    this.#available = addResources(this.#available, candidate.size)
    if (!candidate.checkpointing) this.#freed.push(candidate)
    return countFitting(this.#size, this.#available) - before
  }

  /** Returns the tasks freed since the last call, except those whose capacity is not needed for the tasks that now fit. */
  selectNecessary (): readonly PreemptionCandidate[] {
    const fitting = countFitting(this.#size, this.#available)
    const needed = this.#freed.filter(candidate => {
      const remaining = subtractResources(this.#available, candidate.size)
      if (countFitting(this.#size, remaining) < fitting) return true
      this.#available = remaining
      return false
    })
    this.#freed = []
    return needed
  }
}
