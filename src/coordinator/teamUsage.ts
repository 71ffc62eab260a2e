/** Tracks the resources that each team uses, against its cap over all targets. */
import type { TeamSettings } from '../jobs/desiredState.ts'
import type { Resources } from '../model/resources.ts'

/** Fraction of a cap reserved for urgent jobs, which are 14% of the work at the sites' normal rates and up to 25% in bursts. */
const URGENT_CAP_RESERVE = 0.2

type ComputeResources = Pick<Resources, 'processors' | 'memory' | 'accelerators'>

const NO_USAGE: ComputeResources = { processors: 0, memory: 0, accelerators: 0 }

/**
 * Counts everything that may run: reserved, starting, running and stopping tasks.
 *
 * @example
 * usage.add('weavers', size)
 * usage.fits(team, size, 2)
 */
export class TeamUsage {
  readonly #used = new Map<string, ComputeResources>()

  add (team: string, size: ComputeResources): void {
    this.#change(team, size, 1)
  }

  remove (team: string, size: ComputeResources): void {
    this.#change(team, size, -1)
  }

  usageOf (team: string): ComputeResources {
    return this.#used.get(team) ?? NO_USAGE
  }

  /** Whether the team stays within `capFraction` (0 to 1) of its cap with `count` more tasks. */
  fits (team: TeamSettings, size: ComputeResources, count: number, capFraction = 1): boolean {
    const used = this.usageOf(team.name)
    const within = (cap: number, usedAmount: number, taskAmount: number): boolean => cap <= 0 || usedAmount + taskAmount * count <= cap * capFraction
    return within(team.cap.processors, used.processors, size.processors) &&
      within(team.cap.memory, used.memory, size.memory) &&
      within(team.cap.accelerators, used.accelerators, size.accelerators)
  }

  /**
   * Number of tasks that the cap allows. Non-urgent work leaves part of the cap free, so that a team's wide steps do not
   * delay its urgent jobs. While the team is idle a step may use the whole cap, since it may need more than the unreserved part.
   */
  allowedCount (team: TeamSettings, size: ComputeResources, wanted: number, urgent: boolean): number {
    const used = this.usageOf(team.name)
    const idle = used.processors === 0 && used.memory === 0 && used.accelerators === 0
    const capFraction = urgent || idle ? 1 : 1 - URGENT_CAP_RESERVE
    let count = wanted
    while (count > 0 && !this.fits(team, size, count, capFraction)) count -= 1
    return count
  }

  #change (team: string, size: ComputeResources, sign: 1 | -1): void {
    const used = this.usageOf(team)
    this.#used.set(team, {
      processors: used.processors + sign * size.processors,
      memory: used.memory + sign * size.memory,
      accelerators: used.accelerators + sign * size.accelerators
    })
  }
}
