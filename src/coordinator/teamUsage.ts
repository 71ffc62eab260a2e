/** What each team has running, against its cap over all targets. */
import type { TeamSettings } from '../jobs/desiredState.ts'
import type { Resources } from '../model/resources.ts'

/** Urgent jobs are 14% of the work at the calm rates of the sites, and up to 25% in their bursts. */
const URGENT_CAP_RESERVE = 0.2

type Amount = Pick<Resources, 'processors' | 'memory' | 'accelerators'>

const NOTHING: Amount = { processors: 0, memory: 0, accelerators: 0 }

/**
 * Counts everything that may run: reserved, starting, running and stopping tasks.
 *
 * @example
 * usage.add('weavers', size)
 * usage.fits(team, size, 2)
 */
export class TeamUsage {
  readonly #used = new Map<string, Amount>()

  add (team: string, size: Amount): void {
    this.#change(team, size, 1)
  }

  remove (team: string, size: Amount): void {
    this.#change(team, size, -1)
  }

  usageOf (team: string): Amount {
    return this.#used.get(team) ?? NOTHING
  }

  /** Whether `count` more tasks keep the team within the part of its cap, from 0 to 1. */
  fits (team: TeamSettings, size: Amount, count: number, part = 1): boolean {
    const used = this.usageOf(team.name)
    const within = (cap: number, before: number, each: number): boolean => cap <= 0 || before + each * count <= cap * part
    return within(team.cap.processors, used.processors, size.processors) &&
      within(team.cap.memory, used.memory, size.memory) &&
      within(team.cap.accelerators, used.accelerators, size.accelerators)
  }

  /**
   * How many of the tasks the cap allows. Work that is not urgent leaves a part of the cap free, so that a
   * team's wide steps do not make its urgent jobs wait; a step that is too wide for the rest may use all of
   * it while nothing else of the team runs.
   */
  allowedCount (team: TeamSettings, size: Amount, wanted: number, urgent: boolean): number {
    const used = this.usageOf(team.name)
    const idle = used.processors === 0 && used.memory === 0 && used.accelerators === 0
    const part = urgent || idle ? 1 : 1 - URGENT_CAP_RESERVE
    let count = wanted
    while (count > 0 && !this.fits(team, size, count, part)) count -= 1
    return count
  }

  #change (team: string, size: Amount, sign: 1 | -1): void {
    const used = this.usageOf(team)
    this.#used.set(team, {
      processors: used.processors + sign * size.processors,
      memory: used.memory + sign * size.memory,
      accelerators: used.accelerators + sign * size.accelerators
    })
  }
}
