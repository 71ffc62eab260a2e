/** Settings of teams, kinds and queues from the current configuration. */
import type { ConfigurationState } from '../configuration/configurationState.ts'
import { toSnapshot } from '../configuration/configurationState.ts'
import type { ConfigurationSnapshot } from '../model/change.ts'
import type { KindName } from '../model/request.ts'
import { listTeams, resolveQueueSettings, TeamSettingsCache } from '../settings/tree.ts'
import type { TeamSettings } from '../settings/tree.ts'

export class TeamSettingsSource {
  readonly #cache = new TeamSettingsCache()
  #snapshot: ConfigurationSnapshot
  #teams: readonly string[]

  constructor (state: ConfigurationState) {
    this.#snapshot = toSnapshot(state)
    this.#teams = listTeams(this.#snapshot.settings)
  }

  /** Switches to a newer configuration. */
  update (state: ConfigurationState): void {
    this.#snapshot = toSnapshot(state)
    this.#teams = listTeams(this.#snapshot.settings)
  }

  find (team: string, kind: KindName): TeamSettings {
    return this.#cache.get(this.#snapshot, team, kind)
  }

  teams (): readonly string[] {
    return this.#teams
  }

  /** The team of an open queue; undefined if the queue does not exist or is not open. */
  findOpenQueue (queue: string): string | undefined {
    const { open, team } = resolveQueueSettings(this.#snapshot, queue)
    return open ? team : undefined
  }

  /** The shortest time, over all teams, for which keys are accepted without a configuration refresh. */
  shortestKeyGraceMs (): number {
    return Math.min(...this.#keyGraces())
  }

  longestKeyGraceMs (): number {
    return Math.max(...this.#keyGraces())
  }

  /** Grace periods of all teams, and the default for teams without their own setting. */
  #keyGraces (): readonly number[] {
    return ['', ...this.#teams].map(team => this.find(team, 'urgent').keyGraceMs)
  }
}
