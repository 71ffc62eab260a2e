/** Lookups of targets, queues and teams for one pass over the waiting steps. */
import type { QueueSettings, TeamSettings } from '../../jobs/desiredState.ts'
import type { DesiredStateIndex } from '../../jobs/desiredStateIndex.ts'
import type { Resources } from '../../model/resources.ts'
import { countFitting } from './placeStep.ts'
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
  readonly #freeProcessors = new Map<string, number>()
  /** Minimal task sizes that no longer fit on any target, by service. */
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

  /** Number of tasks of the size that fit, up to `wanted`. Cached misses stay valid, since free capacity only shrinks during a pass. */
  tasksThatFit (service: string, size: Resources, wanted: number): number {
    const unplaceable = this.#unplaceableSizes.get(service) ?? []
    if (unplaceable.some(smaller => needsAtLeast(size, smaller))) return 0
    const fitting = this.#countFitting(service, size, wanted)
    if (fitting === 0) this.#unplaceableSizes.set(service, [...unplaceable.filter(larger => !needsAtLeast(larger, size)), size])
    return fitting
  }

  #countFitting (service: string, size: Resources, wanted: number): number {
    let fitting = 0
    for (const session of this.sessions(service)) {
      fitting += countFitting(size, session.free)
      if (fitting >= wanted) return wanted
    }
    return fitting
  }

  /** Whether nothing runs on the service's targets, or only tasks that last. */
  hasOnlyLastingRuns (service: string): boolean {
    return this.sessions(service).every(({ assignments }) => [...assignments.values()].every(({ task }) => task.step.definition.longRunning))
  }

  freeProcessors (service: string): number {
    return this.#freeProcessors.get(service) ?? 0
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
