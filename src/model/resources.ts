/** Immutable resource vectors. Every reservation is checked in every dimension. */

export interface Resources {
  /** Concurrent requests that a runner accepts. */
  readonly slots: number
  /** Millicores. */
  readonly processors: number
  /** Megabytes. */
  readonly memory: number
  readonly accelerators: number
}

/** An upper limit; an omitted dimension is unlimited. */
export type Limit = Readonly<Partial<Resources>>

export const DIMENSIONS = ['slots', 'processors', 'memory', 'accelerators'] as const

export type Dimension = typeof DIMENSIONS[number]

export const NO_RESOURCES: Resources = Object.freeze({ slots: 0, processors: 0, memory: 0, accelerators: 0 })

/**
 * Creates a vector from the given dimensions; the others are zero.
 *
 * @example
 * resources({ slots: 8 })
 */
export function resources (given: Limit): Resources {
  return { ...NO_RESOURCES, ...given }
}

/** Combines two vectors dimension by dimension. */
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
 * Returns whether the demand does not exceed the available resources in any dimension.
 *
 * @example
 * fits(resources({ slots: 1 }), resources({ slots: 8 })) // true
 */
export function fits (demand: Resources, available: Resources): boolean {
  return demand.slots <= available.slots && demand.processors <= available.processors &&
    demand.memory <= available.memory && demand.accelerators <= available.accelerators
}

/** Returns whether every dimension is zero. */
export function isEmpty (vector: Resources): boolean {
  return DIMENSIONS.every(dimension => vector[dimension] === 0)
}

/** Returns the dominant share: the largest used fraction of the total over all dimensions, ignoring dimensions whose total is zero. */
export function dominantFraction (used: Resources, total: Resources): number {
  return DIMENSIONS.reduce((largest, dimension) =>
    total[dimension] > 0 ? Math.max(largest, used[dimension] / total[dimension]) : largest, 0)
}
