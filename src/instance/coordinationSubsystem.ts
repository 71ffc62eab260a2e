/** Components that coordinate instances through the store: target ownership, allotments of limits, and claims. */
import { ListPresence } from '../configuration/listPresence.ts'
import type { Component } from '../lifecycle/component.ts'
import { parseIncarnationKey } from '../model/identity.ts'
import type { InstanceRef } from '../model/identity.ts'
import { DIMENSIONS } from '../model/resources.ts'
import type { Resources } from '../model/resources.ts'
import { ClaimClient } from '../scheduler/claims/claimClient.ts'
import type { ClaimPeer } from '../scheduler/claims/claimClient.ts'
import { ClaimLog } from '../scheduler/claims/claimLog.ts'
import { AllotmentManager } from '../scheduler/limits/allotmentManager.ts'
import { OwnershipManager } from '../scheduler/ownership/ownershipManager.ts'
import type { ConfigurationSubsystem } from './configurationSubsystem.ts'
import type { InstanceOptions } from './instanceOptions.ts'
import type { SchedulingSubsystem } from './schedulingSubsystem.ts'
import { TargetAdoption } from './tasks/targetAdoption.ts'

export class CoordinationSubsystem {
  readonly ownership: OwnershipManager
  readonly allotments: AllotmentManager
  readonly claimLog: ClaimLog
  readonly claimClient: ClaimClient
  readonly #options: InstanceOptions
  readonly #configuration: ConfigurationSubsystem
  readonly #scheduling: SchedulingSubsystem
  readonly #presence = new ListPresence()
  #listReadAt = -Infinity

  constructor (options: InstanceOptions, configuration: ConfigurationSubsystem, scheduling: SchedulingSubsystem) {
    this.#options = options
    this.#configuration = configuration
    this.#scheduling = scheduling
    this.ownership = this.#createOwnership()
    this.allotments = this.#createAllotments()
    const { store, clock, peerClient } = options
    this.claimLog = new ClaimLog({ store, clock })
    this.claimClient = new ClaimClient({
      clock, peerClient, claimLog: this.claimLog, self: () => this.ownership.self, liveInstances: () => this.#servingInstances()
    })
  }

  get components (): readonly Component[] {
    return [this.claimLog, this.allotments, this.ownership]
  }

  /** Hands over targets and allotments to other instances; false if no instance could take over the targets. */
  async handOver (signal: AbortSignal): Promise<boolean> {
    if (!await this.ownership.handOverAll(signal)) return false
    await this.allotments.releaseAll(signal)
    return true
  }

  /**
   * Releases what no instance could take over, after the open requests have ended. Allotments of tasks that still run
   * are kept until a successor has fenced their targets.
   */
  async release (signal: AbortSignal): Promise<void> {
    if (this.#scheduling.placements.held.all().length === 0) await this.allotments.releaseAll(signal)
    await this.ownership.releaseAll(signal)
  }

  /** Removes this instance from the members, after everything was handed over or released. */
  async leave (signal: AbortSignal): Promise<void> {
    await this.ownership.leave(signal)
  }

  #createOwnership (): OwnershipManager {
    const { store, targetClient, clock, random, self, location, logger } = this.#options
    const { membership } = this.#configuration
    const adoption = this.#createAdoption()
    return new OwnershipManager({
      store,
      targetClient,
      clock,
      random,
      self,
      dataCentre: location.dataCentre,
      listedTargets: () => this.#configuration.localTargets(),
      membership: {
        liveMembers: () => membership.inDataCentre(location.dataCentre)
          .filter(({ digest, leaving }) => digest.state !== 'draining' && !leaving).map(({ digest }) => digest.ref),
        isSuspected: ref => membership.isSuspected(ref),
        isGoneFromList: ref => this.#isListedGone(ref)
      },
      events: {
        onAcquired: async (target, epoch, tasks, previousOwner, signal) => {
          logger.info({ target: target.id, epoch, tasks: tasks.length }, 'target acquired')
          await adoption.onAcquired(target, epoch, tasks, previousOwner, signal)
        },
        onLost: (targetId, reason) => {
          logger.info({ target: targetId, reason }, 'target lost')
          adoption.onLost(targetId, reason)
        },
        onHandingOver: async target => {
          if (!target.features.fencing) await this.#scheduling.starter.awaitStartByExpiry(target.id)
        },
        holdsTasks: targetId => adoption.holdsTasks(targetId),
        onSuccessorAdopted: targetId => adoption.onSuccessorAdopted(targetId),
        onRemovedFromMembers: ref => {
          logger.warn({ incarnation: ref.incarnation }, 'instance was removed from the members as dead; continuing as a new incarnation')
          adoption.onRemovedFromMembers()
          this.#configuration.register().catch((error: unknown) => logger.warn({ err: error }, 'failed to register the new incarnation'))
        }
      }
    })
  }

  #createAdoption (): TargetAdoption {
    const { settings } = this.#configuration
    const { pool, placements, tracker, targetAvailability } = this.#scheduling
    return new TargetAdoption({
      clock: this.#options.clock,
      pool,
      placements,
      allotments: {
        surrender: taskId => this.allotments.surrender(taskId),
        reset: () => this.allotments.reset()
      },
      tracker,
      leaseMs: report => settings.find(report.team, report.kind).taskLeaseMs,
      onTargetsChanged: () => targetAvailability.refresh()
    })
  }

  #createAllotments (): AllotmentManager {
    const { store, clock, location, peerClient } = this.#options
    return new AllotmentManager({
      store,
      clock,
      dataCentre: location.dataCentre,
      ownership: this.ownership,
      peerClient,
      findDonor: team => this.#findGiver(team),
      dataCentreOf: ref => this.#configuration.membership.find(ref)?.digest.dataCentre
    })
  }

  /** Address of the peer with the largest spare allotment of the team, according to the digests. */
  #findGiver (team: string): string | undefined {
    const candidates = this.#configuration.membership.others().flatMap(({ digest }) => {
      const entry = digest.teams.find(candidate => candidate.team === team)
      return entry === undefined ? [] : [{ address: digest.peerAddress, spare: sumDimensions(entry.spare) }]
    })
    return candidates.filter(({ spare }) => spare > 0).sort((left, right) => right.spare - left.spare)[0]?.address
  }

  /** All members of the ownership record are tracked in the instance list, since this instance may never have heard from them. */
  #isListedGone (ref: InstanceRef): boolean {
    const { lists } = this.#configuration
    for (const member of [...this.ownership.record.members.map(parseIncarnationKey), ref]) this.#presence.track(member, this.#heardAt(member))
    if (lists.snapshot !== undefined && lists.readAt !== undefined && lists.readAt > this.#listReadAt) {
      this.#listReadAt = lists.readAt
      this.#presence.observe(lists.snapshot.instances, lists.readAt)
    }
    return this.#presence.goneSince(ref) !== undefined
  }

  #heardAt (ref: InstanceRef): number {
    const heardAge = this.#configuration.membership.find(ref)?.digest.heardAge ?? Infinity
    return this.#options.clock.monotonicMs() - heardAge
  }

  #servingInstances (): readonly ClaimPeer[] {
    return this.#configuration.membership.live()
      .filter(({ digest }) => digest.state === 'serving')
      .map(({ digest }) => ({ ref: digest.ref, address: digest.peerAddress }))
  }
}

function sumDimensions (vector: Resources): number {
  return DIMENSIONS.reduce((sum, dimension) => sum + vector[dimension], 0)
}
