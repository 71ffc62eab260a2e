/** Tracks each team's usage across the cell and computes its entitlement. */
import { addResources, dominantFraction, isEmpty, NO_RESOURCES, scaleResources, subtractResources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import type { InstanceDigest } from '../../model/digest.ts'
import { PreemptionPlanner } from './preemption.ts'
import type { PreemptionPlan, PreemptionRequest } from './preemption.ts'
import { computeMaxMinShares } from './waterFilling.ts'
import type { TeamDemand } from './waterFilling.ts'

export type { PreemptionCandidate, PreemptionPlan, PreemptionRequest, UrgentNeed } from './preemption.ts'

const DEFAULT_WEIGHT = 1

/** Usage and queued requests of one team. */
interface Account {
  local: Resources
  remote: Resources
  /** Sum of the sizes of the requests queued on this instance. */
  waiting: Resources
  waitingEntries: number
  remoteQueued: number
  weight: number
  /** Cached until usage or capacity changes. */
  dominantShare: number | undefined
}

/**
 * Usage by team: charged directly for this instance, and taken from digests for the other instances.
 *
 * @example
 * const ledger = new ShareLedger()
 * ledger.setCapacity(resources({ processors: 1_920_000, memory: 7_864_320 }))
 * ledger.charge('cooks', resources({ processors: 4_000, memory: 8_192 }))
 * ledger.dominantShare('cooks')
 */
export class ShareLedger {
  readonly #accounts = new Map<string, Account>()
  readonly #planner = new PreemptionPlanner(this)
  #capacity = NO_RESOURCES
  #entitlements: ReadonlyMap<string, number> | undefined

  get capacity (): Resources {
    return this.#capacity
  }

  /** Sets the capacity of the whole cell. */
  setCapacity (capacity: Resources): void {
    this.#capacity = capacity
    this.#entitlements = undefined
    for (const account of this.#accounts.values()) account.dominantShare = undefined
  }

  /** Sets a team's weight, from its `share` setting; must be greater than zero. */
  setWeight (team: string, weight: number): void {
    if (!(weight > 0)) throw new RangeError(`the weight of team ${team} must be greater than zero, got ${weight}`)
    this.#change(team, account => { account.weight = weight })
  }

  charge (team: string, size: Resources): void {
    this.#change(team, account => { account.local = addResources(account.local, size) })
  }

  release (team: string, size: Resources): void {
    this.#change(team, account => { account.local = subtractResources(account.local, size) })
  }

  /** Sets the sum of the sizes of the team's requests queued on this instance, and their number. */
  setWaiting (team: string, waiting: Resources, entries: number): void {
    this.#change(team, account => {
      account.waiting = waiting
      account.waitingEntries = entries
    })
  }

  /** Replaces the usage and queue lengths of the other instances. The caller must omit this instance's own digest. */
  observe (digests: readonly InstanceDigest[]): void {
    for (const team of this.#accounts.keys()) {
      this.#change(team, account => {
        account.remote = NO_RESOURCES
        account.remoteQueued = 0
      })
    }
    for (const digest of digests) {
      for (const { team, used, queued } of digest.teams) {
        this.#change(team, account => {
          account.remote = addResources(account.remote, used)
          account.remoteQueued += queued
        })
      }
    }
  }

  /** Removes a team that was removed from the configuration. */
  forget (team: string): void {
    this.#accounts.delete(team)
    this.#entitlements = undefined
  }

  teams (): Iterable<string> {
    return this.#accounts.keys()
  }

  used (team: string): Resources {
    const account = this.#accounts.get(team)
    return account === undefined ? NO_RESOURCES : addResources(account.local, account.remote)
  }

  weight (team: string): number {
    return this.#accounts.get(team)?.weight ?? DEFAULT_WEIGHT
  }

  /** Returns the largest fraction that the team uses of any dimension of the cell's capacity. */
  dominantShare (team: string): number {
    const account = this.#accounts.get(team)
    if (account === undefined) return 0
    account.dominantShare ??= dominantFraction(this.used(team), this.#capacity)
    return account.dominantShare
  }

  /** Returns the dominant share divided by the weight; the queue serves the team with the lowest value first. */
  weightedShare (team: string): number {
    return this.dominantShare(team) / this.weight(team)
  }

  /** Returns the team's dominant share under weighted max-min fairness at current demand; never more than its demand. */
  entitlement (team: string): number {
    this.#entitlements ??= computeMaxMinShares([...this.#accounts].map(([name, account]) => this.#describe(name, account)), this.#capacity)
    return this.#entitlements.get(team) ?? 0
  }

  /** Returns the fraction of the team's queued requests queued here; each instance preempts only for this fraction. */
  localPartOfWaiting (team: string): number {
    const account = this.#accounts.get(team)
    if (account === undefined || account.waitingEntries === 0) return 0
    return account.waitingEntries / (account.waitingEntries + account.remoteQueued)
  }

  waiting (team: string): Resources {
    return this.#accounts.get(team)?.waiting ?? NO_RESOURCES
  }

  /** Chooses tasks to checkpoint for underserved teams (at most once per second) or for urgent requests (at any time). */
  planPreemption (request: PreemptionRequest): PreemptionPlan {
    return this.#planner.plan(request)
  }

  /**
   * Digests report how many requests are queued elsewhere but not their sizes. A team with such requests is assumed to
   * demand the whole cluster in the proportions of its known demand.
   */
  #describe (team: string, account: Account): TeamDemand {
    const used = addResources(account.local, account.remote)
    const demand = addResources(used, account.waiting)
    const base = isEmpty(demand) ? this.#capacity : demand
    const fraction = dominantFraction(base, this.#capacity)
    if (account.remoteQueued === 0 || fraction === 0) return { team, weight: account.weight, demand }
    return { team, weight: account.weight, demand: scaleResources(base, Math.max(1, 1 / fraction)) }
  }

  #change (team: string, change: (account: Account) => void): void {
    let account = this.#accounts.get(team)
    if (account === undefined) {
      account = {
        local: NO_RESOURCES,
        remote: NO_RESOURCES,
        waiting: NO_RESOURCES,
        waitingEntries: 0,
        remoteQueued: 0,
        weight: DEFAULT_WEIGHT,
        dominantShare: undefined
      }
      this.#accounts.set(team, account)
    }
    change(account)
    account.dominantShare = undefined
    this.#entitlements = undefined
  }
}
