/** One instance of the job scheduler cluster: handles calls, and acts as the coordinator while it is elected. */
import murmurhash from 'murmurhash'
import { AdviceLanes } from '../coordinator/advice/adviceLanes.ts'
import type { LaneDescription } from '../coordinator/advice/adviceLanes.ts'
import { COORDINATOR_KEY, Election } from '../coordinator/log/election.ts'
import type { CoordinatorInfo, ElectionListener } from '../coordinator/log/election.ts'
import { JobCoordinator } from '../coordinator/jobCoordinator.ts'
import type { ForecastStatus } from '../coordinator/jobCoordinator.ts'
import { JobIntake } from '../coordinator/admission/jobIntake.ts'
import { CoordinatorPreference } from '../coordinator/log/coordinatorPreference.ts'
import type { DesiredStateWatcher } from '../coordinator/desiredStateWatcher.ts'
import type { DesiredStateSummary } from '../jobs/desiredState.ts'
import type { Component } from '../lifecycle/component.ts'
import { PeriodicTask } from '../lifecycle/periodicTask.ts'
import { runInBackground } from '../lifecycle/runInBackground.ts'
import type { JobMetrics } from '../observability/jobMetrics.ts'
import type { Logger } from '../observability/logger.ts'
import type { TimerClock } from '../ports/clock.ts'
import type { CoordinatorPeer, CoordinatorPeers, InstanceReport, ReportAnswer } from '../ports/coordinatorPeer.ts'
import type { JobTargetConnector } from '../ports/jobTarget.ts'
import type { AdviceQuestion, AllowedTarget, PlacementAdvisor } from '../ports/placementAdvisor.ts'
import type { TargetDirectory } from '../ports/targetDirectory.ts'
import type { TransactionalStore } from '../ports/transactionalStore.ts'
import { unavailable } from './callerCall.ts'
import type { CallerCall, CoordinatorAnswer } from './callerCall.ts'
import { isConnectionRefused } from './connectionRefusal.ts'
import { collectAnswers } from './collectAnswers.ts'
import { RelayPool } from '../relay/relayPool.ts'
import { nameCandidates } from '../relay/selectRelays.ts'
import type { RelayCandidate } from '../relay/selectRelays.ts'
import { TargetRelay } from '../relay/targetRelay.ts'
import type { RelayAnswer, RelayBatch } from '../relay/relayMessages.ts'
import { PeerDirectory } from './peerDirectory.ts'
import type { KnownPeer } from './peerDirectory.ts'
import { PeersWithStore } from './peersWithStore.ts'

/**
 * Asking the advisor through a peer costs both instances about as much again as the question itself, and the answer
 * crosses the network.
 */
const LOCAL_LANE_FACTOR = 4
/** A round trip to another region takes 40 ms, and its traffic is billed. */
const REMOTE_REGION_LANE_FACTOR = 0.25
/** Interval of the heartbeats to the coordinator. */
const REPORT_INTERVAL_MS = 400
/** Time over which the instances spread their first reports to a new coordinator, which takes its relays from these. */
const FIRST_REPORT_SPREAD_MS = 100
/** Limits the time for which the calls of a batch wait for each other; a commit without load takes a tenth of it. */
const BATCH_ANSWER_TIMEOUT_MS = 200
/** The store counts as reachable if it has answered within this time, which exceeds one watch. */
const STORE_REACHABLE_MS = 2_500
/** Delay before another instance tries a recovery that failed; reads that the store does not answer are repeated before. */
const FAILED_RECOVERY_DELAY_MS = 2_000

export interface JobInstanceOptions {
  readonly instance: string
  /** Address at which the other instances reach this one. */
  readonly address: string
  readonly region: string
  /** Processors that this instance may use. */
  readonly processors: number
  /** Bandwidth of this instance's link, in megabits per second. */
  readonly bandwidthMbps: number
  readonly store: TransactionalStore
  readonly clock: TimerClock
  readonly logger: Logger
  readonly metrics?: JobMetrics
  readonly desired: DesiredStateWatcher
  readonly directory: TargetDirectory
  readonly connect: JobTargetConnector
  /** Returns the region of a data centre. */
  readonly regionOf: (dataCentre: string) => string
  readonly advisor: PlacementAdvisor
  readonly peers: CoordinatorPeers
  /** Read at each election. */
  readonly targetLeaseMs: () => number
  /** Retention period of the states of finished jobs; read at each election. */
  readonly finishedJobMs: () => number
  /** Factor for runs away from their data until it has been learned; read at each election, 1 if missing. */
  readonly remoteFactor?: () => number
  /** Whether submissions are judged by when they could end; read at each election, false if missing. */
  readonly admitsByExpectedEnd?: () => boolean
}

interface Term {
  readonly coordinator: JobCoordinator
  readonly intake: JobIntake
  readonly relays: RelayPool
}

export class JobInstance implements Component, CoordinatorPeer, ElectionListener {
  readonly name = 'job instance'
  readonly #options: JobInstanceOptions
  readonly #election: Election
  readonly #reporting: PeriodicTask
  readonly #preference: CoordinatorPreference
  readonly #peers: PeerDirectory
  readonly #peersWithStore: PeersWithStore
  readonly #relay: TargetRelay
  #term: Term | undefined
  #lanes: AdviceLanes | undefined
  #coordinatorUnresponsive = false
  /** Newest summary received from another instance. */
  #receivedDesiredState: DesiredStateSummary = { version: 0, maximumBodyBytes: 0 }
  /** `peersDigest` of the last answer that contained the known instances. */
  #receivedPeersDigest = ''
  /** Own view as the coordinator, or that of the last answer that contained it. */
  #relayCandidates: readonly RelayCandidate[] = []
  readonly #coordinatorListeners: (() => void)[] = []

  constructor (options: JobInstanceOptions) {
    this.#options = options
    const { store, clock, logger, instance, address, processors, bandwidthMbps } = options
    this.#peers = new PeerDirectory(clock)
    this.#peersWithStore = new PeersWithStore({ clock, candidates: () => this.#peers.alive, connect: address => options.peers.connect(address) })
    this.#relay = new TargetRelay({ clock, logger, connect: options.connect, latestFence: () => this.#election.coordinator?.fence ?? 0 })
    this.#preference = new CoordinatorPreference(clock, processors, bandwidthMbps)
    this.#election = new Election({ store, clock, logger, instance, address, listener: this, candidateDelayMs: () => this.#preference.candidateDelayMs })
    this.#reporting = new PeriodicTask('reports', clock, REPORT_INTERVAL_MS, async () => await this.#sendReport(),
      error => logger.error({ error: String(error) }, 'reporting to the coordinator failed'))
  }

  async start (): Promise<void> {
    await this.#election.start()
    await this.#reporting.start()
  }

  /** Ends the election before the term, so that a successor takes over while this instance still answers. */
  async stop (): Promise<void> {
    const reportingStopped = this.#reporting.stop()
    await this.#election.stop()
    this.#endTerm()
    await this.#relay.close()
    await reportingStopped
  }

  /** Hands the role of coordinator to another instance before a planned stop. */
  async stepDown (): Promise<void> {
    this.#relay.beginClosing()
    await this.#election.withdraw()
  }

  get coordinator (): CoordinatorInfo | undefined {
    return this.#election.coordinator
  }

  /** What is known of the desired state; its version never decreases. */
  get desiredState (): DesiredStateSummary {
    const { version, maximumBodyBytes } = this.#options.desired.state
    return version > this.#receivedDesiredState.version ? { version, maximumBodyBytes } : this.#receivedDesiredState
  }

  /** Number of known instances, including this one. */
  get knownInstanceCount (): number {
    return this.#peers.addresses.length + (this.#peers.has(this.#options.address) ? 0 : 1)
  }

  /** Whether this instance can serve calls now, as far as it knows. */
  get canServeCalls (): boolean {
    const { coordinator } = this.#election
    return coordinator !== undefined && (this.#term !== undefined || !this.#coordinatorUnresponsive)
  }

  /** Registers a listener that is called when the known coordinator changes or is lost. */
  onCoordinatorChange (listener: () => void): void {
    this.#coordinatorListeners.push(listener)
  }

  async handleAll (fence: number, calls: readonly CallerCall[]): Promise<readonly CoordinatorAnswer[]> {
    const term = this.#term
    if (term === undefined || term.coordinator.info.fence !== fence) return calls.map(() => unavailable('this instance does not coordinate'))
    return await collectAnswers(this.#options.clock, calls.map(async call => await term.intake.handle(call)), BATCH_ANSWER_TIMEOUT_MS)
  }

  async report (report: InstanceReport): Promise<ReportAnswer> {
    const { instance, processors, reachesStore } = report
    this.#preference.recordReport(instance, processors, reachesStore)
    if (this.#peers.recordReport(report)) this.#updateLanes()
    const digest = this.#peersDigest
    return {
      coordinator: this.#election.coordinator,
      desiredState: this.desiredState,
      ...(digest === report.peersDigest ? {} : { peers: [...this.#peers.addresses, this.#options.address], relayCandidates: this.#relayCandidates }),
      peersDigest: digest,
      largestProcessors: this.#preference.largest
    }
  }

  async release (lease: number): Promise<boolean> {
    try {
      await this.#options.store.endLease(lease)
      this.#options.logger.info({ lease }, 'ended the election lease of a coordinator that can not reach the store')
      return true
    } catch (error) {
      this.#options.logger.info({ lease, error: String(error) }, 'could not end the election lease of a coordinator: the store is not reachable from this instance either')
      return false
    }
  }

  async reachesStore (): Promise<boolean> {
    try {
      await this.#options.store.get(COORDINATOR_KEY)
      return true
    } catch (error) {
      this.#options.logger.info({ error: String(error) }, 'the store is not reachable from this instance either')
      return false
    }
  }

  async peerReachesStore (): Promise<boolean> {
    return await this.#peersWithStore.reachesStore()
  }

  async releaseThroughPeers (lease: number): Promise<boolean> {
    const released = await this.#peersWithStore.release(lease)
    if (!released) this.#options.logger.warn({ lease }, 'no other instance can reach the store')
    return released
  }

  /** Ends the election of a coordinator whose address refused a connection. */
  handleConnectionRefused (info: CoordinatorInfo): void {
    runInBackground(this.#election.endElectionOf(info), this.#options.logger, 'end of an election')
  }

  /** Number of jobs that were cancelled before they were submitted; undefined while another instance coordinates. */
  get earlyCancellations (): number | undefined {
    const coordinator = this.#term?.coordinator
    return coordinator?.ready === true ? coordinator.table.earlyCancellations.size : undefined
  }

  async advise (question: AdviceQuestion): Promise<readonly AllowedTarget[]> {
    return await this.#options.advisor.ask(question)
  }

  /** Figures of the run times and the forecast; undefined while another instance coordinates. */
  get forecastStatus (): ForecastStatus | undefined {
    return this.#term?.coordinator.forecastStatus
  }

  async relay (batch: RelayBatch): Promise<RelayAnswer> {
    return await this.#relay.exchange(batch)
  }

  async announce (coordinator: CoordinatorInfo): Promise<void> {
    this.#election.updateFromPeer(coordinator)
  }

  onElected (info: CoordinatorInfo): void {
    const options = this.#options
    const { clock, logger } = options
    this.#announceElection(info)
    const relays = this.#createRelayPool(info)
    this.#lanes = new AdviceLanes(clock)
    this.#updateLanes()
    options.desired.follow()
    const coordinator = new JobCoordinator({
      store: options.store,
      clock,
      logger,
      ...(options.metrics === undefined ? {} : { metrics: options.metrics }),
      info,
      connect: relays.connect,
      prepareConnections: async () => await relays.prepare(),
      directory: options.directory,
      desired: options.desired,
      lanes: this.#lanes,
      hasAuthority: () => this.#election.hasAuthority(),
      storeFails: () => this.#election.storeFails,
      confirmLeadership: async () => await this.#election.confirm(),
      renewElection: () => this.#election.renewNow(),
      resign: reason => runInBackground(this.#election.resign(reason, info.fence), logger, 'resignation'),
      targetLeaseMs: options.targetLeaseMs(),
      finishedJobMs: options.finishedJobMs(),
      remoteFactor: options.remoteFactor?.() ?? 1,
      admitsByExpectedEnd: options.admitsByExpectedEnd?.() ?? false
    })
    this.#term = { coordinator, intake: new JobIntake(coordinator, options.desired, clock, logger), relays }
    logger.info({ fence: info.fence }, 'elected as coordinator')
    coordinator.open().catch(error => {
      logger.error({ error: String(error), fence: info.fence }, 'start of the coordinator failed; resigning')
      runInBackground(this.#resignLater(info.fence), logger, 'resignation')
    })
  }

  async #resignLater (fence: number): Promise<void> {
    await this.#options.clock.sleep(FAILED_RECOVERY_DELAY_MS)
    await this.#election.resign('recovery failed', fence)
  }

  onLost (reason: string): void {
    this.#options.logger.warn({ reason }, 'not the coordinator any more')
    this.#endTerm()
  }

  onChanged (info: CoordinatorInfo | undefined): void {
    this.#coordinatorUnresponsive = false
    for (const listener of this.#coordinatorListeners) listener()
    if (info !== undefined) runInBackground(this.#reportSoon(), this.#options.logger, 'report to a new coordinator')
    this.#options.logger.info({ coordinator: info?.instance, fence: info?.fence }, info === undefined ? 'no coordinator is known' : 'coordinator known')
  }

  /** Instances that the store does not serve would learn of the election only from a peer that they happen to ask. */
  #announceElection (info: CoordinatorInfo): void {
    const { address: ownAddress, peers, logger } = this.#options
    for (const address of this.#peers.addresses) {
      if (address === ownAddress) continue
      peers.connect(address).announce(info).catch(error => logger.debug({ address, error: String(error) }, 'announcement of the election was not answered'))
    }
  }

  #createRelayPool ({ fence }: CoordinatorInfo): RelayPool {
    const { instance, clock, logger, connect, regionOf, peers } = this.#options
    return new RelayPool({
      instance,
      fence,
      clock,
      logger,
      connect,
      regionOf,
      expected: this.#relayCandidates.filter(({ address }) => address !== this.#options.address),
      exchange: async (address, batch) => await peers.connect(address).relay(batch),
      onSuperseded: () => this.#election.renewNow(),
      hasAuthority: () => this.#election.hasAuthority(),
      isEvacuated: dataCentre => this.#options.desired.evacuations.covers(dataCentre)
    })
  }

  #endTerm (): void {
    this.#term?.coordinator.close()
    this.#term?.relays.close()
    this.#term = undefined
    this.#options.desired.pause()
    this.#lanes = undefined
  }

  /** Orders the advice lanes: the own one first, since it needs no call to a peer, then peers by descending weight. */
  #updateLanes (): void {
    const { instance, advisor, peers, processors } = this.#options
    if (this.#lanes === undefined) return
    const throughPeers = this.#peers.alive.map((peer): LaneDescription => ({
      name: peer.instance,
      weight: this.#laneWeight(peer),
      advisor: { ask: async question => await peers.connect(peer.address).advise(question) }
    }))
    const candidates = this.#peers.alive.flatMap(({ address, report }): readonly RelayCandidate[] => report === undefined ? [] : [{ address, region: report.region, processors: report.processors }])
    this.#term?.relays.update(candidates)
    this.#relayCandidates = nameCandidates([...candidates, { address: this.#options.address, region: this.#options.region, processors }])
    this.#lanes.setLanes([{ name: instance, advisor, weight: processors * LOCAL_LANE_FACTOR }, ...throughPeers.sort((left, right) => right.weight - left.weight)])
  }

  /** Identifies the known instances and those named as relays, so that an answer repeats them only after a change. */
  get #peersDigest (): string {
    return `${this.#peers.digest}-${murmurhash.v3(this.#relayCandidates.map(({ address }) => address).join(' '))}`
  }

  #laneWeight ({ report }: KnownPeer): number {
    const { region, processors } = this.#options
    return (report?.processors ?? processors) * (report?.region === region ? 1 : REMOTE_REGION_LANE_FACTOR)
  }

  async #reportSoon (): Promise<void> {
    await this.#options.clock.sleep(Math.random() * FIRST_REPORT_SPREAD_MS)
    this.#reporting.runNow()
  }

  async #sendReport (): Promise<void> {
    const address = this.#selectReportRecipient()
    if (address !== undefined) await this.#sendReportTo(address)
    if (this.#term !== undefined && this.#preference.shouldHandOver()) await this.#election.resign('an instance with more processors is available')
    // An empty digest makes the next answer contain the known instances, among them those that were removed here only.
    if (this.#peers.evictSilent()) this.#receivedPeersDigest = ''
    this.#updateLanes()
  }

  /** The coordinator, or while it does not answer, a random peer that may know a newer one. */
  #selectReportRecipient (): string | undefined {
    const { coordinator } = this.#election
    if (coordinator !== undefined && !this.#coordinatorUnresponsive) {
      return coordinator.address === this.#options.address ? undefined : coordinator.address
    }
    this.#coordinatorUnresponsive = false
    const others = this.#peers.addresses.filter(address => address !== this.#options.address)
    return others[Math.floor(Math.random() * others.length)] ?? coordinator?.address
  }

  async #sendReportTo (address: string): Promise<void> {
    const { peers, logger } = this.#options
    try {
      const answer = await peers.connect(address).report(this.#createReport())
      if (answer.coordinator !== undefined) this.#election.updateFromPeer(answer.coordinator)
      this.#preference.updateLargestKnown(answer.largestProcessors)
      if (answer.desiredState.version > this.#receivedDesiredState.version) this.#receivedDesiredState = answer.desiredState
      if (answer.peers !== undefined) this.#peers.addAddresses(answer.peers)
      if (answer.relayCandidates !== undefined && this.#term === undefined) this.#relayCandidates = answer.relayCandidates
      this.#receivedPeersDigest = answer.peersDigest
    } catch (error) {
      const isCoordinator = address === this.#election.coordinator?.address
      const { coordinator } = this.#election
      if (isCoordinator) this.#coordinatorUnresponsive = true
      if (isCoordinator && coordinator !== undefined && isConnectionRefused(error)) this.handleConnectionRefused(coordinator)
      logger.info({ address, coordinator: isCoordinator, error: error instanceof Error ? error.message : String(error) }, 'report to a peer failed')
    }
  }

  #createReport (): InstanceReport {
    const { instance, address, region, processors } = this.#options
    return { instance, address, region, processors, peersDigest: this.#receivedPeersDigest, reachesStore: this.#election.storeAnswerAgeMs < STORE_REACHABLE_MS }
  }
}
