/** The capacity that one step may use, which is less than what is free while places are reserved for other steps. */
import type { ComputeResources } from './placeStep.ts'
import type { TargetSession } from '../targets/targetSession.ts'

export interface RoomView {
  /** Equal for views with the same capacity within one pass. */
  readonly key: string
  /** Free processors of the service that the step may not use. */
  readonly heldProcessors: number
  free (target: TargetSession): ComputeResources
}

/** Everything that is free. */
export const ALL_ROOM: RoomView = { key: '', heldProcessors: 0, free: ({ free }) => free }

/** Capacity that is held for another step. */
export interface HeldRoom {
  readonly id: number
  readonly places: ReadonlyMap<TargetSession, ComputeResources>
}

/**
 * Leaves out the capacity that is held. Of a target on which runs still use the held places, only what is free beyond
 * them can be used.
 *
 * @example
 * const room = new UnheldRoom(reservations)
 * placeStep(definition, count, sessions.map(session => ({ ...describe(session), free: room.free(session) })))
 */
export class UnheldRoom implements RoomView {
  readonly key: string
  readonly #held: readonly HeldRoom[]

  constructor (held: readonly HeldRoom[]) {
    this.#held = held
    this.key = held.map(({ id }) => id).join(' ')
  }

  get heldProcessors (): number {
    const targets = new Set(this.#held.flatMap(({ places }) => [...places.keys()]))
    return [...targets].reduce((sum, target) => sum + Math.max(0, target.free.processors) - Math.max(0, this.free(target).processors), 0)
  }

  free (target: TargetSession): ComputeResources {
    return this.#held.reduce((left: ComputeResources, { places }) => {
      const held = places.get(target)
      return held === undefined ? left : subtractCompute(left, held)
    }, target.free)
  }
}

export function addCompute (left: ComputeResources, right: ComputeResources): ComputeResources {
  return { processors: left.processors + right.processors, memory: left.memory + right.memory, accelerators: left.accelerators + right.accelerators }
}

export function scaleCompute ({ processors, memory, accelerators }: ComputeResources, factor: number): ComputeResources {
  return { processors: processors * factor, memory: memory * factor, accelerators: accelerators * factor }
}

function subtractCompute (left: ComputeResources, right: ComputeResources): ComputeResources {
  return addCompute(left, scaleCompute(right, -1))
}
