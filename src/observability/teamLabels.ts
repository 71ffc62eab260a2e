/** Bounds the label values that teams add to metrics. */

/** Distinct teams in metrics; later ones share a label. */
export const MAX_TEAM_LABELS = 200
export const OTHER_TEAM = 'other'

/**
 * Gives each team its own label until the bound is reached.
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
