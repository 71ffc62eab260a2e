/** What each team uses across the fleet, and what it is entitled to. */
import { addResources, dominantFraction, isEmpty, NO_RESOURCES, scaleResources, subtractResources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import type { InstanceDigest } from '../../model/digest.ts'
import { PreemptionPlanner } from './preemption.ts'
import type { PreemptionPlan, PreemptionRequest } from './preemption.ts'
import { computeMaxMinShares } from './waterFilling.ts'
import type { TeamDemand } from './waterFilling.ts'

export type { PreemptionCandidate, PreemptionPlan, PreemptionRequest, UrgentNeed } from './preemption.ts'

const DEFAULT_WEIGHT = 1

/** Use and waiting work of one team. */
interface Account {
  local: Resources
  remote: Resources
  /** Sum of the sizes that wait on this instance. */
  waiting: Resources
  waitingEntries: number
  remoteQueued: number
  weight: number
  /** Kept until use or capacity changes. */
  dominantShare: number | undefined
}

/**
 * Usage by team: of this instance as charged, of the others as their digests tell.
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

  /** Capacity of the whole fleet. */
  setCapacity (capacity: Resources): void {
    this.#capacity = capacity
    this.#entitlements = undefined
    for (const account of this.#accounts.values()) account.dominantShare = undefined
  }

  /** The `share` setting of a team; above zero. */
  setWeight (team: string, weight: number): void {
    if (!(weight > 0)) throw new RangeError(`the weight of team ${team} must be above zero, not ${weight}`)
    this.#change(team, account => { account.weight = weight })
  }

  charge (team: string, size: Resources): void {
    this.#change(team, account => { account.local = addResources(account.local, size) })
  }

  release (team: string, size: Resources): void {
    this.#change(team, account => { account.local = subtractResources(account.local, size) })
  }

  /** The sum of the sizes that wait on this instance, and the number of requests. */
  setWaiting (team: string, waiting: Resources, entries: number): void {
    this.#change(team, account => {
      account.waiting = waiting
      account.waitingEntries = entries
    })
  }

  /** Replaces what is known of the other instances; the caller leaves out its own digest. */
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

  /** Forgets a team that the configuration no longer has. */
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

  /** The largest fraction of any dimension of the fleet that the team uses. */
  dominantShare (team: string): number {
    const account = this.#accounts.get(team)
    if (account === undefined) return 0
    account.dominantShare ??= dominantFraction(this.used(team), this.#capacity)
    return account.dominantShare
  }

  /** Dominant share divided by weight: the queue serves the lowest first. */
  weightedShare (team: string): number {
    return this.dominantShare(team) / this.weight(team)
  }

  /** The dominant share that weighted max-min fairness gives the team at present demand; at most what it demands. */
  entitlement (team: string): number {
    this.#entitlements ??= computeMaxMinShares([...this.#accounts].map(([name, account]) => this.#describe(name, account)), this.#capacity)
    return this.#entitlements.get(team) ?? 0
  }

  /** The part of the team's waiting requests that wait here: each instance collects only this part of what is owed. */
  localPartOfWaiting (team: string): number {
    const account = this.#accounts.get(team)
    if (account === undefined || account.waitingEntries === 0) return 0
    return account.waitingEntries / (account.waitingEntries + account.remoteQueued)
  }

  waiting (team: string): Resources {
    return this.#accounts.get(team)?.waiting ?? NO_RESOURCES
  }

  /** Chooses tasks to checkpoint for underserved teams (at most once per second) or for urgent work (always). */
  planPreemption (request: PreemptionRequest): PreemptionPlan {
    return this.#planner.plan(request)
  }

  /**
   * Digests tell how many requests wait elsewhere but not their sizes; such a team counts as wanting all of
   * the cluster in the proportions that it uses now.
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
