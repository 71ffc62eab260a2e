/** Forecasts room on targets from the runs that are placed there. Handles full services, where each start waits for an end. */
import type { ClockReader, SurveyedRunTimes } from './remainingTime.ts'
import { expectedEndMs } from './remainingTime.ts'
import type { RoomForecast, RoomRequest } from './roomForecast.ts'
import { countFitting } from '../placement/placeStep.ts'
import type { ComputeResources } from '../placement/placeStep.ts'
import type { TargetSession } from '../targets/targetSession.ts'

/** Expected ends are recomputed at most this often, however frequent the passes are; short against the shortest runs. */
const REFRESH_MS = 100
const BUCKET_MS = 100
/** Releases that are further away than a minute count as never. */
const BUCKETS = 600

/** The resources that a run is expected to release, and when. */
interface Release {
  readonly atMs: number
  readonly size: ComputeResources
}

/** The number of further tasks that fit from a time on. */
interface Opening {
  readonly atMs: number
  readonly tasks: number
}

interface TargetReleases {
  readonly computedAtMs: number
  /** The number of runs and the free processors at that time; a change shows that a run was placed or has ended. */
  readonly runs: number
  readonly freeProcessors: number
  /** The earliest first. */
  readonly releases: readonly Release[]
}

interface ServiceReleases {
  readonly computedAtMs: number
  /** Processors free, and released by the end of each bucket. */
  readonly processors: Float64Array
}

/**
 * Computes expected ends when they are asked for, per target, and keeps them for the pass. Free capacity is read live.
 *
 * @example
 * const forecast = new PlacedRoomForecast(clock, runTimes)
 * forecast.update(sessions)
 * const waitMs = forecast.timeUntilRoomMs({ service: 'render', size, tasks: 8 })
 */
export class PlacedRoomForecast implements RoomForecast {
  readonly #clock: ClockReader
  readonly #runTimes: SurveyedRunTimes
  #usable: readonly TargetSession[] = []
  #sessions = new Map<string, TargetSession[]>()
  #targets = new WeakMap<TargetSession, TargetReleases>()
  readonly #services = new Map<string, ServiceReleases>()
  /** Openings on all targets of a service, by service and size. */
  readonly #openings = new Map<string, readonly Opening[]>()
  #openingsFromMs = -Infinity

  constructor (clock: ClockReader, runTimes: SurveyedRunTimes) {
    this.#clock = clock
    this.#runTimes = runTimes
  }

  /** Sets the targets on which tasks may be placed; called once in each full pass. */
  update (usable: readonly TargetSession[]): void {
    if (usable.length === this.#usable.length && usable.every((session, index) => session === this.#usable[index])) return
    this.#usable = usable
    this.#sessions = new Map()
    for (const session of usable) {
      const { service } = session.description
      const sessions = this.#sessions.get(service)
      if (sessions === undefined) this.#sessions.set(service, [session])
      else sessions.push(session)
    }
    this.#services.clear()
    this.#openings.clear()
  }

  timeUntilRoomMs ({ service, size, tasks, permits }: RoomRequest): number {
    const all = this.#sessions.get(service) ?? []
    const sessions = permits === undefined ? all : all.filter(permits)
    let missing = tasks
    for (const { free } of sessions) {
      missing -= countFitting(size, free)
      if (missing <= 0) return 0
    }
    const nowMs = this.#clock.monotonicMs()
    const openings = permits === undefined ? this.#serviceOpenings(service, size, nowMs) : this.#openingsOn(sessions, size, nowMs)
    const waitMs = timeUntilOpen(openings, missing, nowMs)
    // The kept openings lack the ends of the runs that were placed since they were computed.
    return waitMs === Infinity && permits === undefined ? timeUntilOpen(this.#openingsOn(sessions, size, nowMs), missing, nowMs) : waitMs
  }

  processorsWithin (service: string, withinMs: number): number {
    const nowMs = this.#clock.monotonicMs()
    let releases = this.#services.get(service)
    if (releases === undefined || nowMs - releases.computedAtMs >= REFRESH_MS) {
      releases = { computedAtMs: nowMs, processors: this.#sumProcessors(service, nowMs) }
      this.#services.set(service, releases)
    }
    const bucket = Math.floor((nowMs - releases.computedAtMs + withinMs) / BUCKET_MS)
    return releases.processors[Math.min(Math.max(bucket, 0), BUCKETS)] ?? 0
  }

  remainingMs (target: TargetSession, runKey: string): number {
    const assignment = target.assignments.get(runKey)
    if (assignment === undefined) return 0
    const nowMs = this.#clock.monotonicMs()
    return Math.max(expectedEndMs(assignment, this.#runTimes, nowMs) - nowMs, 1)
  }

  #sumProcessors (service: string, nowMs: number): Float64Array {
    const processors = new Float64Array(BUCKETS + 1)
    for (const session of this.#sessions.get(service) ?? []) {
      processors[0] = (processors[0] ?? 0) + Math.max(session.free.processors, 0)
      for (const { atMs, size } of this.#releasesOn(session, nowMs)) {
        const bucket = Math.ceil(Math.max(atMs - nowMs, 1) / BUCKET_MS)
        if (bucket <= BUCKETS) processors[bucket] = (processors[bucket] ?? 0) + size.processors
      }
    }
    for (let bucket = 1; bucket <= BUCKETS; bucket++) processors[bucket] = (processors[bucket] ?? 0) + (processors[bucket - 1] ?? 0)
    return processors
  }

  #serviceOpenings (service: string, size: ComputeResources, nowMs: number): readonly Opening[] {
    if (nowMs - this.#openingsFromMs >= REFRESH_MS) {
      this.#openings.clear()
      this.#openingsFromMs = nowMs
    }
    const key = `${service} ${size.processors} ${size.memory} ${size.accelerators}`
    let openings = this.#openings.get(key)
    if (openings === undefined) {
      openings = this.#openingsOn(this.#sessions.get(service) ?? [], size, nowMs)
      this.#openings.set(key, openings)
    }
    return openings
  }

  #openingsOn (sessions: readonly TargetSession[], size: ComputeResources, nowMs: number): readonly Opening[] {
    const openings: Opening[] = []
    for (const session of sessions) {
      const free = { ...session.free }
      let fitting = countFitting(size, free)
      for (const { atMs, size: released } of this.#releasesOn(session, nowMs)) {
        free.processors += released.processors
        free.memory += released.memory
        free.accelerators += released.accelerators
        const total = countFitting(size, free)
        if (total > fitting) openings.push({ atMs, tasks: total - fitting })
        fitting = total
      }
    }
    return openings.sort((left, right) => left.atMs - right.atMs)
  }

  #releasesOn (session: TargetSession, nowMs: number): readonly Release[] {
    const known = this.#targets.get(session)
    const { assignments, free: { processors: freeProcessors } } = session
    if (known !== undefined && nowMs - known.computedAtMs < REFRESH_MS && known.runs === assignments.size && known.freeProcessors === freeProcessors) return known.releases
    const releases: Release[] = []
    for (const assignment of assignments.values()) {
      const atMs = expectedEndMs(assignment, this.#runTimes, nowMs)
      if (atMs < Infinity) releases.push({ atMs, size: assignment.size })
    }
    releases.sort((left, right) => left.atMs - right.atMs)
    this.#targets.set(session, { computedAtMs: nowMs, runs: assignments.size, freeProcessors, releases })
    return releases
  }
}

function timeUntilOpen (openings: readonly Opening[], tasks: number, nowMs: number): number {
  let missing = tasks
  for (const { atMs, tasks: further } of openings) {
    missing -= further
    if (missing <= 0) return Math.max(atMs - nowMs, 1)
  }
  return Infinity
}
