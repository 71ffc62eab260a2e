/** What one pass over the waiting steps knows of targets, queues and teams. */
import type { DesiredState, QueueSettings, TeamSettings } from '../jobs/desiredState.ts'
import type { Resources } from '../model/resources.ts'
import { tasksWithin } from './placeStep.ts'
import type { TargetSession } from './targetSession.ts'

/** Gangs that fit nowhere are looked at so often in a pass, since each look takes all targets. */
const UNFIT_GANGS = 3

/**
 * Looks things up once for the whole pass; room is read from the sessions, since each placement changes it.
 *
 * @example
 * const pass = new PlacementPass(state, sessions)
 * if (pass.tasksThatFit(queue.service, false, size, 8) === 8) place()
 */
export class PlacementPass {
  readonly #queues: ReadonlyMap<string, QueueSettings>
  readonly #teams: ReadonlyMap<string, TeamSettings>
  readonly #sessions = new Map<string, TargetSession[]>()
  readonly #totalProcessors = new Map<string, number>()
  readonly #freeProcessors = new Map<string, number>()
  /** Sizes of which not one task fits any more, by service, for urgent steps and for others. */
  readonly #tooLarge = { urgent: new Map<string, Resources[]>(), other: new Map<string, Resources[]>() }
  /** Targets that are kept for the first gang that waits, and the services that have such a gang. */
  readonly #held = new Set<string>()
  readonly #holding = new Set<string>()
  readonly #unfitGangs = new Map<string, number>()

  constructor (state: DesiredState, usable: readonly TargetSession[]) {
    this.#queues = new Map(state.queues.map(queue => [queue.name, queue]))
    this.#teams = new Map(state.teams.map(team => [team.name, team]))
    for (const session of usable) {
      const { service, capacity } = session.description
      const sessions = this.#sessions.get(service) ?? []
      sessions.push(session)
      this.#sessions.set(service, sessions)
      this.#totalProcessors.set(service, this.totalProcessors(service) + capacity.processors)
      this.#freeProcessors.set(service, this.freeProcessors(service) + session.free.processors)
    }
  }

  /** The settings in force, or those at the job's acceptance if the queue is gone. */
  queue (accepted: QueueSettings): QueueSettings {
    return this.#queues.get(accepted.name) ?? accepted
  }

  team (name: string): TeamSettings | undefined {
    return this.#teams.get(name)
  }

  /** Targets that a step may use; urgent steps are short, and use those kept for a gang as well. */
  sessions (service: string, urgent: boolean): readonly TargetSession[] {
    const sessions = this.#sessions.get(service) ?? []
    return urgent || !this.#holding.has(service) ? sessions : sessions.filter(({ key }) => !this.#held.has(key))
  }

  /** Whether targets may be kept for a gang: not after another one, and not after some that fit nowhere. */
  mayHold (service: string): boolean {
    return !this.#holding.has(service) && (this.#unfitGangs.get(service) ?? 0) < UNFIT_GANGS
  }

  /** Keeps targets from steps that come later in the pass; none if the gang fits nowhere. */
  hold (service: string, keys: readonly string[]): void {
    if (keys.length > 0) this.#holding.add(service)
    else this.#unfitGangs.set(service, (this.#unfitGangs.get(service) ?? 0) + 1)
    for (const key of keys) this.#held.add(key)
  }

  /** Tasks of the size for which the service has room, up to `wanted`. Room only shrinks during a pass. */
  tasksThatFit (service: string, urgent: boolean, size: Resources, wanted: number): number {
    const known = urgent ? this.#tooLarge.urgent : this.#tooLarge.other
    const tooLarge = known.get(service) ?? []
    if (tooLarge.some(smaller => isAtLeast(size, smaller))) return 0
    const fitting = this.#countFitting(this.sessions(service, urgent), size, wanted)
    if (fitting === 0) known.set(service, [...tooLarge.filter(larger => !isAtLeast(larger, size)), size])
    return fitting
  }

  #countFitting (sessions: readonly TargetSession[], size: Resources, wanted: number): number {
    let fitting = 0
    for (const session of sessions) {
      fitting += tasksWithin(session.free, size)
      if (fitting >= wanted) return wanted
    }
    return fitting
  }

  freeProcessors (service: string): number {
    return this.#freeProcessors.get(service) ?? 0
  }

  /** Notes that room for tasks of the size was reserved. */
  noteReserved (service: string, size: Resources, tasks: number): void {
    this.#freeProcessors.set(service, this.freeProcessors(service) - size.processors * tasks)
  }

  totalProcessors (service: string): number {
    return this.#totalProcessors.get(service) ?? 0
  }
}

/** Whether a task of the size needs at least as much of everything. */
function isAtLeast (size: Resources, smaller: Resources): boolean {
  return size.processors >= smaller.processors && size.memory >= smaller.memory && size.accelerators >= smaller.accelerators
}
