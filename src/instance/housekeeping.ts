/** Periodic tasks of an instance: deadlines of waiting requests, target availability, shares, usage and gauges. */
import type { InstanceDigest } from '../model/digest.ts'
import { workloads } from '../workloads/registry.ts'
import type { Component } from '../lifecycle/component.ts'
import { PeriodicTask } from '../lifecycle/periodicTask.ts'
import { sameInstance } from '../model/identity.ts'
import { addResources, DIMENSIONS, NO_RESOURCES, subtractResources } from '../model/resources.ts'
import type { Resources } from '../model/resources.ts'
import type { ConfigurationSubsystem } from './configurationSubsystem.ts'
import type { CoordinationSubsystem } from './coordinationSubsystem.ts'
import type { InstanceOptions } from './instanceOptions.ts'
import { WaitingRerouter } from './placement/waitingRerouter.ts'
import type { SchedulingSubsystem } from './schedulingSubsystem.ts'
import { UsageCollector } from './tasks/usageCollector.ts'

/** Bounds the delay between the arrival of an allotment and the start of the requests that wait for it. */
const QUEUE_CHECK_INTERVAL_MS = 20
const TARGET_INTERVAL_MS = 250
const SHARE_INTERVAL_MS = 1_000
const USAGE_INTERVAL_MS = 5_000
/** Fraction of a limit above which a team counts as limited: digests lag, and the remainder may be too small for a task. */
const LIMIT_REACHED_FRACTION = 0.9

export class Housekeeping {
  readonly components: readonly Component[]
  readonly #options: InstanceOptions
  readonly #configuration: ConfigurationSubsystem
  readonly #scheduling: SchedulingSubsystem
  readonly #coordination: CoordinationSubsystem
  readonly #usage: UsageCollector
  readonly #rerouter: WaitingRerouter

  constructor (options: InstanceOptions, configuration: ConfigurationSubsystem, scheduling: SchedulingSubsystem, coordination: CoordinationSubsystem) {
    this.#options = options
    this.#configuration = configuration
    this.#scheduling = scheduling
    this.#coordination = coordination
    this.#usage = this.#createUsageCollector()
    this.#rerouter = this.#createRerouter()
    this.components = [
      this.#createPeriodicTask('queue', QUEUE_CHECK_INTERVAL_MS, () => this.#processQueue()),
      this.#createPeriodicTask('target availability', TARGET_INTERVAL_MS, () => this.#refreshTargetAvailability()),
      this.#createPeriodicTask('shares', SHARE_INTERVAL_MS, () => this.#balanceShares()),
      this.#createPeriodicTask('usage', USAGE_INTERVAL_MS, async () => await this.#usage.collect())
    ]
  }

  #createPeriodicTask (name: string, intervalMs: number, action: () => void | Promise<void>): PeriodicTask {
    const { clock, logger } = this.#options
    return new PeriodicTask(name, clock, intervalMs, action, error => logger.error({ err: error }, `periodic task failed: ${name}`))
  }

  #processQueue (): void {
    const { placements } = this.#scheduling
    if (placements.length === 0) return
    placements.expire(this.#options.clock.monotonicMs())
    placements.pump()
  }

  #refreshTargetAvailability (): void {
    for (const target of this.#configuration.localTargets()) {
      if (this.#scheduling.pool.find(target.id) !== undefined) this.#scheduling.pool.addTarget(target)
    }
    this.#scheduling.targetAvailability.refresh()
    this.#rerouter.run()
  }

  #createRerouter (): WaitingRerouter {
    const { placements, crossRegion } = this.#scheduling
    const { membership, settings } = this.#configuration
    return new WaitingRerouter({
      clock: this.#options.clock,
      location: this.#options.location,
      placements,
      settings,
      budget: crossRegion,
      allotments: this.#coordination.allotments,
      peers: () => membership.live().filter(({ leaving }) => !leaving).map(({ digest }) => digest)
        .filter(({ ref, state }) => state === 'serving' && !sameInstance(ref, this.#coordination.ownership.self))
    })
  }

  #balanceShares (): void {
    const { ledger, placements, preemptor } = this.#scheduling
    const { membership } = this.#configuration
    const others = membership.live().map(({ digest }) => digest).filter(({ ref }) => !sameInstance(ref, this.#coordination.ownership.self))
    ledger.setCapacity(this.#configuration.listedTargets().reduce<Resources>((sum, target) => addResources(sum, target.capacity), NO_RESOURCES))
    const atLimit = new Set(this.#configuration.settings.teams().filter(team => this.#isAtLimit(team)))
    ledger.observe(others.map(digest =>
      ({ ...digest, teams: digest.teams.map(entry => atLimit.has(entry.team) ? { ...entry, queued: 0 } : entry) })))
    for (const team of this.#configuration.settings.teams()) {
      const { size, entries } = placements.waiting(team)
      if (atLimit.has(team)) ledger.setWaiting(team, NO_RESOURCES, 0)
      else ledger.setWaiting(team, size, entries)
      this.#coordination.allotments.setQueuedDemand(team, size)
    }
    preemptor.balanceShares()
    this.#updateGauges(others)
  }

  /** A team that waits because of its limit is owed nothing: preempting other teams' tasks would not start its own. */
  #isAtLimit (team: string): boolean {
    const { limit } = this.#configuration.settings.find(team, 'batch')
    const used = this.#scheduling.ledger.used(team)
    return DIMENSIONS.some(dimension => used[dimension] > 0 && used[dimension] >= (limit[dimension] ?? Infinity) * LIMIT_REACHED_FRACTION)
  }

  #updateGauges (others: readonly InstanceDigest[]): void {
    const { metrics } = this.#options
    const { ledger, pool, placements } = this.#scheduling
    const { allotments } = this.#coordination
    const waiting = placements.waitingByKind()
    for (const team of this.#configuration.settings.teams()) {
      metrics.setShare(team, ledger.entitlement(team), ledger.dominantShare(team))
      const spare = allotments.spare(team)
      const wantedElsewhere = others.some(({ teams }) => teams.some(entry => entry.team === team && entry.queued > 0))
      metrics.setAllotment(team, addResources(allotments.used(team), spare), wantedElsewhere ? spare : NO_RESOURCES)
      for (const kind of workloads.keys()) metrics.setQueued(team, kind, waiting.get(team)?.get(kind) ?? 0)
    }
    const capacity = [...pool.targets()].reduce<Resources>((sum, { info }) => addResources(sum, info.capacity), NO_RESOURCES)
    const used = subtractResources(capacity, [...pool.targets()].reduce<Resources>((sum, { free }) => addResources(sum, free), NO_RESOURCES))
    for (const dimension of DIMENSIONS) if (capacity[dimension] > 0) metrics.setPacking(dimension, used[dimension] / capacity[dimension])
    metrics.setConfiguration(this.#configuration.log.version, this.#configuration.freshness.ageMs())
  }

  #createUsageCollector (): UsageCollector {
    const { estimator, placements, tracker, pool } = this.#scheduling
    return new UsageCollector({
      targetClient: this.#options.targetClient,
      estimator,
      placements,
      ownedTargets: () => [...pool.targets()].flatMap(({ info }) => {
        const epoch = this.#coordination.ownership.epochOf(info.id)
        return epoch === undefined ? [] : [{ target: info, epoch }]
      }),
      checkpoint: async taskId => {
        const task = placements.held.find(taskId)
        if (task?.repeatable === true) await tracker.checkpoint(taskId)
      }
    })
  }
}
