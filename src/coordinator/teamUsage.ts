/** What each team has running, against its cap over all targets. */
import type { TeamSettings } from '../jobs/desiredState.ts'
import type { Resources } from '../model/resources.ts'

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

  of (team: string): Amount {
    return this.#used.get(team) ?? NOTHING
  }

  /** Whether `count` more tasks keep the team within its cap. */
  fits (team: TeamSettings, size: Amount, count: number): boolean {
    const used = this.of(team.name)
    const within = (cap: number, before: number, each: number): boolean => cap <= 0 || before + each * count <= cap
    return within(team.cap.processors, used.processors, size.processors) &&
      within(team.cap.memory, used.memory, size.memory) &&
      within(team.cap.accelerators, used.accelerators, size.accelerators)
  }

  #change (team: string, size: Amount, sign: 1 | -1): void {
    const used = this.of(team)
    this.#used.set(team, {
      processors: used.processors + sign * size.processors,
      memory: used.memory + sign * size.memory,
      accelerators: used.accelerators + sign * size.accelerators
    })
  }
}
