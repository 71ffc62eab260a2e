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
  readonly #held = new Map<TargetSession, ComputeResources>()

  constructor (held: readonly HeldRoom[]) {
    this.key = held.map(({ id }) => id).join(' ')
    for (const { places } of held) {
      for (const [target, size] of places) {
        const other = this.#held.get(target)
        this.#held.set(target, other === undefined ? size : addCompute(other, size))
      }
    }
  }

  get heldProcessors (): number {
    let sum = 0
    for (const [target, { processors }] of this.#held) sum += Math.max(0, Math.min(target.free.processors, processors))
    return sum
  }

  free (target: TargetSession): ComputeResources {
    const held = this.#held.get(target)
    return held === undefined ? target.free : subtractCompute(target.free, held)
  }
}

export function addCompute (left: ComputeResources, right: ComputeResources): ComputeResources {
  return { processors: left.processors + right.processors, memory: left.memory + right.memory, accelerators: left.accelerators + right.accelerators }
}

export function scaleCompute ({ processors, memory, accelerators }: ComputeResources, factor: number): ComputeResources {
  return { processors: processors * factor, memory: memory * factor, accelerators: accelerators * factor }
}

function subtractCompute (left: ComputeResources, right: ComputeResources): ComputeResources {
  return { processors: left.processors - right.processors, memory: left.memory - right.memory, accelerators: left.accelerators - right.accelerators }
}
