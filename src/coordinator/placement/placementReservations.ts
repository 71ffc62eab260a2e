/** Reservations of places for gangs and large tasks, which steps with small tasks would keep from starting otherwise. */
import type { TeamSettings } from '../../jobs/desiredState.ts'
import type { JobProgress } from '../../jobs/jobProgress.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import type { Logger } from '../../observability/logger.ts'
import type { RoomForecast } from '../forecast/roomForecast.ts'
import type { TargetSession } from '../targets/targetSession.ts'
import type { BlockedSteps } from './blockedSteps.ts'
import type { KeptCapacity } from './keptCapacity.ts'
import { isUrgent, objectiveMs, slackMs } from './jobRanking.ts'
import type { RankingRunTimes } from './jobRanking.ts'
import type { PlacementPass } from './placementPass.ts'
import { countFitting, requiredResources } from './placeStep.ts'
import type { ComputeResources, TargetAvailability } from './placeStep.ts'
import { listRooms, planReservation } from './reservationPlanner.ts'
import type { ExpectedRelease, ReservationPlan } from './reservationPlanner.ts'
import { ALL_ROOM, scaleCompute, UnheldRoom } from './roomView.ts'
import type { HeldRoom, RoomView } from './roomView.ts'
import type { TeamUsage } from './teamUsage.ts'
import type { PlacedAssignment } from './waitReport.ts'

/** Until then a step may find capacity by itself. */
const MIN_WAIT_MS = 300
/** Part of the processors of a service that all its reservations hold together. */
const MAX_HELD_RATIO = 1 / 3
/** A task that needs more than this part of the mean target, or of its team's cap, is kept from starting by smaller ones. */
const LARGE_TASK_RATIO = 0.5
/**
 * Longest expected wait for which the cap of a team drains, since its narrow jobs have nothing running meanwhile. Places
 * on targets are reserved for longer if the job is of use then. The renewed expected start is at least as far away: with
 * only as long again as the first wait, some large tasks beside run times that are off did not start within 7 s.
 */
const MAX_DRAIN_MS = 3_000
/** A report, a commit and a pass later than the last end of a run, the step is started. */
const START_DELAY_MS = 350
/** A plan examines all targets, and many steps may wait that can not get places. */
const MAX_ATTEMPTS_PER_PASS = 2
/** The next attempts are those of other steps. */
const RETRY_DELAY_MS = 250
/** Part of the runs of a step that end before the expected start, if it uses reserved places. Urgent runs are short, so that their mean is used. */
const BACKFILL_QUANTILE = 0.9

export type ReservationEnd = 'started' | 'given-up' | 'not-needed'

export interface PlacementReservationsOptions {
  readonly logger: Logger
  readonly runTimes: RankingRunTimes
  readonly forecast: Pick<RoomForecast, 'remainingMs'>
  readonly usage: TeamUsage
  /** The steps that wait behind reservations or kept targets. */
  readonly blocked: BlockedSteps
  readonly describe: (step: StepProgress, target: TargetSession) => TargetAvailability
  /** Whether the step may run on the target as far as is known; false until advice that it needs has been given. */
  readonly permits: (step: StepProgress, target: TargetSession) => boolean
  readonly placed: () => readonly PlacedAssignment[]
  readonly onEnded: (end: ReservationEnd, heldMs: number) => void
}

/** `targets`: places on targets. `cap`: a part of the cap of the step's team. */
type Scope = 'targets' | 'cap'

interface Reservation extends HeldRoom {
  readonly step: StepProgress
  readonly scope: Scope
  readonly service: string
  readonly createdAtMs: number
  places: ReadonlyMap<TargetSession, ComputeResources>
  /** Part of the cap. */
  share: ComputeResources
  expectedStartMs: number
  /** When the start is overdue. */
  deadlineMs: number
  renewed: boolean
  /** Whether the holder was of use in the last full pass. */
  isOfUse: boolean
}

const NOTHING: ComputeResources = { processors: 0, memory: 0, accelerators: 0 }

/**
 * At most one reservation of places is held for each service and priority, and at most one part of the cap for each team.
 * They are state of one process: a successor makes its own.
 *
 * Handles a service that smaller tasks keep full, so that what is released never suffices for a gang or a large task.
 *
 * @example
 * reservations.renew(pass, nowMs)
 * const room = reservations.roomOf(step, queue.service, nowMs)
 * if (place(step, room) === 0) reservations.request(step, 'targets', pass, nowMs)
 * else reservations.recordStart(step, nowMs)
 */
export class PlacementReservations {
  readonly #options: PlacementReservationsOptions
  /** By service and priority, or by team. */
  readonly #reservations = new Map<string, Reservation>()
  /** Plans made in this pass for steps without a reservation, by service and priority, or by team. */
  readonly #attempts = new Map<string, number>()
  /** Steps that gave a reservation up, and until when they get no other one. */
  readonly #suspendedUntilMs = new Map<StepProgress, number>()
  /** Steps that could not get a reservation, and when the next attempt is made. */
  readonly #retryAtMs = new Map<StepProgress, number>()
  /** Expected releases of the targets, read once in a pass. */
  #releases = new Map<TargetSession, readonly ExpectedRelease[]>()
  /** Views of the room, by the reservations that they leave out; valid until the next full pass chooses the places again. */
  readonly #views = new Map<string, RoomView>()
  #nextId = 1

  constructor (options: PlacementReservationsOptions) {
    this.#options = options
  }

  /** Updates all reservations to the targets and runs of a full pass. */
  renew (pass: PlacementPass, nowMs: number): void {
    this.#releases = new Map()
    this.#views.clear()
    this.#attempts.clear()
    for (const delays of [this.#suspendedUntilMs, this.#retryAtMs]) for (const [step, untilMs] of delays) if (nowMs >= untilMs || step.job.outcome !== undefined) delays.delete(step)
    for (const [key, reservation] of this.#reservations) this.#renew(key, reservation, pass, nowMs)
  }

  /** Whether there are reservations. */
  get active (): boolean {
    return this.#reservations.size > 0
  }

  /** The targets with reserved places, and for whom and until when they are reserved. */
  listKept (nowMs: number): readonly KeptCapacity[] {
    return [...this.#reservations.values()].flatMap(({ step, places, createdAtMs, deadlineMs }) =>
      [...places.keys()].map((target): KeptCapacity => ({ keeper: 'reservation', target: target.id, job: step.job.id, keptMs: Math.round(nowMs - createdAtMs), endsInMs: Math.round(deadlineMs - nowMs) })))
  }

  /** What the step may use of the free capacity of its service. */
  roomOf (step: StepProgress, service: string, nowMs: number): RoomView {
    const binding: Reservation[] = []
    for (const each of this.#reservations.values()) if (each.scope === 'targets' && each.service === service && this.#binds(each, step, nowMs)) binding.push(each)
    return binding.length === 0 ? ALL_ROOM : this.#viewWithout(binding)
  }

  #viewWithout (held: readonly Reservation[]): RoomView {
    const key = held.map(({ id }) => id).join(' ')
    const view = this.#views.get(key) ?? new UnheldRoom(held)
    this.#views.set(key, view)
    return view
  }

  /** Part of the cap of its team that the step may not use; undefined if there is none. */
  heldShare (step: StepProgress, nowMs: number): ComputeResources | undefined {
    const reservation = this.#reservations.get(teamKey(step))
    return reservation === undefined || isUrgent(step) || !this.#binds(reservation, step, nowMs) ? undefined : reservation.share
  }

  /**
   * Makes a reservation for a step that can not start, if it is eligible and no other step has one in its place. Returns
   * false if the permitted targets would not hold the step even if they were empty.
   */
  request (step: StepProgress, scope: Scope, pass: PlacementPass, nowMs: number): boolean {
    const { job } = step
    const { service } = pass.queue(job.queue)
    const key = scope === 'cap' ? teamKey(step) : classKey(step, service)
    if (this.#reservations.has(key) || this.#suspendedUntilMs.has(step) || this.#retryAtMs.has(step) || nowMs - job.acceptedAtMs < MIN_WAIT_MS || !this.#isEligible(step, scope, pass)) return true
    const reservation: Reservation = {
      id: this.#nextId++, step, scope, service, createdAtMs: nowMs, places: new Map(), share: NOTHING, expectedStartMs: nowMs, deadlineMs: Infinity, renewed: false, isOfUse: isOfUse(step, nowMs, this.#options.runTimes)
    }
    const attempts = this.#attempts.get(key) ?? 0
    if (attempts >= MAX_ATTEMPTS_PER_PASS) return true
    this.#attempts.set(key, attempts + 1)
    const isPlanned = this.#plan(reservation, pass, nowMs)
    if (!isPlanned || !isWorthWaiting(reservation, nowMs, this.#options.runTimes)) {
      this.#retryAtMs.set(step, nowMs + RETRY_DELAY_MS)
      return isPlanned
    }
    reservation.deadlineMs = reservation.expectedStartMs + START_DELAY_MS
    this.#reservations.set(key, reservation)
    return true
  }

  /** Lets a step that could not get a reservation try again in the next pass, since further targets may be permitted. */
  retry (step: StepProgress): void {
    this.#retryAtMs.delete(step)
  }

  /** Ends the reservations of a step of which tasks were placed. */
  recordStart (step: StepProgress, nowMs: number): void {
    for (const [key, reservation] of this.#reservations) if (reservation.step === step) this.#end(key, reservation, 'started', nowMs)
  }

  /** The reservations that the step waits behind. */
  explainBlocked (step: StepProgress, nowMs: number): Readonly<Record<string, unknown>> | undefined {
    if (!this.#options.blocked.has(step)) return undefined
    const binding = [...this.#reservations.values()].filter(each => this.#binds(each, step, nowMs))
    return { reservedFor: binding.map(each => [each.step.name, each.scope, Math.round(each.expectedStartMs - nowMs)]) }
  }

  #isEligible ({ definition, job }: StepProgress, scope: Scope, pass: PlacementPass): boolean {
    if (!job.record.withinShare) return false
    if (definition.gang && definition.count > 1) return true
    const size = requiredResources(definition)
    if (scope === 'targets') return isLarge(size, pass.meanCapacity(pass.queue(job.queue).service))
    const team = pass.team(job.team)
    return team !== undefined && isLarge(size, team.cap)
  }

  #renew (key: string, reservation: Reservation, pass: PlacementPass, nowMs: number): void {
    const { step } = reservation
    if (step.job.outcome !== undefined || step.waiting.length === 0 || step.suspectedTasks.length > 0) return this.#end(key, reservation, 'not-needed', nowMs)
    if (!mayEverStart(step, pass) || !this.#plan(reservation, pass, nowMs)) return this.#end(key, reservation, 'given-up', nowMs)
    if (nowMs <= reservation.deadlineMs) return
    if (reservation.renewed || !isWorthWaiting(reservation, nowMs, this.#options.runTimes)) return this.#end(key, reservation, 'given-up', nowMs)
    reservation.renewed = true
    // The first estimate was too low, so that another target may have to be emptied from the beginning.
    const startMs = Math.max(reservation.expectedStartMs, nowMs + MAX_DRAIN_MS)
    reservation.deadlineMs = startMs + START_DELAY_MS
  }

  /** Chooses the places, which may be others than before; returns false if there are none. */
  #plan (reservation: Reservation, pass: PlacementPass, nowMs: number): boolean {
    const plan = reservation.scope === 'cap' ? this.#planShare(reservation, pass) : this.#planPlaces(reservation, pass)
    if (plan === undefined) return false
    reservation.expectedStartMs = nowMs + plan.startInMs
    reservation.isOfUse = isOfUse(reservation.step, nowMs, this.#options.runTimes)
    return true
  }

  #planPlaces (reservation: Reservation, pass: PlacementPass): ReservationPlan | undefined {
    const { step, service } = reservation
    const { definition } = step
    const others = [...this.#reservations.values()].filter(other => other !== reservation && other.scope === 'targets' && other.service === service)
    const room = others.length === 0 ? ALL_ROOM : new UnheldRoom(others)
    const targets = new Map(pass.sessions(service).filter(target => this.#options.permits(step, target)).map(target => [target.key, target]))
    const size = requiredResources(definition)
    const countHeld = (target: TargetSession): number => countFitting(size, reservation.places.get(target) ?? NOTHING)
    const rooms = listRooms(definition, [...targets.values()], target => ({ ...this.#options.describe(step, target), free: room.free(target) }), countHeld, target => this.#releasesOf(target))
    const plan = planReservation(size, neededTasks(step), rooms)
    if (plan === undefined) return undefined
    const held = others.reduce((sum, { places }) => sum + sumProcessors(places), 0)
    let processors = pass.totalProcessors(service) * MAX_HELD_RATIO - held
    const places = new Map<TargetSession, ComputeResources>()
    for (const [key, tasks] of plan.places) {
      const target = targets.get(key)
      const count = size.processors === 0 ? tasks : Math.min(tasks, Math.floor(processors / size.processors))
      if (target === undefined || count <= 0) break
      processors -= count * size.processors
      places.set(target, scaleCompute(size, count))
    }
    reservation.places = places
    return places.size === 0 ? undefined : plan
  }

  #planShare (reservation: Reservation, pass: PlacementPass): ReservationPlan | undefined {
    const { step } = reservation
    const team = pass.team(step.job.team)
    if (team === undefined) return undefined
    const size = requiredResources(step.definition)
    // What needs more than the whole cap may exceed it by one task.
    const count = [neededTasks(step), neededTasks(step) - 1].find(tasks => tasks > 0 && fitsCap(scaleCompute(size, tasks), team))
    if (count === undefined) return undefined
    reservation.share = scaleCompute(size, count)
    const free = subtractFromCap(team, this.#options.usage.usageOf(team.name))
    const releases = (): readonly ExpectedRelease[] => this.#options.placed().filter(({ assignment }) => assignment.team === team.name)
      .map(({ session, assignment }) => ({ inMs: this.#options.forecast.remainingMs(session, assignment.key), size: assignment.task.step.definition.size })).sort(compareReleases)
    return planReservation(size, count, [{ key: team.name, free, slots: count, held: count, releases }])
  }

  #releasesOf (target: TargetSession): readonly ExpectedRelease[] {
    const known = this.#releases.get(target)
    if (known !== undefined) return known
    const releases = [...target.assignments.values()].map(({ key, size }) => ({ inMs: this.#options.forecast.remainingMs(target, key), size })).sort(compareReleases)
    this.#releases.set(target, releases)
    return releases
  }

  /**
   * Whether the step leaves the reserved places to their holder. It doesn't if its runs are expected to end before, if it
   * has waited for too long, or if it is of more use than the holder, or more urgent, and can not wait that long.
   */
  #binds (reservation: Reservation, step: StepProgress, nowMs: number): boolean {
    const { step: holder, expectedStartMs } = reservation
    if (holder === step || step.definition.longRunning) return false
    if (this.#options.blocked.isOverdue(step, nowMs)) return false
    const leftMs = Math.max(0, expectedStartMs - nowMs)
    const { runTimes } = this.#options
    const runMs = (isUrgent(step) ? runTimes.expectedMs(step) : runTimes.quantileMs(step, BACKFILL_QUANTILE)) * runTimes.remoteFactor(step)
    // Once an expected start has passed, the run times are known to be too low, and further runs would postpone the next one too.
    if (runMs <= leftMs && (!reservation.renewed || isUrgent(step))) return false
    const precedes = step.job.queue.priority < holder.job.queue.priority || !reservation.isOfUse
    return !precedes || slackMs(step.job, nowMs, runTimes) >= leftMs || !isOfUse(step, nowMs, runTimes)
  }

  #end (key: string, { step, scope, service, createdAtMs, deadlineMs, places }: Reservation, end: ReservationEnd, nowMs: number): void {
    this.#reservations.delete(key)
    const heldMs = nowMs - createdAtMs
    if (end === 'given-up') this.#suspendedUntilMs.set(step, nowMs + heldMs)
    this.#options.logger.info({
      job: step.job.id, step: step.name, scope, service, end, tasks: neededTasks(step), targets: places.size, heldMs: Math.round(heldMs), lateMs: Math.round(nowMs - deadlineMs + START_DELAY_MS)
    }, 'reservation ended')
    this.#options.onEnded(end, heldMs)
  }
}

function compareReleases (left: ExpectedRelease, right: ExpectedRelease): number {
  return left.inMs - right.inMs
}

function classKey ({ job }: StepProgress, service: string): string {
  return `service ${service} ${job.queue.priority}`
}

function teamKey ({ job }: StepProgress): string {
  return `team ${job.team}`
}

/** Number of tasks that are started together. */
function neededTasks ({ definition }: StepProgress): number {
  return definition.gang ? definition.count : 1
}

/** Time until the job is too late to be of use, which it is at three times its objective; negative afterwards. */
function usefulMs (job: JobProgress, nowMs: number, runTimes: RankingRunTimes): number {
  return slackMs(job, nowMs, runTimes) + 2 * objectiveMs(job, runTimes)
}

function isOfUse ({ job }: StepProgress, nowMs: number, runTimes: RankingRunTimes): boolean {
  return job.record.withinShare && usefulMs(job, nowMs, runTimes) >= 0
}

function isWorthWaiting ({ step: { job }, scope, expectedStartMs }: Reservation, nowMs: number, runTimes: RankingRunTimes): boolean {
  return expectedStartMs - nowMs <= (scope === 'cap' ? MAX_DRAIN_MS : Math.max(MAX_DRAIN_MS, usefulMs(job, nowMs, runTimes)))
}

/** Whether the cap of the team allows what is started together, which may exceed it by one task, while nothing else of the team runs. */
function mayEverStart (step: StepProgress, pass: PlacementPass): boolean {
  const team = pass.team(step.job.team)
  return team === undefined || fitsCap(scaleCompute(requiredResources(step.definition), neededTasks(step) - 1), team)
}

function isLarge (size: ComputeResources, total: ComputeResources): boolean {
  const exceeds = (needed: number, available: number): boolean => available > 0 && needed > available * LARGE_TASK_RATIO
  return exceeds(size.processors, total.processors) || exceeds(size.memory, total.memory) || exceeds(size.accelerators, total.accelerators)
}

function sumProcessors (places: ReadonlyMap<TargetSession, ComputeResources>): number {
  return [...places.values()].reduce((sum, { processors }) => sum + processors, 0)
}

function fitsCap (size: ComputeResources, { cap }: TeamSettings): boolean {
  return (cap.processors <= 0 || size.processors <= cap.processors) && (cap.memory <= 0 || size.memory <= cap.memory) && (cap.accelerators <= 0 || size.accelerators <= cap.accelerators)
}

function subtractFromCap ({ cap }: TeamSettings, used: ComputeResources): ComputeResources {
  const left = (limit: number, current: number): number => limit <= 0 ? Infinity : limit - current
  return { processors: left(cap.processors, used.processors), memory: left(cap.memory, used.memory), accelerators: left(cap.accelerators, used.accelerators) }
}
