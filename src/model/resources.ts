/** Read-only resource vectors; every reservation is checked in every dimension. */

export interface Resources {
  /** Concurrent requests that a runner takes. */
  readonly slots: number
  /** Millicores. */
  readonly processors: number
  /** Megabytes. */
  readonly memory: number
  readonly accelerators: number
}

/** An upper limit; a dimension that is left out is not limited. */
export type Limit = Readonly<Partial<Resources>>

export const DIMENSIONS = ['slots', 'processors', 'memory', 'accelerators'] as const

export type Dimension = typeof DIMENSIONS[number]

export const NO_RESOURCES: Resources = Object.freeze({ slots: 0, processors: 0, memory: 0, accelerators: 0 })

/**
 * Builds a vector from the dimensions given; the others are zero.
 *
 * @example
 * resources({ slots: 8 })
 */
export function resources (given: Limit): Resources {
  return { ...NO_RESOURCES, ...given }
}

/** Applies a function to each dimension of two vectors. */
export function mapResources (left: Resources, right: Resources, combine: (left: number, right: number) => number): Resources {
  return {
    slots: combine(left.slots, right.slots),
    processors: combine(left.processors, right.processors),
    memory: combine(left.memory, right.memory),
    accelerators: combine(left.accelerators, right.accelerators)
  }
}

export function addResources (left: Resources, right: Resources): Resources {
  return mapResources(left, right, (a, b) => a + b)
}

export function subtractResources (left: Resources, right: Resources): Resources {
  return mapResources(left, right, (a, b) => a - b)
}

export function scaleResources (vector: Resources, factor: number): Resources {
  return mapResources(vector, vector, value => value * factor)
}

export function minimumResources (left: Resources, right: Resources): Resources {
  return mapResources(left, right, Math.min)
}

export function maximumResources (left: Resources, right: Resources): Resources {
  return mapResources(left, right, Math.max)
}

/**
 * Says whether a demand fits into what is available, in every dimension.
 *
 * @example
 * fits(resources({ slots: 1 }), resources({ slots: 8 })) // true
 */
export function fits (demand: Resources, available: Resources): boolean {
  return demand.slots <= available.slots && demand.processors <= available.processors &&
    demand.memory <= available.memory && demand.accelerators <= available.accelerators
}

/** Says whether every dimension is zero. */
export function isEmpty (vector: Resources): boolean {
  return DIMENSIONS.every(dimension => vector[dimension] === 0)
}

/** The largest fraction of the total that is used in any dimension; zero where the total is zero. */
export function dominantFraction (used: Resources, total: Resources): number {
  return DIMENSIONS.reduce((largest, dimension) =>
    total[dimension] > 0 ? Math.max(largest, used[dimension] / total[dimension]) : largest, 0)
}
