/** Takes over, fences, hands over and releases the targets of one instance. */
import { incarnationKey } from '../../model/identity.ts'
import type { IncarnationKey, InstanceRef } from '../../model/identity.ts'
import type { TargetInfo } from '../../model/target.ts'
import type { Component } from '../../lifecycle/component.ts'
import type { Clock } from '../../ports/clock.ts'
import type { Random } from '../../ports/random.ts'
import type { Store } from '../../ports/store.ts'
import type { TargetClient } from '../../ports/targetClient.ts'
import { applyChanges } from './ownershipChanges.ts'
import type { OwnershipEvents } from './ownershipEvents.ts'
import { OwnershipPlanner } from './ownershipPlanner.ts'
import type { DrainPhase, MembershipView } from './ownershipPlanner.ts'
import { addMember, ownershipKey, removeMembers } from './ownershipRecord.ts'
import type { OwnershipRecord } from './ownershipRecord.ts'
import { OwnershipView } from './ownershipView.ts'
import { OwnedTargets } from './ownedTargets.ts'
import { RejoinBackoff } from './rejoinBackoff.ts'
import { RETRY_INTERVAL_MS, SHORTEST_RECONCILE_INTERVAL_MS, RECONCILE_INTERVAL_MS } from './ownershipTiming.ts'

export type { MembershipView } from './ownershipPlanner.ts'

export interface OwnershipDependencies {
  readonly store: Store
  readonly targetClient: Pick<TargetClient, 'fence'>
  readonly clock: Clock
  readonly random: Random
  readonly self: InstanceRef
  readonly dataCentre: string
  readonly membership: MembershipView
  /** Targets of the data centre in the platform's target list. */
  listedTargets (): readonly TargetInfo[]
  readonly events: OwnershipEvents
}

/**
 * Manages the targets that one instance owns.
 *
 * @example
 * const ownership = new OwnershipManager({ store, targetClient, clock, random, self, dataCentre, membership, listedTargets, events })
 * await ownership.start()
 * const epoch = ownership.epochOf('runner-7') // undefined unless the target may be used now
 */
export class OwnershipManager implements Component {
  readonly name = 'ownership'
  readonly #dependencies: OwnershipDependencies
  readonly #view: OwnershipView
  readonly #planner: OwnershipPlanner
  readonly #backoff: RejoinBackoff
  #owned: OwnedTargets
  #self: InstanceRef
  #joined = false
  #formerIncarnation: IncarnationKey | undefined
  #drain: DrainPhase | undefined
  #hasLeft = false
  #abort = new AbortController()
  #running: Promise<unknown> = Promise.resolve()

  constructor (dependencies: OwnershipDependencies) {
    this.#dependencies = dependencies
    this.#self = dependencies.self
    this.#view = new OwnershipView(dependencies.store, dependencies.clock, ownershipKey(dependencies.dataCentre))
    this.#planner = new OwnershipPlanner(dependencies.clock, dependencies.membership)
    this.#backoff = new RejoinBackoff(dependencies.clock, dependencies.random)
    this.#owned = this.#createOwned()
  }

  /** The current incarnation. The instance generates a new one after it was removed from the members. */
  get self (): InstanceRef {
    return this.#self
  }

  /** Whether the incarnation is in `members`. Until then it must not take any allotment. */
  get joined (): boolean {
    return this.#joined
  }

  async start (): Promise<void> {
    const signal = this.#abort.signal
    this.#running = Promise.allSettled([this.#view.watch(), this.#run(signal)])
  }

  async stop (): Promise<void> {
    this.#abort.abort(new Error('ownership manager was stopped'))
    this.#view.close()
    this.#owned.clear()
    await this.#running
  }

  /** Returns the fencing token for requests to the target; undefined unless the target may be used now. */
  epochOf (targetId: string): number | undefined {
    return this.#owned.epochOf(targetId)
  }

  ownedTargets (): readonly string[] {
    return this.#owned.usable()
  }

  /** Reports that a target refused a request with this instance's epoch because it has seen a higher one. */
  reportFenced (targetId: string, highestEpoch: number): void {
    this.#owned.reportFenced(targetId, highestEpoch)
    this.#view.wake()
  }

  /** Reads the record at once to find targets handed over to this instance, instead of waiting for the watch. */
  takeNow (_targetIds: readonly string[]): void {
    this.#view.requestRead()
  }

  /** The ownership record as of the last read. */
  get record (): OwnershipRecord {
    return this.#view.record
  }

  /** Reads the record from the store, for decisions that need it to be newer than another read. */
  async readRecord (signal?: AbortSignal): Promise<OwnershipRecord> {
    await this.#view.read(signal)
    return this.#view.record
  }

  /**
   * Hands over every target. Resolves with true when successors have adopted all tasks, and with false if no other
   * member can take the targets; the remaining ones stay owned until `releaseAll`. Rejects when the signal aborts.
   */
  async handOverAll (signal: AbortSignal): Promise<boolean> {
    this.#drain ??= 'hand-over'
    this.#view.wake()
    while (this.#ownsTargets() || this.#owned.hasTargetsAwaitingSuccessor()) {
      if (!this.#planner.hasReceiver(this.#view.record, incarnationKey(this.#self))) return false
      await this.#dependencies.clock.sleep(RECONCILE_INTERVAL_MS, signal)
    }
    return true
  }

  /** Releases the remaining targets, so that the next member need not wait until this instance has ended. */
  async releaseAll (signal: AbortSignal): Promise<void> {
    this.#drain = 'release'
    this.#view.wake()
    while (this.#ownsTargets()) await this.#dependencies.clock.sleep(RECONCILE_INTERVAL_MS, signal)
  }

  /** Removes the instance from the members. Call it after `handOverAll` and after the allotments were released. */
  async leave (signal: AbortSignal): Promise<void> {
    const self = incarnationKey(this.#self)
    this.#hasLeft = true
    this.#joined = false
    await this.#view.update(record =>
      record.members.includes(self) && !ownsAnyTarget(record, self) ? removeMembers(record, new Set([self])) : undefined, signal)
  }

  async #run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.#reconcile(signal)
        await this.#dependencies.clock.sleep(SHORTEST_RECONCILE_INTERVAL_MS, signal)
        await this.#view.sleep(RECONCILE_INTERVAL_MS - SHORTEST_RECONCILE_INTERVAL_MS)
      } catch {
        if (signal.aborted) return
        await this.#dependencies.clock.sleep(RETRY_INTERVAL_MS, signal).catch(() => {})
      }
    }
  }

  async #reconcile (signal: AbortSignal): Promise<void> {
    if (!this.#joined && !this.#hasLeft && this.#backoff.hasElapsed()) await this.#join(signal)
    if (this.#joined && !this.#view.record.members.includes(incarnationKey(this.#self))) this.#startNewIncarnation()
    const self = incarnationKey(this.#self)
    const listed = this.#dependencies.listedTargets()
    this.#owned.synchronise(this.#view.record, self, listed)
    if (!this.#joined) return
    const planned = this.#planner.plan(this.#view.record, self, listed, this.#drain)
    const changes = [...planned.changes, ...this.#owned.pendingChanges(planned.handOvers)]
    if (changes.length > 0) {
      await this.#view.update(record => applyChanges(record, self, changes), signal)
      this.#owned.synchronise(this.#view.record, self, listed)
    }
  }

  async #join (signal: AbortSignal): Promise<void> {
    const self = incarnationKey(this.#self)
    await this.#view.update(record => record.members.includes(self) ? undefined : addMember(record, self, this.#formerIncarnation), signal)
    this.#joined = true
  }

  #ownsTargets (): boolean {
    return this.#joined && ownsAnyTarget(this.#view.record, incarnationKey(this.#self))
  }

  /** Continues as a new incarnation. A removed one is never used again, because other members reclaim its targets and allotments. */
  #startNewIncarnation (): void {
    this.#formerIncarnation = incarnationKey(this.#self)
    this.#joined = false
    this.#hasLeft = this.#drain !== undefined
    this.#owned.loseAll('removed')
    this.#backoff.recordRemoval()
    const { random, events } = this.#dependencies
    const incarnation = [0, 1, 2, 3].map(() => random.integer(2 ** 16).toString(16).padStart(4, '0')).join('')
    this.#self = { name: this.#self.name, incarnation }
    this.#owned = this.#createOwned()
    events.onRemovedFromMembers(this.#self)
  }

  #createOwned (): OwnedTargets {
    const { targetClient, clock, events } = this.#dependencies
    return new OwnedTargets(targetClient, clock, events, () => this.#view.wake())
  }
}

function ownsAnyTarget (record: OwnershipRecord, key: IncarnationKey): boolean {
  return Object.values(record.targets).some(target => target.owner === key)
}
