/** Refused work that was told when to return. */
import murmurhash from 'murmurhash'
import { priorityOfOrder } from './admissionRequest.ts'
import { NO_AMOUNT } from './backlog.ts'
import type { Amount } from './backlog.ts'

const MS_PER_SECOND = 1_000
/** Callers return in the second that they were given or shortly after; later ones have given up. */
const GRACE_SECONDS = 2
/** With 1,000 identities in a filter, 1 in 5,000 that was not refused is taken for one that was. */
const FILTER_BITS = 32_768
const HASHES = 4
/** Sums of floating point numbers differ a little from what was added. */
const ROUNDING = 0.999

/** What waits for capacity: the targets of a service, or the cap of a team. */
export type Account = `service ${string}` | `team ${string}`

/** A refused job that comes again. */
export interface ReturningJob {
  /** The second for which it was told to return. */
  readonly second: number
  /** Whether capacity was promised to it. */
  readonly promised: boolean
  /** Time of its first attempt: the mean of those that were told to return in the same second. */
  readonly firstAttemptMs: number
}

interface RefusedJob {
  readonly id: string
  readonly firstAttemptMs: number
  readonly dueMs: number
}

export interface Promised {
  readonly account: Account
  readonly order: number
  readonly amount: Amount
}

/** Identities of refused jobs: a Bloom filter, which needs no state for each caller. */
interface RefusedIdentities {
  readonly filter: Uint32Array
  count: number
  firstAttemptSumMs: number
}

interface ReturnBucket {
  readonly second: number
  /** What was promised capacity, by account, and by the place of the priority in placement order. */
  readonly amounts: Map<Account, Map<number, Amount>>
  readonly promised: RefusedIdentities
  readonly unpromised: RefusedIdentities
}

/**
 * Records refused jobs in aggregate, by the second for which they were told to return. Its memory is bounded: about 8 kB
 * for each of the last and next seconds, and one sum for each account and priority.
 *
 * @example
 * schedule.record({ id: '5c0e', firstAttemptMs, dueMs: nowMs + 3_000 }, { account: 'service renders', order, amount })
 * const returning = schedule.find('5c0e', nowMs)
 */
export class ReturnSchedule {
  #buckets: ReturnBucket[] = []

  /** Records a refused job; with what was promised to it, if anything. */
  record ({ id, firstAttemptMs, dueMs }: RefusedJob, promised?: Promised): void {
    const bucket = this.#bucket(Math.floor(dueMs / MS_PER_SECOND))
    const identities = promised === undefined ? bucket.unpromised : bucket.promised
    for (const bit of bitsOf(id)) identities.filter[bit >>> 5] = (identities.filter[bit >>> 5] ?? 0) | 1 << (bit & 31)
    identities.count += 1
    identities.firstAttemptSumMs += firstAttemptMs
    if (promised === undefined) return
    const { account, order, amount } = promised
    const byPlace = bucket.amounts.get(account) ?? new Map<number, Amount>()
    bucket.amounts.set(account, byPlace)
    const place = priorityOfOrder(order)
    byPlace.set(place, sum(byPlace.get(place) ?? NO_AMOUNT, amount))
  }

  /** Finds a job that was refused lately. */
  find (id: string, nowMs: number): ReturningJob | undefined {
    this.#expire(nowMs)
    if (this.#buckets.length === 0) return undefined
    const bits = bitsOf(id)
    // The latest refusal counts.
    for (const { second, promised, unpromised } of [...this.#buckets].reverse()) {
      for (const identities of [promised, unpromised]) {
        if (identities.count > 0 && bits.every(bit => ((identities.filter[bit >>> 5] ?? 0) & 1 << (bit & 31)) !== 0)) {
          return { second, promised: identities === promised, firstAttemptMs: identities.firstAttemptSumMs / identities.count }
        }
      }
    }
    return undefined
  }

  /**
   * Takes back what was promised to a job that has returned, from the first of the accounts and places that has enough: the
   * job may be within its team's share at one attempt and beyond it at the next.
   */
  release (second: number, accounts: readonly Account[], places: readonly number[], amount: Amount): void {
    const bucket = this.#buckets.find(each => each.second === second)
    for (const account of accounts) {
      const byPlace = bucket?.amounts.get(account)
      for (const place of places) {
        const booked = byPlace?.get(place)
        if (booked === undefined || booked.work < amount.work * ROUNDING) continue
        byPlace?.set(place, { processors: Math.max(0, booked.processors - amount.processors), work: Math.max(0, booked.work - amount.work) })
        return
      }
    }
  }

  /** What was promised by each of the given times and before the given second, at or before the place of the order. */
  booked (account: Account, order: number, timesMs: readonly number[], beforeSecond = Infinity): readonly Amount[] {
    const place = priorityOfOrder(order)
    const due = this.#buckets.filter(({ second, amounts }) => second < beforeSecond && amounts.has(account)).map(({ second, amounts }) => {
      let total = NO_AMOUNT
      for (const [each, amount] of amounts.get(account) ?? []) if (each <= place) total = sum(total, amount)
      return { atMs: second * MS_PER_SECOND, total }
    })
    return timesMs.map(timeMs => due.reduce((earlier, { atMs, total }) => atMs > timeMs ? earlier : sum(earlier, total), NO_AMOUNT))
  }

  #bucket (second: number): ReturnBucket {
    const existing = this.#buckets.find(bucket => bucket.second === second)
    if (existing !== undefined) return existing
    const created: ReturnBucket = { second, amounts: new Map(), promised: createIdentities(), unpromised: createIdentities() }
    this.#buckets = [...this.#buckets, created].sort((left, right) => left.second - right.second)
    return created
  }

  #expire (nowMs: number): void {
    const oldest = Math.floor(nowMs / MS_PER_SECOND) - GRACE_SECONDS
    if ((this.#buckets[0]?.second ?? Infinity) < oldest) this.#buckets = this.#buckets.filter(({ second }) => second >= oldest)
  }
}

function createIdentities (): RefusedIdentities {
  return { filter: new Uint32Array(FILTER_BITS / 32), count: 0, firstAttemptSumMs: 0 }
}

function sum (left: Amount, right: Amount): Amount {
  return { processors: left.processors + right.processors, work: left.work + right.work }
}

function bitsOf (id: string): readonly number[] {
  const first = murmurhash.v3(id, 1)
  const second = murmurhash.v3(id, 2) | 1
  return Array.from({ length: HASHES }, (_, index) => (first + Math.imul(index, second) >>> 0) % FILTER_BITS)
}
