/** Lookups of targets, queues and teams for one pass over the waiting steps. */
import type { QueueSettings, TeamSettings } from '../../jobs/desiredState.ts'
import type { DesiredStateIndex } from '../../jobs/desiredStateIndex.ts'
import type { Resources } from '../../model/resources.ts'
import { countFitting } from './placeStep.ts'
import type { ComputeResources } from './placeStep.ts'
import { addCompute, ALL_ROOM, scaleCompute } from './roomView.ts'
import type { RoomView } from './roomView.ts'
import type { TargetSession } from '../targets/targetSession.ts'

/**
 * Indexes the sessions once per pass; free capacity is read from the sessions, since each placement changes it.
 *
 * @example
 * const pass = new PlacementPass(watcher.index, sessions)
 * if (pass.tasksThatFit(queue.service, size, 8) === 8) place()
 */
export class PlacementPass {
  readonly #settings: DesiredStateIndex
  readonly #sessions = new Map<string, TargetSession[]>()
  readonly #totalProcessors = new Map<string, number>()
  readonly #meanCapacity = new Map<string, ComputeResources>()
  readonly #freeProcessors = new Map<string, number>()
  /** Target on which a task was last found to fit, by service and view; most steps need no other one to be examined. */
  readonly #lastFitting = new Map<string, TargetSession>()
  /** Minimal task sizes that no longer fit on any target, by service and view. */
  readonly #unplaceableSizes = new Map<string, Resources[]>()

  constructor (settings: DesiredStateIndex, usable: readonly TargetSession[]) {
    this.#settings = settings
    for (const session of usable) {
      const { service } = session.description
      const sessions = this.#sessions.get(service) ?? []
      sessions.push(session)
      this.#sessions.set(service, sessions)
      this.#totalProcessors.set(service, this.totalProcessors(service) + session.capacity.total.processors)
      this.#freeProcessors.set(service, this.freeProcessors(service) + session.free.processors)
    }
  }

  /** The settings in force, or those at the job's acceptance if the queue is gone. */
  queue (accepted: QueueSettings): QueueSettings {
    return this.#settings.queue(accepted.name) ?? accepted
  }

  team (name: string): TeamSettings | undefined {
    return this.#settings.team(name)
  }

  sessions (service: string): readonly TargetSession[] {
    return this.#sessions.get(service) ?? []
  }

  /** Capacity of the service's targets divided by their number. */
  meanCapacity (service: string): ComputeResources {
    const known = this.#meanCapacity.get(service)
    if (known !== undefined) return known
    const sessions = this.sessions(service)
    const total = sessions.reduce((sum: ComputeResources, { capacity }) => addCompute(sum, capacity.total), { processors: 0, memory: 0, accelerators: 0 })
    const mean = scaleCompute(total, 1 / Math.max(1, sessions.length))
    this.#meanCapacity.set(service, mean)
    return mean
  }

  /** Number of tasks of the size that fit, up to `wanted`. Cached misses stay valid, since free capacity only shrinks during a pass. */
  tasksThatFit (service: string, size: Resources, wanted: number, room: RoomView = ALL_ROOM): number {
    const key = `${service} ${room.key}`
    const unplaceable = this.#unplaceableSizes.get(key) ?? []
    if (unplaceable.some(smaller => needsAtLeast(size, smaller))) return 0
    const fitting = this.#countFitting(service, size, wanted, room)
    if (fitting === 0) this.#unplaceableSizes.set(key, [...unplaceable.filter(larger => !needsAtLeast(larger, size)), size])
    return fitting
  }

  #countFitting (service: string, size: Resources, wanted: number, room: RoomView): number {
    const key = `${service} ${room.key}`
    const likely = this.#lastFitting.get(key)
    if (likely !== undefined && countFitting(size, room.free(likely)) >= wanted) return wanted
    let fitting = 0
    for (const session of this.sessions(service)) {
      const here = countFitting(size, room.free(session))
      fitting += here
      if (here > 0) this.#lastFitting.set(key, session)
      if (fitting >= wanted) return wanted
    }
    return fitting
  }

  /** Whether nothing runs on the service's targets, or only tasks that last. */
  hasOnlyLastingRuns (service: string): boolean {
    return this.sessions(service).every(({ assignments }) => [...assignments.values()].every(({ task }) => task.step.definition.longRunning))
  }

  /** Free processors of the service, less those that the view leaves out. */
  freeProcessors (service: string, room: RoomView = ALL_ROOM): number {
    return (this.#freeProcessors.get(service) ?? 0) - room.heldProcessors
  }

  /** Subtracts reserved tasks from the service's free processors. */
  recordReservation (service: string, size: Resources, tasks: number): void {
    this.#freeProcessors.set(service, this.freeProcessors(service) - size.processors * tasks)
  }

  totalProcessors (service: string): number {
    return this.#totalProcessors.get(service) ?? 0
  }
}

/** Whether a task of the size needs at least as much of every resource. */
function needsAtLeast (size: Resources, smaller: Resources): boolean {
  return size.processors >= smaller.processors && size.memory >= smaller.memory && size.accelerators >= smaller.accelerators
}
