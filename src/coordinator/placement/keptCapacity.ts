/** Describes the capacity of targets that is kept for steps which do not use it yet. */

/** `isolation`: the whole target, for a job that may crash it. `reservation`: a part of the target, for a gang or a large task. */
export type CapacityKeeper = 'isolation' | 'reservation'

export interface KeptCapacity {
  readonly keeper: CapacityKeeper
  readonly target: string
  /** For what it is kept. */
  readonly job: string
  /** For how long it has been kept. */
  readonly keptMs: number
  /** Until its keeper gives it back if nothing changes; undefined while that depends on the ends of runs. */
  readonly endsInMs: number | undefined
}
