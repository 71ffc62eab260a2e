/** Composes the subsystems of one entry instance and orders its start, drain and stop. */
import { LifecycleManager } from '../lifecycle/lifecycleManager.ts'
import type { InstanceState } from '../model/digest.ts'
import { sameInstance } from '../model/identity.ts'
import type { InstanceRef } from '../model/identity.ts'
import type { CallerHandler } from '../ports/callerHandler.ts'
import type { PeerHandler } from '../ports/peerClient.ts'
import type { OperatorHandler } from '../observability/operatorApi.ts'
import { isDraining } from '../configuration/configurationState.ts'
import { ConfigurationSubsystem } from './configurationSubsystem.ts'
import { CoordinationSubsystem } from './coordinationSubsystem.ts'
import type { InstanceOptions } from './instanceOptions.ts'
import { Housekeeping } from './housekeeping.ts'
import { OperatorService } from './reports/operatorService.ts'
import { PeerService } from './requests/peerService.ts'
import { SchedulingSubsystem } from './schedulingSubsystem.ts'
import { describeSelf } from './reports/selfDescription.ts'
import { describeStatus } from './reports/statusReport.ts'

/** Time limit for one component's stop. */
const COMPONENT_STOP_TIMEOUT_MS = 10_000
/** Interval at which a drain checks whether the open requests have ended. */
const DRAIN_POLL_MS = 50

/**
 * An entry instance without its servers. Callers, peers and operators use it through the three handlers.
 *
 * @example
 * const instance = new EntryInstance(options)
 * await instance.start()
 * await instance.drain(AbortSignal.timeout(60_000))
 * await instance.stop()
 */
export class EntryInstance {
  readonly callers: CallerHandler
  readonly peers: PeerHandler
  readonly operators: OperatorHandler
  readonly configuration: ConfigurationSubsystem
  readonly scheduling: SchedulingSubsystem
  readonly coordination: CoordinationSubsystem
  readonly #options: InstanceOptions
  readonly #lifecycle = new LifecycleManager(COMPONENT_STOP_TIMEOUT_MS)
  #state: InstanceState = 'starting'
  #drainRequested: () => void = () => {}
  /** Resolves when an operator requested a graceful shutdown, or the instance list marks this instance as leaving. */
  readonly drainRequested = new Promise<void>(resolve => { this.#drainRequested = resolve })

  constructor (options: InstanceOptions) {
    this.#options = options
    this.configuration = new ConfigurationSubsystem(options, {
      self: () => this.self,
      describeSelf: () => this.#describeSelf(),
      onChanged: () => this.#onConfigurationChanged()
    })
    this.scheduling = new SchedulingSubsystem(options, this.configuration, {
      ownership: () => this.coordination.ownership,
      allotments: () => this.coordination.allotments,
      claims: () => this.coordination.claimClient,
      self: () => this.self,
      isDraining: () => this.#state === 'draining'
    })
    this.coordination = new CoordinationSubsystem(options, this.configuration, this.scheduling)
    this.callers = this.scheduling.requests
    this.peers = this.#createPeerService()
    this.operators = this.#createOperatorService()
    this.#addComponents()
  }

  /** The current incarnation. */
  get self (): InstanceRef {
    return this.coordination?.ownership.self ?? this.#options.self
  }

  get state (): InstanceState {
    return this.#state
  }

  async start (): Promise<void> {
    await this.configuration.load()
    await this.#lifecycle.start()
    this.#state = 'serving'
    this.#options.logger.info('the instance is serving')
  }

  /** Hands over targets and allotments and waits for the open requests to end; rejects if the signal aborts first. */
  async drain (signal: AbortSignal): Promise<void> {
    if (this.#state === 'draining') return
    this.#state = 'draining'
    this.#options.logger.info('instance is draining')
    this.scheduling.placements.close()
    const handedOver = await this.coordination.handOver(signal)
    while (this.scheduling.activeRequests.size > 0) await this.#options.clock.sleep(DRAIN_POLL_MS, signal)
    if (!handedOver) await this.coordination.release(signal)
    // The freshness rules do not count a deregistered instance, so it must have no unsettled change.
    while (this.configuration.log.pending) await this.#options.clock.sleep(DRAIN_POLL_MS, signal)
    await this.#leaveRecords(signal)
  }

  /** Removes the instance from the shared records. If the store is unavailable, other instances remove it later. */
  async #leaveRecords (signal: AbortSignal): Promise<void> {
    for (const result of await Promise.allSettled([this.coordination.leave(signal), this.configuration.registry.deregister()])) {
      if (result.status === 'rejected') this.#options.logger.warn({ err: result.reason }, 'instance could not remove itself from a record; other instances will remove it')
    }
  }

  async stop (): Promise<void> {
    for (const { component, error } of await this.#lifecycle.stop()) {
      this.#options.logger.warn({ component, err: error }, 'component failed to stop cleanly')
    }
    this.configuration.log.close()
  }

  #addComponents (): void {
    const { exchange, lists } = this.configuration
    const housekeeping = new Housekeeping(this.#options, this.configuration, this.scheduling, this.coordination)
    for (const component of [lists, exchange, ...this.coordination.components, ...housekeeping.components]) {
      this.#lifecycle.add(component)
    }
  }

  #describeSelf (): ReturnType<typeof describeSelf> {
    const { location, peerAddress } = this.#options
    const { pool, placements } = this.scheduling
    return describeSelf({
      location,
      peerAddress,
      pool,
      placements,
      allotments: this.coordination.allotments,
      self: () => this.self,
      state: () => this.#state,
      teams: () => this.configuration.settings.teams()
    })
  }

  /** Applies the configuration and the instance list to limits, shares, targets and this instance's drain state. */
  #onConfigurationChanged (): void {
    const { log, settings } = this.configuration
    for (const team of settings.teams()) {
      this.coordination.allotments.setLimit(team, settings.find(team, 'batch').limit, log.version)
      this.scheduling.ledger.setWeight(team, Math.max(settings.find(team, 'batch').share, Number.MIN_VALUE))
    }
    this.scheduling.targetAvailability.refresh()
    this.scheduling.placements.pump()
    const { name } = this.#options.self
    const leaving = this.configuration.membership.live().some(member => sameInstance(member.digest.ref, this.self) && member.leaving)
    if (leaving || isDraining(log.state, 'instance', name)) this.#drainRequested()
  }

  #createPeerService (): PeerService {
    const { ownership, allotments, claimLog } = this.coordination
    return new PeerService({
      configuration: this.configuration, requests: this.scheduling.requests, allotments, claims: claimLog, ownership
    })
  }

  #createOperatorService (): OperatorService {
    const { clock, metrics } = this.#options
    const { log, membership, settings } = this.configuration
    const operators: OperatorService = new OperatorService({
      clock,
      log,
      membership,
      allotments: this.coordination.allotments,
      teams: () => settings.teams(),
      longestKeyGraceMs: () => settings.longestKeyGraceMs(),
      state: () => this.#state,
      describeStatus: () => describeStatus({
        options: this.#options,
        configuration: this.configuration,
        scheduling: this.scheduling,
        coordination: this.coordination,
        self: this.self,
        state: this.#state,
        aboveLimit: operators.listAboveLimit()
      }),
      renderMetrics: async () => await metrics.render(),
      beginDrain: () => this.#drainRequested(),
      unreadyReason: () => this.#state === 'serving' ? undefined : `the instance is ${this.#state}`
    })
    return operators
  }
}
