/** The bounded queue of requests that wait for capacity, in order of urgency, fairness and arrival. */
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
  /** Dominant share of a team divided by its weight; the lowest is served first. */
  readonly weightedShare: (team: string) => number
}

export interface PushResult<T> {
  readonly accepted: boolean
  /** Entries that left the queue to make room; none of them is as urgent as the newcomer. */
  readonly shed: readonly QueueEntry<T>[]
}

/** Bounds of an instance's queue. */
export const MAXIMUM_QUEUE_ENTRIES = 2_000
export const MAXIMUM_QUEUE_BYTES = 64 * 1_024 * 1_024

/** All entries of one urgency. */
class UrgencyClass<T> {
  readonly arrivals = new LinkedList<WaitingEntry<T>>()
  readonly teams = new TeamRanking<T>()
  entries = 0
  bytes = 0
}

/**
 * A queue with one sub-queue for each urgency, team and shape. The time of `next` grows with the teams, not with the
 * entries. An entry that isn't accepted holds back only equal ones of its team; see ageing.ts for the other direction.
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
  /** No entry's deadline is earlier. */
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

  /** Adds an entry; a full queue first sheds less urgent ones, newest first, or else refuses the newcomer. */
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

  /** Removes an entry in constant time; false if it isn't in the queue. */
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
   * Offers entries in order until one is accepted, and removes and returns it. `accept` may reserve, but must not
   * change the queue. Its answer may depend on the team and the shape (kind, size, tasks) of the entry; if it refuses
   * one entry for a reason of its own, equal ones of the team wait too.
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

  /** Removes and returns the entries whose deadline has come. */
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

  /** The entries to offer, in order. */
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

  /** Whether shedding everything less urgent would be enough. */
  #canMakeRoom (entry: QueueEntry<T>): boolean {
    let { size: entries, bytes } = this
    for (let urgency = entry.urgency + 1; urgency < this.#classes.length; urgency++) {
      entries -= this.#classes[urgency]!.entries
      bytes -= this.#classes[urgency]!.bytes
    }
    return entries < this.#options.maximumEntries && bytes + entry.bytes <= this.#options.maximumBytes
  }
}
