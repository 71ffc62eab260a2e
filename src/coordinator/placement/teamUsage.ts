/** Tracks the resources that each team uses, against its cap over all targets. */
import type { TeamSettings } from '../../jobs/desiredState.ts'
import type { StepDefinition } from '../../jobs/job.ts'
import type { Resources } from '../../model/resources.ts'

/** Fraction of a cap reserved for urgent jobs, which are 14% of the work at the sites' normal rates and up to 25% in bursts. */
export const URGENT_CAP_RESERVE = 0.2

type ComputeResources = Pick<Resources, 'processors' | 'memory' | 'accelerators'>
/** What decides how much of a cap the tasks of a step use, and for how long. */
type StepUsage = Pick<StepDefinition, 'size' | 'gang' | 'longRunning'>

const COMPUTE_DIMENSIONS = ['processors', 'memory', 'accelerators'] as const
const NO_USAGE: ComputeResources = { processors: 0, memory: 0, accelerators: 0 }

/**
 * Counts everything that may run: reserved, starting, running and stopping tasks.
 *
 * @example
 * usage.add('weavers', definition)
 * usage.allowedCount(team, definition, 2, false)
 */
export class TeamUsage {
  readonly #used = new Map<string, ComputeResources>()
  /** The part of `#used` that lasting tasks use. */
  readonly #lasting = new Map<string, ComputeResources>()

  add (team: string, step: StepUsage): void {
    this.#change(team, step, 1)
  }

  remove (team: string, step: StepUsage): void {
    this.#change(team, step, -1)
  }

  usageOf (team: string): ComputeResources {
    return this.#used.get(team) ?? NO_USAGE
  }

  /**
   * Number of tasks that the cap allows. Non-urgent work leaves part of the cap free, so that a team's wide steps do not
   * delay its urgent jobs. While the team is idle a step may use the whole cap. Otherwise one task, or one gang, may
   * reach into the reserve, since it may need more than the unreserved part; the next one waits for work that ends.
   * A task or gang that needs more than the whole cap, which may have been lowered since it was accepted, may exceed it by
   * one task while at least half of the cap is free, as the platform allows; it could never start otherwise.
   * `held` is the part of the cap that is reserved for another step of the team.
   */
  allowedCount (team: TeamSettings, step: StepUsage, wanted: number, urgent: boolean, held: ComputeResources = NO_USAGE): number {
    const used = this.usageOf(team.name)
    const idle = COMPUTE_DIMENSIONS.every(dimension => used[dimension] === 0)
    // What is started as a whole.
    const unit = step.gang ? wanted : 1
    const permits = (count: number): boolean => this.#fits(team, step, count, held) && (urgent || idle || this.#leavesReserve(team, step, count - unit))
    let count = wanted
    while (count > 0 && !permits(count)) count -= 1
    return count < unit && wanted >= unit && held === NO_USAGE && this.#mayExceed(team, step, unit) ? unit : count
  }

  /** Whether the team uses less than half of its cap in every dimension. */
  isBelowHalf ({ name, cap }: TeamSettings): boolean {
    const used = this.usageOf(name)
    return COMPUTE_DIMENSIONS.every(dimension => cap[dimension] <= 0 || used[dimension] < cap[dimension] / 2)
  }

  #mayExceed (team: TeamSettings, step: StepUsage, unit: number): boolean {
    const { name, cap } = team
    const needsMore = COMPUTE_DIMENSIONS.some(dimension => cap[dimension] > 0 && step.size[dimension] * unit > cap[dimension])
    const used = this.usageOf(name)
    const isHalfFree = COMPUTE_DIMENSIONS.every(dimension => cap[dimension] <= 0 || step.size[dimension] === 0 || used[dimension] <= cap[dimension] / 2)
    return needsMore && isHalfFree && this.#fits(team, step, unit - 1, NO_USAGE)
  }

  #fits ({ name, cap }: TeamSettings, { size }: StepUsage, count: number, held: ComputeResources): boolean {
    const used = this.usageOf(name)
    return COMPUTE_DIMENSIONS.every(dimension => cap[dimension] <= 0 || used[dimension] + held[dimension] + size[dimension] * count <= cap[dimension])
  }

  /** Whether the team's reserve is untouched with `count` more tasks. Lasting tasks reduce it: it could not be regained from them. */
  #leavesReserve ({ name, cap }: TeamSettings, { size }: StepUsage, count: number): boolean {
    const used = this.usageOf(name)
    const lasting = this.#lasting.get(name) ?? NO_USAGE
    return COMPUTE_DIMENSIONS.every(dimension => {
      if (cap[dimension] <= 0 || size[dimension] === 0) return true
      const temporary = used[dimension] - lasting[dimension] + size[dimension] * count
      return temporary < (cap[dimension] - lasting[dimension]) * (1 - URGENT_CAP_RESERVE)
    })
  }

  #change (team: string, { size, longRunning }: StepUsage, sign: 1 | -1): void {
    for (const usage of longRunning ? [this.#used, this.#lasting] : [this.#used]) {
      const used = usage.get(team) ?? NO_USAGE
      usage.set(team, {
        processors: used.processors + sign * size.processors,
        memory: used.memory + sign * size.memory,
        accelerators: used.accelerators + sign * size.accelerators
      })
    }
  }
}
