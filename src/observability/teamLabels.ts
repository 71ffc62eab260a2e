/** Limits the number of team label values in metrics. */

/** Maximum number of distinct team labels; further teams share the label `other`. */
export const MAX_TEAM_LABELS = 200
export const OTHER_TEAM = 'other'

/**
 * Assigns each team its own label until the limit is reached.
 *
 * @example
 * new TeamLabels(200).labelFor('weavers') // 'weavers'
 */
export class TeamLabels {
  readonly #teams = new Set<string>()
  readonly #limit: number

  constructor (limit = MAX_TEAM_LABELS) {
    this.#limit = limit
  }

  labelFor (team: string): string {
    if (this.#teams.has(team)) return team
    if (this.#teams.size >= this.#limit) return OTHER_TEAM
    this.#teams.add(team)
    return team
  }
}
