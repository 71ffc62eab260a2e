/** Teams with waiting entries of one urgency, in the order in which they are served. */
import { TeamQueue } from './teamQueue.ts'

interface RankedTeam<T> {
  readonly queue: TeamQueue<T>
  share: number
}

function precedes<T> (left: RankedTeam<T>, right: RankedTeam<T>): boolean {
  return left.share < right.share || (left.share === right.share && left.queue.oldestArrivalNumber < right.queue.oldestArrivalNumber)
}

export class TeamRanking<T> {
  readonly #queues = new Map<string, TeamQueue<T>>()
  /** Sorted as for the last decision, which is close to the current order. */
  readonly #ranked: RankedTeam<T>[] = []

  get (team: string): TeamQueue<T> | undefined {
    return this.#queues.get(team)
  }

  add (team: string): TeamQueue<T> {
    const queue = new TeamQueue<T>(team)
    this.#queues.set(team, queue)
    this.#ranked.push({ queue, share: 0 })
    return queue
  }

  /**
   * Sorts teams by share, then by arrival, and removes teams without entries. Insertion sort is close to linear here
   * because each decision changes the shares of few teams.
   */
  order (weightedShare: (team: string) => number): readonly { readonly queue: TeamQueue<T> }[] {
    const ranked = this.#ranked
    let count = 0
    for (const team of ranked) {
      if (team.queue.isEmpty) {
        this.#queues.delete(team.queue.team)
        continue
      }
      team.share = weightedShare(team.queue.team)
      let position = count++
      for (; position > 0 && precedes(team, ranked[position - 1]!); position--) ranked[position] = ranked[position - 1]!
      ranked[position] = team
    }
    ranked.length = count
    return ranked
  }
}
