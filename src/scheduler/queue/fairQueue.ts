/** Bounded queue of requests that wait for capacity, ordered by urgency, fairness and arrival. */
import type { Clock } from '../../ports/clock.ts'
import { Ageing } from './ageing.ts'
import { LinkedList } from './linkedList.ts'
import type { Acceptance, QueueEntry } from './queueEntry.ts'
import type { WaitingEntry } from './teamQueue.ts'
import { TeamRanking } from './teamRanking.ts'

export type { Acceptance, QueueEntry } from './queueEntry.ts'

export interface FairQueueOptions {
  readonly maximumEntries: number
  readonly maximumBytes: number
  readonly clock: Pick<Clock, 'monotonicMs'>
  /** Returns a team's dominant share divided by its weight; the team with the lowest value is served first. */
  readonly weightedShare: (team: string) => number
}

export interface PushResult<T> {
  readonly accepted: boolean
  /** Entries that were removed to make room; all of them are less urgent than the new entry. */
  readonly shed: readonly QueueEntry<T>[]
}

/** Limits of an instance's queue. */
export const MAXIMUM_QUEUE_ENTRIES = 2_000
export const MAXIMUM_QUEUE_BYTES = 64 * 1_024 * 1_024

/** Entries of one urgency. */
class UrgencyClass<T> {
  readonly arrivals = new LinkedList<WaitingEntry<T>>()
  readonly teams = new TeamRanking<T>()
  entries = 0
  bytes = 0
}

/**
 * Queue with one sub-queue per urgency, team and shape. The cost of `next` grows with the number of teams, not of
 * entries. A refused entry blocks only entries of the same shape and team; ageing.ts keeps others from starving it.
 *
 * @example
 * const queue = new FairQueue<string>({ maximumEntries: 2_000, maximumBytes: 1e6, clock, weightedShare: team => ledger.weightedShare(team) })
 * queue.push(entry)
 * const started = queue.next(entry => pool.place(describe(entry)).outcome === 'placed')
 */
export class FairQueue<T> {
  readonly #options: FairQueueOptions
  readonly #waiting = new Map<QueueEntry<T>, WaitingEntry<T>>()
  /** Indexed by urgency. */
  readonly #classes: readonly UrgencyClass<T>[] = [new UrgencyClass(), new UrgencyClass(), new UrgencyClass()]
  readonly #ageing = new Ageing<T>()
  #bytes = 0
  #arrivals = 0
  /** Lower bound of all entries' deadlines. */
  #earliestDeadline = Infinity

  constructor (options: FairQueueOptions) {
    this.#options = options
  }

  get size (): number {
    return this.#waiting.size
  }

  get bytes (): number {
    return this.#bytes
  }

  entries (): Iterable<QueueEntry<T>> {
    return this.#waiting.keys()
  }

  /** Adds an entry. A full queue sheds less urgent entries, newest first, or refuses the new entry if that is not enough. */
  push (entry: QueueEntry<T>): PushResult<T> {
    if (this.#waiting.has(entry)) throw new Error('the entry is already in the queue')
    if (!this.#canMakeRoom(entry)) return { accepted: false, shed: [] }
    const shed: QueueEntry<T>[] = []
    for (let urgency = this.#classes.length - 1; urgency > entry.urgency; urgency--) {
      const { arrivals } = this.#classes[urgency]!
      for (let last = arrivals.last; last !== undefined && !this.#hasRoom(entry); last = arrivals.last) {
        shed.push(last.value.entry)
        this.remove(last.value.entry)
      }
    }
    this.#add(entry)
    return { accepted: true, shed }
  }

  /** Removes an entry in constant time, or returns false if it is not in the queue. */
  remove (entry: QueueEntry<T>): boolean {
    const waiting = this.#waiting.get(entry)
    if (waiting === undefined) return false
    const urgencyClass = this.#classes[entry.urgency]!
    urgencyClass.teams.get(entry.team)!.remove(waiting)
    urgencyClass.arrivals.remove(waiting.classNode!)
    urgencyClass.entries--
    urgencyClass.bytes -= entry.bytes
    this.#bytes -= entry.bytes
    this.#waiting.delete(entry)
    this.#ageing.end(waiting, this.#options.clock.monotonicMs())
    return true
  }

  /**
   * Offers entries in order until one is accepted, then removes and returns it. `accept` may reserve capacity but must
   * not modify the queue. Its result should depend only on the team and the shape (kind, size, tasks) of the entry: if
   * it refuses an entry for any other reason, entries of the same team and shape wait too.
   */
  next (accept: (entry: QueueEntry<T>) => Acceptance): QueueEntry<T> | undefined {
    const now = this.#options.clock.monotonicMs()
    this.#ageing.closeExpiredWindows(now)
    const refused: WaitingEntry<T>[] = []
    for (const waiting of this.#offers()) {
      const acceptance = accept(waiting.entry)
      if (acceptance === true) {
        this.#ageing.recordBypass(waiting.targetType, refused, now)
        this.remove(waiting.entry)
        return waiting.entry
      }
      if (acceptance === 'limited') this.#ageing.end(waiting, now)
      else refused.push(waiting)
    }
    return undefined
  }

  /** Removes and returns the entries whose deadline has passed. */
  expire (now: number): readonly QueueEntry<T>[] {
    if (now < this.#earliestDeadline) return []
    const expired = [...this.#waiting.keys()].filter(entry => entry.deadlineAt <= now)
    for (const entry of expired) this.remove(entry)
    this.#earliestDeadline = Infinity
    for (const entry of this.#waiting.keys()) {
      this.#earliestDeadline = Math.min(this.#earliestDeadline, entry.deadlineAt)
    }
    return expired
  }

  /** Yields the entries to offer, in order. */
  * #offers (): Iterable<WaitingEntry<T>> {
    for (const [urgency, urgencyClass] of this.#classes.entries()) {
      const holders = this.#ageing.holdersAt(urgency)
      yield * holders
      for (const { queue } of urgencyClass.teams.order(this.#options.weightedShare)) {
        for (const { head } of queue.offers()) {
          if (!holders.includes(head) && !this.#ageing.isBlocked(head)) yield head
        }
      }
    }
  }

  #add (entry: QueueEntry<T>): void {
    const urgencyClass = this.#classes[entry.urgency]!
    const teamQueue = urgencyClass.teams.get(entry.team) ?? urgencyClass.teams.add(entry.team)
    const waiting = teamQueue.add(entry, this.#arrivals++)
    waiting.classNode = urgencyClass.arrivals.append(waiting)
    urgencyClass.entries++
    urgencyClass.bytes += entry.bytes
    this.#bytes += entry.bytes
    this.#waiting.set(entry, waiting)
    this.#earliestDeadline = Math.min(this.#earliestDeadline, entry.deadlineAt)
  }

  #hasRoom (entry: QueueEntry<T>): boolean {
    return this.#waiting.size < this.#options.maximumEntries && this.#bytes + entry.bytes <= this.#options.maximumBytes
  }

  /** Returns whether shedding all less urgent entries would make enough room. */
  #canMakeRoom (entry: QueueEntry<T>): boolean {
    let { size: entries, bytes } = this
    for (let urgency = entry.urgency + 1; urgency < this.#classes.length; urgency++) {
      entries -= this.#classes[urgency]!.entries
      bytes -= this.#classes[urgency]!.bytes
    }
    return entries < this.#options.maximumEntries && bytes + entry.bytes <= this.#options.maximumBytes
  }
}
