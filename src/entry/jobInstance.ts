/** One instance in the cluster of job schedulers: takes calls, and coordinates while it is elected. */
import { AdviceLanes } from '../coordinator/adviceLanes.ts'
import type { LaneDescription } from '../coordinator/adviceLanes.ts'
import { COORDINATOR_KEY, Election } from '../coordinator/election.ts'
import type { CoordinatorInfo, ElectionListener } from '../coordinator/election.ts'
import { JobCoordinator } from '../coordinator/jobCoordinator.ts'
import { JobIntake } from '../coordinator/jobIntake.ts'
import { CoordinatorPreference } from '../coordinator/coordinatorPreference.ts'
import type { Component } from '../lifecycle/component.ts'
import { PeriodicTask } from '../lifecycle/periodicTask.ts'
import { runInBackground } from '../lifecycle/runInBackground.ts'
import type { Logger } from '../observability/logger.ts'
import type { TimerClock } from '../ports/clock.ts'
import type { CoordinatorPeer, CoordinatorPeers, InstanceReport, ReportAnswer } from '../ports/coordinatorPeer.ts'
import type { JobTargetConnector } from '../ports/jobTarget.ts'
import type { AdviceQuestion, AllowedTarget, PlacementAdvisor } from '../ports/placementAdvisor.ts'
import type { TargetDirectory } from '../ports/targetDirectory.ts'
import type { TransactionalStore } from '../ports/transactionalStore.ts'
import { unavailable } from './callerCall.ts'
import type { CallerCall, CoordinatorAnswer } from './callerCall.ts'
import { wasRefused } from './connectionRefusal.ts'
import { collectAnswers } from './collectAnswers.ts'
import type { DesiredStateWatcher } from './desiredStateWatcher.ts'
import { PeerDirectory } from './peerDirectory.ts'
import type { KnownPeer } from './peerDirectory.ts'

/** A question through a peer costs both about as much again as the question itself, and the answer passes a link. */
const OWN_LANE_FACTOR = 4
/** The way to another region takes 40 ms, and its bytes are paid for. */
const REMOTE_LANE_FACTOR = 0.25
/** Between two heartbeats to the coordinator. */
const REPORT_INTERVAL_MS = 400
/** A calm commit takes a tenth of it; callers of one batch wait that long for each other at most. */
const LONGEST_ANSWER_MS = 200
/** A desired state that was confirmed within this time shows that the store can be reached; one watch, and more. */
const STORE_REACHED_MS = 2_500

export interface JobInstanceOptions {
  readonly instance: string
  /** Where the other instances reach this one. */
  readonly address: string
  readonly region: string
  /** Processors that this instance may use. */
  readonly processors: number
  readonly store: TransactionalStore
  readonly clock: TimerClock
  readonly logger: Logger
  readonly desired: DesiredStateWatcher
  readonly directory: TargetDirectory
  readonly connect: JobTargetConnector
  readonly advisor: PlacementAdvisor
  readonly peers: CoordinatorPeers
  /** Read at each election. */
  readonly targetLeaseMs: () => number
  /** How long the state of a finished job is known; read at each election. */
  readonly finishedJobMs: () => number
}

interface Term {
  readonly coordinator: JobCoordinator
  readonly intake: JobIntake
}

export class JobInstance implements Component, CoordinatorPeer, ElectionListener {
  readonly name = 'job instance'
  readonly #options: JobInstanceOptions
  readonly #election: Election
  readonly #reporting: PeriodicTask
  readonly #preference: CoordinatorPreference
  readonly #peers: PeerDirectory
  #term: Term | undefined
  #lanes: AdviceLanes | undefined
  #coordinatorSilent = false
  readonly #coordinatorListeners: (() => void)[] = []

  constructor (options: JobInstanceOptions) {
    this.#options = options
    const { store, clock, logger, instance, address, processors } = options
    this.#peers = new PeerDirectory(clock)
    this.#preference = new CoordinatorPreference(clock, processors)
    this.#election = new Election({ store, clock, logger, instance, address, listener: this, candidateDelayMs: () => this.#preference.candidateDelayMs })
    this.#reporting = new PeriodicTask('reports', clock, REPORT_INTERVAL_MS, async () => await this.#report(),
      error => logger.error({ error: String(error) }, 'a report failed'))
  }

  async start (): Promise<void> {
    await this.#election.start()
    await this.#reporting.start()
  }

  /** Gives the office up first, so that a successor takes over while this instance still answers. */
  async stop (): Promise<void> {
    const reported = this.#reporting.stop()
    await this.#election.stop()
    this.#endTerm()
    await reported
  }

  /** Begins a planned stop: another instance coordinates from now on. */
  async withdraw (): Promise<void> {
    await this.#election.withdraw()
  }

  get coordinator (): CoordinatorInfo | undefined {
    return this.#election.coordinator
  }

  /** Instances that are known, with this one. */
  get knownInstances (): number {
    return this.#peers.addresses.length + (this.#peers.has(this.#options.address) ? 0 : 1)
  }

  /** Whether this instance could serve a call now, as far as it knows. */
  get connected (): boolean {
    const { coordinator } = this.#election
    return coordinator !== undefined && (this.#term !== undefined || !this.#coordinatorSilent)
  }

  /** Calls the listener when another coordinator, or none, is known. */
  watchCoordinator (listener: () => void): void {
    this.#coordinatorListeners.push(listener)
  }

  async handleAll (fence: number, calls: readonly CallerCall[]): Promise<readonly CoordinatorAnswer[]> {
    const term = this.#term
    if (term === undefined || term.coordinator.info.fence !== fence) return calls.map(() => unavailable('this instance does not coordinate'))
    return await collectAnswers(this.#options.clock, calls.map(async call => await term.intake.handle(call)), LONGEST_ANSWER_MS)
  }

  async report (report: InstanceReport): Promise<ReportAnswer> {
    const { instance, desiredStateVersion, processors, reachesStore } = report
    this.#preference.recordReport(instance, processors, reachesStore)
    this.#peers.noteReport(report)
    this.#updateLanes()
    const { text } = this.#options.desired
    return {
      coordinator: this.#election.coordinator,
      ...(text.version > desiredStateVersion ? { desiredState: text } : {}),
      peers: [...this.#peers.addresses, this.#options.address],
      largestProcessors: this.#preference.largest
    }
  }

  async release (lease: number): Promise<boolean> {
    try {
      await this.#options.store.endLease(lease)
      this.#options.logger.info({ lease }, 'ended the election of a coordinator that can not reach the store')
      return true
    } catch (error) {
      this.#options.logger.info({ lease, error: String(error) }, 'could not end an election: the store does not answer here either')
      return false
    }
  }

  async reachesStore (): Promise<boolean> {
    try {
      await this.#options.store.get(COORDINATOR_KEY)
      return true
    } catch (error) {
      this.#options.logger.info({ error: String(error) }, 'the store does not answer here either')
      return false
    }
  }

  async peerReachesStore (): Promise<boolean> {
    const { peers } = this.#options
    const answers = this.#peers.alive.map(async ({ address }) => {
      if (!await peers.connect(address).reachesStore()) throw new Error('not reached')
    })
    return await Promise.any(answers).then(() => true, () => false)
  }

  async releaseThroughPeers (lease: number): Promise<boolean> {
    const { peers, logger } = this.#options
    const { alive } = this.#peers
    const answers = alive.map(async ({ address }) => {
      if (!await peers.connect(address).release(lease)) throw new Error('not released')
    })
    try {
      await Promise.any(answers)
      return true
    } catch {
      logger.warn({ asked: alive.length, lease }, 'no other instance reaches the store')
      return false
    }
  }

  /** A call to the coordinator found nobody listening there. */
  noteRefused (info: CoordinatorInfo): void {
    runInBackground(this.#election.endElectionOf(info), this.#options.logger, 'end of an election')
  }

  async advise (question: AdviceQuestion): Promise<readonly AllowedTarget[]> {
    return await this.#options.advisor.ask(question)
  }

  onElected (info: CoordinatorInfo): void {
    const options = this.#options
    const { clock, logger } = options
    this.#lanes = new AdviceLanes(clock)
    this.#updateLanes()
    const coordinator = new JobCoordinator({
      store: options.store,
      clock,
      logger,
      info,
      connect: options.connect,
      directory: options.directory,
      desiredState: () => options.desired.state,
      lanes: this.#lanes,
      hasAuthority: () => this.#election.hasAuthority(),
      storeFails: () => this.#election.storeFails,
      confirmLeadership: async () => await this.#election.confirm(),
      resign: reason => runInBackground(this.#election.resign(reason), logger, 'resignation'),
      targetLeaseMs: options.targetLeaseMs(),
      finishedJobMs: options.finishedJobMs()
    })
    this.#term = { coordinator, intake: new JobIntake(coordinator, options.desired, clock, logger) }
    logger.info({ fence: info.fence }, 'elected as coordinator')
    coordinator.open().catch(error => {
      logger.error({ error: String(error), fence: info.fence }, 'the coordinator could not take over')
      runInBackground(this.#election.resign('recovery failed'), logger, 'resignation')
    })
  }

  onLost (reason: string): void {
    this.#options.logger.warn({ reason }, 'not the coordinator any more')
    this.#endTerm()
  }

  onChanged (info: CoordinatorInfo | undefined): void {
    this.#coordinatorSilent = false
    for (const listener of this.#coordinatorListeners) listener()
    this.#options.logger.info({ coordinator: info?.instance, fence: info?.fence }, info === undefined ? 'no coordinator is known' : 'coordinator known')
  }

  #endTerm (): void {
    this.#term?.coordinator.close()
    this.#term = undefined
    this.#lanes = undefined
  }

  /** The coordinator's own lane comes first, since its questions need no call to a peer; large instances nearby follow. */
  #updateLanes (): void {
    const { instance, advisor, peers, processors } = this.#options
    if (this.#lanes === undefined) return
    const throughPeers = this.#peers.alive.map((peer): LaneDescription => ({
      name: peer.instance,
      weight: this.#laneWeight(peer),
      advisor: { ask: async question => await peers.connect(peer.address).advise(question) }
    }))
    this.#lanes.setLanes([{ name: instance, advisor, weight: processors * OWN_LANE_FACTOR }, ...throughPeers.sort((left, right) => right.weight - left.weight)])
  }

  #laneWeight ({ report }: KnownPeer): number {
    const { region, processors } = this.#options
    return (report?.processors ?? processors) * (report?.region === region ? 1 : REMOTE_LANE_FACTOR)
  }

  async #report (): Promise<void> {
    const address = this.#nextListener()
    if (address !== undefined) await this.#reportTo(address)
    if (this.#term?.coordinator.ready === true && this.#preference.shouldHandOver()) await this.#election.resign('an instance with more processors is there')
    this.#peers.forgetSilent()
    this.#updateLanes()
  }

  /** The coordinator, or any peer that may know a newer one while it is silent. */
  #nextListener (): string | undefined {
    const { coordinator } = this.#election
    if (coordinator !== undefined && !this.#coordinatorSilent) {
      return coordinator.address === this.#options.address ? undefined : coordinator.address
    }
    this.#coordinatorSilent = false
    const others = this.#peers.addresses.filter(address => address !== this.#options.address)
    return others[Math.floor(Math.random() * others.length)] ?? coordinator?.address
  }

  async #reportTo (address: string): Promise<void> {
    const { peers, desired, logger } = this.#options
    try {
      const answer = await peers.connect(address).report(this.#describe())
      if (answer.coordinator !== undefined) this.#election.updateFromPeer(answer.coordinator)
      this.#preference.updateLargestKnown(answer.largestProcessors)
      if (answer.desiredState !== undefined) desired.learn(answer.desiredState, address)
      this.#peers.learn(answer.peers)
    } catch (error) {
      const silent = address === this.#election.coordinator?.address
      const { coordinator } = this.#election
      if (silent) this.#coordinatorSilent = true
      if (silent && coordinator !== undefined && wasRefused(error)) this.noteRefused(coordinator)
      logger.info({ address, coordinator: silent, error: error instanceof Error ? error.message : String(error) }, 'a peer did not answer')
    }
  }

  #describe (): InstanceReport {
    const { instance, address, region, processors, desired } = this.#options
    return { instance, address, region, processors, desiredStateVersion: desired.state.version, reachesStore: desired.ageMs < STORE_REACHED_MS }
  }
}
