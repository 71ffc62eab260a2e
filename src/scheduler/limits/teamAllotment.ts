/** One team's allotment on one instance: the charges of local tasks, and the instance's own entry in the allotment record. */
import { incarnationKey } from '../../model/identity.ts'
import type { IncarnationKey, InstanceRef } from '../../model/identity.ts'
import { addResources, DIMENSIONS, isEmpty, minimumResources, NO_RESOURCES, subtractResources } from '../../model/resources.ts'
import type { Limit, Resources } from '../../model/resources.ts'
import type { Clock } from '../../ports/clock.ts'
import type { Store } from '../../ports/store.ts'
import { planAdjustment, planTransfer, computeWanted } from './allotmentPlan.ts'
import type { Adjustment } from './allotmentPlan.ts'
import { buildResources, setHolder, equalAmounts } from './allotmentRecord.ts'
import type { AllotmentRecord } from './allotmentRecord.ts'
import { AllotmentView } from './allotmentView.ts'
import { roundSize, TaskCharges } from './taskCharges.ts'

/** After a transfer with an unknown outcome the donor may still move the amount, so the record is reread at this interval for this period. */
const REREAD_INTERVAL_MS = 10_000
const REREAD_PERIOD_MS = 600_000

export interface TeamAllotmentDependencies {
  readonly store: Store
  readonly clock: Clock
  readonly team: string
  readonly dataCentre: string
  /** The current incarnation; undefined until it is in `members`. Until then nothing may be taken from the limit. */
  holder (): InstanceRef | undefined
  dataCentreOf (ref: InstanceRef): string | undefined
}

export class TeamAllotment {
  readonly #dependencies: TeamAllotmentDependencies
  readonly #view: AllotmentView
  readonly #charges: TaskCharges
  #configured: { readonly limit: Limit, readonly version: number } = { limit: {}, version: 0 }
  /** Total amount that tasks may use. The entry in the record is never below this, nor below what is used. */
  #held = NO_RESOURCES
  #returning = false
  #heldReductions = 0
  #rereadUntilMs = 0
  #nextRereadMs = 0
  #sequence = 0
  #nextAdjustment: Promise<void> | undefined

  constructor (dependencies: TeamAllotmentDependencies) {
    this.#dependencies = dependencies
    this.#view = new AllotmentView(dependencies.store, dependencies.clock, dependencies.team)
    this.#charges = new TaskCharges(dependencies.clock)
  }

  get record (): AllotmentRecord {
    return this.#view.record
  }

  /** Time since the record was last known to be current; infinite if the store never answered. */
  get recordAgeMs (): number {
    return this.#dependencies.clock.monotonicMs() - this.#view.currentAtMs
  }

  /** The configured limit or the limit in the record, whichever has the higher version. */
  get limit (): Limit {
    return this.record.limitVersion > this.#configured.version ? this.record.limit : this.#configured.limit
  }

  get used (): Resources {
    return this.#charges.used
  }

  get unmet (): Resources {
    return this.#maskUnlimited(subtractResources(this.#charges.demand, this.#held))
  }

  get spare (): Resources {
    return this.#maskUnlimited(subtractResources(this.#held, this.#charges.demand))
  }

  /** Keeps the version of the first configuration with this limit, so that unrelated configuration changes cause no writes. */
  setLimit (limit: Limit, version: number): void {
    const unchanged = DIMENSIONS.every(dimension => limit[dimension] === this.#configured.limit[dimension])
    if (version <= this.#configured.version || (unchanged && this.#configured.version > 0)) return
    this.#configured = { limit, version }
    this.#view.markStale()
  }

  setQueued (queued: Resources): void {
    this.#charges.setQueued(roundSize(queued))
  }

  markStale (): void {
    this.#view.markStale()
  }

  /** Schedules rereads: the requested amount may be added to the own entry now or later, even if this instance no longer uses the limit. */
  recordUncertainTransfer (): void {
    const now = this.#dependencies.clock.monotonicMs()
    this.#rereadUntilMs = now + REREAD_PERIOD_MS
    this.#nextRereadMs = now
  }

  startReturning (): void {
    this.#returning = true
  }

  trySpend (taskId: string, size: Resources): boolean {
    if (this.#charges.has(taskId)) return true
    const rounded = roundSize(size)
    const after = addResources(this.#charges.used, rounded)
    const { limit } = this
    if (DIMENSIONS.some(dimension => limit[dimension] !== undefined && rounded[dimension] > 0 &&
      after[dimension] > this.#held[dimension])) return false
    this.#charges.add(taskId, rounded)
    return true
  }

  /** Charges a task that is already running, even if the held amount does not cover it. */
  charge (taskId: string, size: Resources): void {
    this.#charges.add(taskId, roundSize(size))
  }

  refund (taskId: string): boolean {
    return this.#charges.remove(taskId) !== undefined
  }

  /** Removes a charge and lowers the held amount by its size, because a successor now holds the amount for the task. */
  surrender (taskId: string): void {
    const usedBefore = this.#charges.used
    const size = this.#charges.remove(taskId)
    if (size === undefined) return
    this.#lowerHeldTo(buildResources(dimension => Math.max(this.#held[dimension], usedBefore[dimension]) - size[dimension]))
  }

  /** Discards all charges and the held amount of an earlier incarnation. */
  reset (): void {
    this.#charges.clear()
    this.#lowerHeldTo(NO_RESOURCES)
  }

  async refresh (signal?: AbortSignal): Promise<void> {
    await this.#view.runExclusive(() => this.#view.read(signal), signal)
  }

  /** Whether the entry must be adjusted, judged by the cached record. */
  needsAdjustment (): boolean {
    const holder = this.#dependencies.holder()
    if (holder === undefined) return false
    if (this.#isRereadDue()) return true
    const own = this.record.holders[incarnationKey(holder)]
    const idle = isEmpty(this.#charges.demand) && isEmpty(this.#held) && own === undefined
    if (idle) return false
    return this.#view.stale || !isEmpty(this.unmet) || this.record.limitVersion < this.#configured.version ||
      !equalAmounts(this.#plan(this.record, incarnationKey(holder)).entry, own?.amount ?? NO_RESOURCES)
  }

  /** Adjusts the entry to usage and demand. Calls made before a pending adjustment starts share it. */
  adjust (signal?: AbortSignal): Promise<void> {
    if (this.#nextAdjustment !== undefined) return this.#nextAdjustment
    this.#nextAdjustment = this.#view.runExclusive(async () => {
      this.#nextAdjustment = undefined
      await this.#adjustNow(signal)
    }, signal)
    return this.#nextAdjustment
  }

  /** Moves spare amounts to another incarnation; resolves with the amount added to its entry. */
  transfer (receiver: InstanceRef, wanted: Resources, signal?: AbortSignal): Promise<Resources> {
    return this.#view.runExclusive(() => this.#transferNow(receiver, wanted, signal), signal)
  }

  async #adjustNow (signal?: AbortSignal): Promise<void> {
    const holder = this.#dependencies.holder()
    if (holder === undefined) throw new Error('can not adjust the allotment: the instance has not joined the members yet')
    const key = incarnationKey(holder)
    const reread = this.#isRereadDue()
    if (reread || this.#view.stale || !isEmpty(this.unmet)) await this.#view.read(signal)
    if (reread) this.#nextRereadMs = this.#dependencies.clock.monotonicMs() + REREAD_INTERVAL_MS
    const heldReductions = this.#heldReductions
    const sequence = ++this.#sequence
    let held = this.#held
    await this.#view.update(record => {
      // A new incarnation must not lower the entry that covers tasks of the old one.
      if (!this.#isHolder(key)) return undefined
      const current = this.#withConfiguredLimit(record)
      const plan = this.#plan(current, key)
      // The returned amount must not be used while the write is in flight.
      this.#held = minimumResources(this.#held, plan.held)
      held = plan.held
      if (current === record && equalAmounts(plan.entry, current.holders[key]?.amount ?? NO_RESOURCES)) return undefined
      const entry = { dataCentre: this.#dependencies.dataCentre, amount: plan.entry, sequence }
      return setHolder(current, key, isEmpty(plan.entry) ? undefined : entry)
    }, signal)
    if (this.#heldReductions === heldReductions && this.#isHolder(key)) this.#held = held
  }

  async #transferNow (receiver: InstanceRef, wanted: Resources, signal?: AbortSignal): Promise<Resources> {
    const holder = this.#dependencies.holder()
    const amount = minimumResources(this.spare, this.#maskUnlimited(roundSize(wanted)))
    const receiverDataCentre = this.#dependencies.dataCentreOf(receiver)
    if (holder === undefined || isEmpty(amount) || receiverDataCentre === undefined) return NO_RESOURCES
    const key = incarnationKey(holder)
    const sequence = ++this.#sequence
    const heldReductions = this.#heldReductions
    this.#held = subtractResources(this.#held, amount)
    let moved = false
    const change = (record: AllotmentRecord): AllotmentRecord | undefined => {
      moved = record.holders[key]?.sequence === sequence
      const next = moved || !this.#isHolder(key)
        ? undefined
        : planTransfer(record, key, { receiver: incarnationKey(receiver), receiverDataCentre, amount, sequence })
      moved ||= next !== undefined
      return next
    }
    try {
      await this.#view.update(change, signal)
      return moved ? amount : NO_RESOURCES
    } catch (error) {
      moved = signal?.aborted === true
      throw error
    } finally {
      if (!moved && heldReductions === this.#heldReductions) this.#held = addResources(this.#held, amount)
      this.#view.markStale()
    }
  }

  #plan (record: AllotmentRecord, key: IncarnationKey): Adjustment {
    const { used, demand, active } = this.#charges
    const wanted = this.#returning ? used : computeWanted(demand, active)
    return planAdjustment(record, key, { used, held: this.#held, wanted, returning: this.#returning })
  }

  #isRereadDue (): boolean {
    const now = this.#dependencies.clock.monotonicMs()
    return now >= this.#nextRereadMs && now < this.#rereadUntilMs
  }

  #isHolder (key: IncarnationKey): boolean {
    const holder = this.#dependencies.holder()
    return holder !== undefined && incarnationKey(holder) === key
  }

  #withConfiguredLimit (record: AllotmentRecord): AllotmentRecord {
    if (record.limitVersion >= this.#configured.version) return record
    return { ...record, limit: this.#configured.limit, limitVersion: this.#configured.version }
  }

  #lowerHeldTo (bound: Resources): void {
    this.#held = minimumResources(this.#held, buildResources(dimension => Math.max(0, bound[dimension])))
    this.#view.markStale()
    this.#heldReductions++
  }

  #maskUnlimited (amount: Resources): Resources {
    const { limit } = this
    return buildResources(dimension => limit[dimension] === undefined ? 0 : Math.max(0, amount[dimension]))
  }
}
