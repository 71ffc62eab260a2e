/** Forecasts room from the expected run times of what is placed. */
import type { RoomForecast, RoomRequest } from '../forecast/roomForecast.ts'
import type { RunTimes } from '../forecast/runTimes.ts'
import { countFitting } from '../placement/placeStep.ts'
import type { ComputeResources } from '../placement/placeStep.ts'
import type { Assignment } from '../targets/assignment.ts'
import type { TargetSession } from '../targets/targetSession.ts'

/** A run that has exceeded its expected time is taken to need this part of its age in addition. */
const OVERRUN_RATIO = 0.25

interface Release {
  readonly inMs: number
  readonly processors: number
}

/**
 * Reads the assignments when asked; what it sums by service is kept for one instant of the clock.
 *
 * @example
 * const forecast = new AssignmentForecast(() => fleet.usable, runTimes, () => clock.monotonicMs())
 */
export class AssignmentForecast implements RoomForecast {
  readonly #sessions: () => readonly TargetSession[]
  readonly #runTimes: RunTimes
  readonly #now: () => number
  #computedAtMs = -Infinity
  #services = new Map<string, Release[]>()

  constructor (sessions: () => readonly TargetSession[], runTimes: RunTimes, now: () => number) {
    this.#sessions = sessions
    this.#runTimes = runTimes
    this.#now = now
  }

  timeUntilRoomMs ({ service, size, tasks, permits = () => true }: RoomRequest): number {
    const gains: { readonly inMs: number, readonly tasks: number }[] = []
    for (const session of this.#sessions()) {
      if (session.description.service !== service || !permits(session)) continue
      let room: ComputeResources = session.free
      let fitting = countFitting(size, room)
      gains.push({ inMs: 0, tasks: fitting })
      const ends = [...session.assignments.values()].map(assignment => ({ assignment, inMs: this.#remainingMs(assignment) })).sort((left, right) => left.inMs - right.inMs)
      for (const { assignment: { size: { processors, memory, accelerators } }, inMs } of ends) {
        room = { processors: room.processors + processors, memory: room.memory + memory, accelerators: room.accelerators + accelerators }
        const fits = countFitting(size, room)
        if (fits > fitting) gains.push({ inMs, tasks: fits - fitting })
        fitting = Math.max(fitting, fits)
      }
    }
    let missing = tasks
    for (const gain of gains.sort((left, right) => left.inMs - right.inMs)) {
      missing -= gain.tasks
      if (missing <= 0) return gain.inMs
    }
    return Infinity
  }

  processorsWithin (service: string, withinMs: number): number {
    if (this.#computedAtMs !== this.#now()) this.#compute()
    return (this.#services.get(service) ?? []).reduce((sum, { inMs, processors }) => inMs <= withinMs ? sum + processors : sum, 0)
  }

  remainingMs (target: TargetSession, runKey: string): number {
    const assignment = target.assignments.get(runKey)
    return assignment === undefined ? 0 : this.#remainingMs(assignment)
  }

  #compute (): void {
    this.#computedAtMs = this.#now()
    this.#services = new Map()
    for (const session of this.#sessions()) {
      const { service } = session.description
      const releases = this.#services.get(service) ?? []
      this.#services.set(service, releases)
      releases.push({ inMs: 0, processors: Math.max(0, session.free.processors) })
      for (const assignment of session.assignments.values()) releases.push({ inMs: this.#remainingMs(assignment), processors: assignment.size.processors })
    }
  }

  #remainingMs ({ task: { step }, reservedAtMs }: Assignment): number {
    if (step.definition.longRunning) return Infinity
    const ageMs = this.#now() - reservedAtMs
    const remainingMs = this.#runTimes.expectedMs(step) - ageMs
    return remainingMs > 0 ? remainingMs : ageMs * OVERRUN_RATIO
  }
}
