/** Keeps each team's usage on this instance within the instance's allotment of the team's limit. */
import type { InstanceRef } from '../../model/identity.ts'
import type { Component } from '../../lifecycle/component.ts'
import { addResources, DIMENSIONS, isEmpty, NO_RESOURCES } from '../../model/resources.ts'
import type { Limit, Resources } from '../../model/resources.ts'
import type { Clock } from '../../ports/clock.ts'
import type { PeerClient } from '../../ports/peerClient.ts'
import type { Store } from '../../ports/store.ts'
import { buildResources, sumHolders } from './allotmentRecord.ts'
import { CountingStore } from './countingStore.ts'
import { EntryReclaimer } from './entryReclaimer.ts'
import type { AllotmentAuthority } from './entryReclaimer.ts'
import { TeamAllotment } from './teamAllotment.ts'

const ADJUST_INTERVAL_MS = 1_000
const RECLAIM_INTERVAL_MS = 10_000
const TRANSFER_TIMEOUT_MS = 2_000

export interface AllotmentDependencies {
  readonly store: Store
  readonly clock: Clock
  readonly dataCentre: string
  readonly ownership: AllotmentAuthority
  readonly peerClient: Pick<PeerClient, 'transferAllotment'>
  /** Address of the peer with the largest known spare amount of the team; undefined if no peer has any. */
  findDonor (team: string): string | undefined
  /** Data centre of a peer; undefined if it is unknown. */
  dataCentreOf (ref: InstanceRef): string | undefined
}

export interface AllotmentStatus {
  readonly limit: Limit
  readonly held: Resources
  /** Amount held above the limit until tasks end. */
  readonly aboveLimit: Resources
  readonly byDataCentre: Readonly<Record<string, Resources>>
}

/**
 * Charges tasks to the instance's allotments.
 *
 * @example
 * const allotments = new AllotmentManager({ store, clock, dataCentre, ownership, peerClient, findDonor, dataCentreOf })
 * allotments.setLimit('weavers', { processors: 64_000 }, 17)
 * if (!allotments.trySpend('weavers', taskId, size)) allotments.setQueuedDemand('weavers', size)
 */
export class AllotmentManager implements Component {
  readonly name = 'allotments'
  readonly #dependencies: AllotmentDependencies
  readonly #store: CountingStore
  readonly #reclaimer: EntryReclaimer
  readonly #teams = new Map<string, TeamAllotment>()
  readonly #teamOfTask = new Map<string, string>()
  readonly #pendingTransfers = new Map<string, AbortController>()
  readonly #abort = new AbortController()
  #running: Promise<unknown> = Promise.resolve()

  constructor (dependencies: AllotmentDependencies) {
    this.#dependencies = dependencies
    this.#store = new CountingStore(dependencies.store)
    this.#reclaimer = new EntryReclaimer(this.#store, dependencies.clock, dependencies.dataCentre, dependencies.ownership)
  }

  /** Number of calls made to the store. */
  get storeCalls (): number {
    return this.#store.calls
  }

  async start (): Promise<void> {
    this.#running = Promise.allSettled([
      this.#repeat(ADJUST_INTERVAL_MS, () => this.adjustAll()),
      this.#repeat(RECLAIM_INTERVAL_MS, () => this.reclaim())
    ])
  }

  async stop (): Promise<void> {
    this.#abort.abort(new Error('allotment manager was stopped'))
    for (const call of this.#pendingTransfers.values()) call.abort()
    await this.#running
  }

  /** Sets the limit of a team as of a configuration version; undefined means that there is no limit. */
  setLimit (team: string, limit: Limit | undefined, version: number): void {
    this.#team(team).setLimit(limit ?? {}, version)
  }

  /** Charges a task if the allotment allows it. Call it only for tasks on targets that may be used now. */
  trySpend (team: string, taskId: string, size: Resources): boolean {
    const spent = this.#team(team).trySpend(taskId, size)
    if (spent) this.#teamOfTask.set(taskId, team)
    return spent
  }

  /** Ends the charge of a task that no longer runs. */
  refund (taskId: string): void {
    this.#teamOf(taskId)?.refund(taskId)
    this.#teamOfTask.delete(taskId)
  }

  /** Ends the charge of a task that continues under a successor, and gives up the amount that covered it. */
  surrender (taskId: string): void {
    this.#teamOf(taskId)?.surrender(taskId)
    this.#teamOfTask.delete(taskId)
  }

  /**
   * Charges a task found on an acquired target; once this resolves, the own entry in the record covers the task.
   * The previous owner's entry is left unchanged: that owner may be alive and reuse what its other tasks free.
   */
  async adopt (team: string, taskId: string, size: Resources, _from?: InstanceRef): Promise<void> {
    this.#team(team).charge(taskId, size)
    this.#teamOfTask.set(taskId, team)
    await this.#team(team).adjust(this.#abort.signal)
  }

  /** Handles a transfer as the donor; resolves with the amount by which the receiver's entry was raised. */
  async transfer (receiver: InstanceRef, team: string, wanted: Resources): Promise<Resources> {
    return await this.#team(team).transfer(receiver, wanted, this.#abort.signal)
  }

  setQueuedDemand (team: string, queued: Resources): void {
    const allotment = this.#team(team)
    allotment.setQueued(queued)
    if (!isEmpty(allotment.unmet)) this.#adjustTeam(team, allotment).catch(() => {})
  }

  spare (team: string): Resources {
    return this.#teams.get(team)?.spare ?? NO_RESOURCES
  }

  used (team: string): Resources {
    return this.#teams.get(team)?.used ?? NO_RESOURCES
  }

  /** State of a team's limit as of this instance's last read. */
  status (team: string): AllotmentStatus {
    const { record, limit } = this.#team(team)
    const held = sumHolders(record)
    const byDataCentre: Record<string, Resources> = {}
    for (const { dataCentre, amount } of Object.values(record.holders)) {
      byDataCentre[dataCentre] = addResources(byDataCentre[dataCentre] ?? NO_RESOURCES, amount)
    }
    const aboveLimit = buildResources(dimension => Math.max(0, held[dimension] - (limit[dimension] ?? Infinity)))
    return { limit, held, aboveLimit, byDataCentre }
  }

  /** Like `status`, but reads the record first; for operators. */
  async readStatus (team: string): Promise<AllotmentStatus> {
    await this.#team(team).refresh(this.#abort.signal)
    return this.status(team)
  }

  /**
   * Whether a request that has waited for `waitedMs` may wait only because this instance can't take an allotment without
   * the store, while other instances may hold some: the record leaves room for the amount, or it was not read since the
   * request began to wait, so that amounts which it lists may have been returned. The age says nothing while the allotment
   * covers the demand of the team: the record is then not read, and the request waits for another reason.
   */
  mayFitElsewhere (team: string, amount: Resources, waitedMs: number): boolean {
    const { recordAgeMs, unmet } = this.#team(team)
    if (recordAgeMs > waitedMs && !isEmpty(unmet)) return true
    const { limit, held } = this.status(team)
    return DIMENSIONS.every(dimension => held[dimension] + amount[dimension] <= (limit[dimension] ?? Infinity))
  }

  /** Discards all allotments after the instance was removed from the members; other members reclaim the old entries. */
  reset (): void {
    this.#teamOfTask.clear()
    for (const allotment of this.#teams.values()) allotment.reset()
  }

  /** Returns all spare amounts, and the rest as tasks end or are surrendered; resolves when nothing is held. */
  async releaseAll (signal: AbortSignal): Promise<void> {
    for (const allotment of this.#teams.values()) allotment.startReturning()
    while ([...this.#teams.values()].some(allotment => !isEmpty(allotment.used) || allotment.needsAdjustment())) {
      await this.adjustAll()
      await this.#dependencies.clock.sleep(ADJUST_INTERVAL_MS, signal)
    }
  }

  /** Adjusts every entry to usage and demand; runs every second. */
  async adjustAll (): Promise<void> {
    await Promise.allSettled([...this.#teams].map(async ([team, allotment]) => {
      if (allotment.needsAdjustment()) await this.#adjustTeam(team, allotment)
    }))
  }

  /** Returns the entries of dead incarnations to the pool; runs every 10 s. */
  async reclaim (): Promise<number> {
    return await this.#reclaimer.reclaim(this.#abort.signal)
  }

  async #adjustTeam (team: string, allotment: TeamAllotment): Promise<void> {
    await allotment.adjust(this.#abort.signal)
    if (!isEmpty(allotment.unmet)) this.#requestTransfer(team, allotment).catch(() => {})
  }

  async #requestTransfer (team: string, allotment: TeamAllotment): Promise<void> {
    const { findDonor, peerClient, ownership } = this.#dependencies
    const address = findDonor(team)
    if (address === undefined || this.#pendingTransfers.has(team) || !ownership.joined) return
    const call = new AbortController()
    this.#pendingTransfers.set(team, call)
    try {
      const timeout = this.#dependencies.clock.sleep(TRANSFER_TIMEOUT_MS, call.signal)
        .then(() => { throw new Error('the peer did not answer the allotment transfer within the time limit') })
      await Promise.race([peerClient.transferAllotment(address, ownership.self, team, allotment.unmet, call.signal), timeout])
      allotment.markStale()
      await allotment.adjust(this.#abort.signal)
    } catch (error) {
      allotment.recordUncertainTransfer()
      throw error
    } finally {
      call.abort()
      this.#pendingTransfers.delete(team)
    }
  }

  async #repeat (intervalMs: number, action: () => Promise<unknown>): Promise<void> {
    const { signal } = this.#abort
    while (!signal.aborted) {
      await action().catch(() => {})
      await this.#dependencies.clock.sleep(intervalMs, signal).catch(() => {})
    }
  }

  #teamOf (taskId: string): TeamAllotment | undefined {
    const team = this.#teamOfTask.get(taskId)
    return team === undefined ? undefined : this.#teams.get(team)
  }

  #team (team: string): TeamAllotment {
    const existing = this.#teams.get(team)
    if (existing !== undefined) return existing
    const { clock, dataCentre, ownership, dataCentreOf } = this.#dependencies
    const allotment = new TeamAllotment({
      store: this.#store, clock, team, dataCentre, dataCentreOf, holder: () => ownership.joined ? ownership.self : undefined
    })
    this.#teams.set(team, allotment)
    return allotment
  }
}
