/** Sums of the work that waits, by service, team and place in placement order. */

export interface Amount {
  readonly processors: number
  /** Processor-milliseconds. */
  readonly work: number
}

export const NO_AMOUNT: Amount = { processors: 0, work: 0 }

/** Sums by place in placement order. */
type OrderedAmounts = Map<number, Amount>

/**
 * The number of sums is bounded by services, teams and places in placement order, whatever the number of jobs.
 *
 * @example
 * backlog.add('renders', 'weavers', order, { processors: 4_500, work: 22_500_000 })
 * backlog.ahead('renders', order)
 */
export class Backlog {
  readonly #services = new Map<string, Map<string, OrderedAmounts>>()

  add (service: string, team: string, order: number, amount: Amount): void {
    const teams = this.#services.get(service) ?? new Map<string, OrderedAmounts>()
    this.#services.set(service, teams)
    const amounts = teams.get(team) ?? new Map<number, Amount>()
    teams.set(team, amounts)
    amounts.set(order, sum(amounts.get(order) ?? NO_AMOUNT, amount))
  }

  /** What is placed before or at the given place, by team. */
  ahead (service: string, order: number): ReadonlyMap<string, Amount> {
    const ahead = new Map<string, Amount>()
    for (const [team, amounts] of this.#services.get(service) ?? []) {
      const amount = aheadOf(amounts, order)
      if (amount.processors > 0 || amount.work > 0) ahead.set(team, amount)
    }
    return ahead
  }

  /** What the team's own work takes before or at the given place, in all services. */
  aheadInTeam (team: string, order: number): Amount {
    let total = NO_AMOUNT
    for (const teams of this.#services.values()) total = sum(total, aheadOf(teams.get(team) ?? new Map(), order))
    return total
  }
}

function aheadOf (amounts: OrderedAmounts, order: number): Amount {
  let total = NO_AMOUNT
  for (const [place, amount] of amounts) if (place <= order) total = sum(total, amount)
  return total
}

function sum (left: Amount, right: Amount): Amount {
  return { processors: left.processors + right.processors, work: left.work + right.work }
}
