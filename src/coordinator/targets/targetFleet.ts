/** Manages the sessions of all targets during one term of a coordinator. */
import { PeriodicTask } from '../../lifecycle/periodicTask.ts'
import { runInBackground } from '../../lifecycle/runInBackground.ts'
import type { TargetDescription } from '../../jobs/jobRecords.ts'
import { targetKey } from '../../jobs/jobTable.ts'
import type { Logger } from '../../observability/logger.ts'
import type { Clock } from '../../ports/clock.ts'
import type { PlacedTargetConnector } from '../../ports/jobTarget.ts'
import type { ListedTarget, TargetDirectory } from '../../ports/targetDirectory.ts'
import type { Assignment } from './assignment.ts'
import type { Outage } from './crashEvidence.ts'
import { AUTHORITY_GRACE_MS } from '../log/election.ts'
import type { TargetListener } from './targetListener.ts'
import type { Evacuations } from './evacuations.ts'
import { StartsInTransit } from './startsInTransit.ts'
import type { ExpiringStartRequest } from './startsInTransit.ts'
import { TargetFence } from './targetFence.ts'
import { TargetSession } from './targetSession.ts'
import type { PlacedAssignment } from '../placement/waitReport.ts'

/** Interval between reads of the target list; a draining target is noticed well within its 2.5 s. */
const DIRECTORY_INTERVAL_MS = 500
/**
 * Maximum time that a new coordinator waits for targets to answer before it places tasks on those that did: three round
 * trips to another region. Runs on the others are known from the log.
 */
const JOIN_WAIT_MS = 150
const JOIN_POLL_MS = 20

export interface TargetFleetOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly connect: PlacedTargetConnector
  readonly directory: TargetDirectory
  readonly listener: TargetListener
  readonly fencingToken: number
  /** Highest revision of the store that this coordinator is known to have written. */
  readonly latestRevision: () => number
  readonly targetLeaseMs: number
  readonly hasAuthority: () => boolean
  /** The evacuations in force now. */
  readonly evacuations: () => Evacuations
  /** Start of the term, on this process's clock. */
  readonly termStartedAtMs: number
}

/** An answer of the target list. */
interface Listing {
  readonly requestedMs: number
  /** Start times of the listed incarnations, by target identity. */
  readonly incarnations: ReadonlyMap<string, ReadonlySet<number>>
}

/**
 * Opens a session for each recorded and each listed incarnation of a target.
 *
 * @example
 * const fleet = new TargetFleet(options)
 * fleet.openRecorded(description)
 * await fleet.start()
 */
export class TargetFleet {
  readonly #options: TargetFleetOptions
  readonly #sessions = new Map<string, TargetSession>()
  readonly #sessionsById = new Map<string, readonly TargetSession[]>()
  /** Keys of the target incarnations recorded in the log; only these get tasks. */
  readonly #recorded = new Set<string>()
  /** By target identity. Kept for the whole term, since requests of ended sessions may still be answered. */
  readonly #fences = new Map<string, TargetFence>()
  readonly #starts = new Map<string, StartsInTransit>()
  readonly #directory: PeriodicTask
  #listing: Listing = { requestedMs: -Infinity, incarnations: new Map() }
  #closed = false

  constructor (options: TargetFleetOptions) {
    this.#options = options
    this.#directory = new PeriodicTask('target directory', options.clock, DIRECTORY_INTERVAL_MS,
      async () => {
        const requestedMs = options.clock.monotonicMs()
        this.#applyListing(await options.directory.list(), requestedMs)
      },
      error => options.logger.debug({ error: String(error) }, 'failed to read the target list'))
  }

  get (key: string): TargetSession | undefined {
    return this.#sessions.get(key)
  }

  /** Sessions whose targets may get new tasks. */
  get usable (): readonly TargetSession[] {
    const usable: TargetSession[] = []
    /** Targets on which runs of an earlier incarnation may remain, so that the current one has less capacity than it reports. */
    const occupied = new Set<string>()
    const nowMs = this.#options.clock.monotonicMs()
    for (const session of this.#sessions.values()) {
      if (session.ended || this.#isReplaced(session)) {
        if (session.mayHaveRunsOnNextIncarnation) occupied.add(session.id)
      } else if (session.isUsableAt(nowMs) && this.#recorded.has(session.key)) {
        usable.push(session)
      }
    }
    return occupied.size === 0 ? usable : usable.filter(({ id }) => !occupied.has(id))
  }

  get sessions (): readonly TargetSession[] {
    return [...this.#sessions.values()]
  }

  /** Number of the service's targets in evacuated data centres. */
  countEvacuated (service: string): number {
    return this.sessions.filter(session => !session.ended && session.evacuated && session.description.service === service).length
  }

  /** All assignments with their sessions. */
  get placed (): readonly PlacedAssignment[] {
    return [...this.#sessions.values()].flatMap(session => [...session.assignments.values()].map(assignment => ({ session, assignment })))
  }

  /** The starts that were given up, or that earlier coordinators may have sent, and that may still be executed. */
  get expiringStarts (): readonly ExpiringStartRequest[] {
    return [...this.#starts.values()].flatMap(({ expiring }) => expiring)
  }

  /** Outages of the targets that do not answer now. */
  get outages (): readonly Outage[] {
    return [...this.#sessions.values()].flatMap(({ outage }) => outage ?? [])
  }

  /**
   * Whether another incarnation of the same target may be later. Incarnations are ordered by their reports: one that reported on a
   * request sent after a report of the other had arrived is the later one. The times at which they started come from a wall clock.
   */
  #isReplaced (session: TargetSession): boolean {
    const { id, description: { bornMs }, lastReport: { requestedMs } } = session
    const listed = this.#listing.incarnations.get(id)
    if (listed !== undefined && !listed.has(bornMs) && requestedMs < this.#listing.requestedMs) return true
    return this.#otherSessions(session).some(other => !other.ended && other.lastReport.arrivedMs >= requestedMs && other.joined)
  }

  #otherSessions (session: TargetSession): readonly TargetSession[] {
    const sessions = this.#sessionsById.get(session.id) ?? []
    return sessions.length > 1 ? sessions.filter(other => other !== session) : []
  }

  /** Opens the session of an incarnation recorded in the log, on which tasks of earlier terms may run. */
  openRecorded (description: TargetDescription): void {
    this.#recorded.add(targetKey(description))
    this.#open(description, this.#options.termStartedAtMs + AUTHORITY_GRACE_MS)
  }

  /** Starts all sessions and the polling of the target list. */
  async start (): Promise<void> {
    for (const session of this.#sessions.values()) this.#run(session)
    await this.#directory.start()
  }

  /** Resolves when every target has answered, or after `JOIN_WAIT_MS`. */
  async awaitJoins (): Promise<void> {
    const { clock } = this.#options
    const untilMs = clock.monotonicMs() + JOIN_WAIT_MS
    while (!this.#closed && clock.monotonicMs() < untilMs) {
      const sessions = [...this.#sessions.values()]
      if (sessions.length > 0 && sessions.every(session => session.joined)) return
      await clock.sleep(JOIN_POLL_MS)
    }
  }

  isRecorded (session: TargetSession): boolean {
    return this.#recorded.has(session.key)
  }

  /**
   * Ends the sessions of earlier incarnations of a target that has reported: what they send, the reported one would execute. A
   * recorded incarnation has reported to an earlier coordinator.
   */
  endEarlierIncarnations (session: TargetSession): void {
    const { requestedMs } = session.lastReport
    for (const other of this.#otherSessions(session)) {
      if (other.joined ? other.lastReport.arrivedMs < requestedMs : this.isRecorded(other)) other.endReplaced()
    }
  }

  /** Marks the incarnation as recorded in the log. */
  markRecorded (session: TargetSession): void {
    this.#recorded.add(session.key)
  }

  /** Removes an ended incarnation; returns true if it is recorded in the log. */
  remove (session: TargetSession): boolean {
    this.#sessions.delete(session.key)
    const others = this.#otherSessions(session)
    if (others.length === 0) this.#sessionsById.delete(session.id)
    else this.#sessionsById.set(session.id, others)
    return this.#recorded.delete(session.key)
  }

  /** Stops the matching runs whose start has been requested. */
  stopRuns (matches: (assignment: Assignment) => boolean): void {
    for (const session of this.#sessions.values()) {
      for (const assignment of session.assignments.values()) {
        if (matches(assignment)) runInBackground(session.stop(assignment), this.#options.logger, 'stop of a run')
      }
    }
  }

  close (): void {
    this.#closed = true
    runInBackground(this.#directory.stop(), this.#options.logger, 'end of the target directory')
    for (const session of this.#sessions.values()) session.close()
  }

  #applyListing (listed: readonly ListedTarget[], requestedMs: number): void {
    if (this.#closed) return
    this.#listing = { requestedMs, incarnations: groupIncarnations(listed) }
    const byKey = new Map(listed.map(target => [targetKey(target), target]))
    for (const [key, target] of byKey) {
      if (!this.#sessions.has(key)) this.#run(this.#open(target, -Infinity))
    }
    for (const session of this.#sessions.values()) {
      session.updateListing(byKey.get(session.key))
    }
    this.#options.listener.stateChanged()
  }

  #open (target: TargetDescription, priorLeasesExtendedUntilMs: number): TargetSession {
    const { id, bornMs, address, service, dataCentre, capacity, labels } = target
    const { clock, logger, connect, listener, targetLeaseMs, hasAuthority, evacuations } = this.#options
    const session: TargetSession = new TargetSession({
      description: { id, bornMs, address, service, dataCentre, capacity, labels },
      client: connect(address, { id, bornMs }, dataCentre),
      clock,
      logger,
      listener,
      fence: this.#openFence(id),
      starts: this.#openStarts(id),
      leaseMs: targetLeaseMs,
      hasAuthority,
      isReplaced: () => this.#isReplaced(session),
      isEvacuated: () => evacuations().covers(dataCentre),
      priorLeasesExtendedUntilMs
    })
    this.#logOpenSessions(session)
    this.#sessions.set(session.key, session)
    this.#sessionsById.set(id, [...this.#sessionsById.get(id) ?? [], session])
    return session
  }

  #logOpenSessions ({ id, description: { bornMs } }: TargetSession): void {
    const open = (this.#sessionsById.get(id) ?? []).filter(({ ended }) => !ended).map(session => ({ bornMs: session.description.bornMs, joined: session.joined, runs: session.assignments.size }))
    if (open.length === 0) return
    this.#options.logger.info({ target: id, bornMs, listedBornMs: [...this.#listing.incarnations.get(id) ?? []], open }, 'opening another session of a target')
  }

  /** The sessions of earlier incarnations have sent requests that the next one must refuse. */
  #openFence (id: string): TargetFence {
    const { fencingToken, latestRevision } = this.#options
    const fence = this.#fences.get(id) ?? new TargetFence(fencingToken, latestRevision)
    this.#fences.set(id, fence)
    fence.raiseBeforeNextRequest()
    return fence
  }

  #openStarts (id: string): StartsInTransit {
    const starts = this.#starts.get(id) ?? new StartsInTransit(this.#options.clock)
    this.#starts.set(id, starts)
    return starts
  }

  #run (session: TargetSession): void {
    runInBackground(session.run(), this.#options.logger, 'target session')
  }
}

function groupIncarnations (listed: readonly ListedTarget[]): Listing['incarnations'] {
  const incarnations = new Map<string, Set<number>>()
  for (const { id, bornMs } of listed) incarnations.set(id, (incarnations.get(id) ?? new Set()).add(bornMs))
  return incarnations
}
