/** Chooses the places that a gang or a large task waits for, by when the runs there are expected to end. */
import type { StepDefinition } from '../../jobs/job.ts'
import { countFitting, isSuitable } from './placeStep.ts'
import type { ComputeResources, TargetAvailability } from './placeStep.ts'
import { addCompute } from './roomView.ts'

/** Another room has to be free this much sooner than one that is held already, so that what was released there is not given up for a guess. */
const HELD_TIME_FACTOR = 0.5

/** Resources that are expected to be released. */
export interface ExpectedRelease {
  /** Milliseconds from now; `Infinity` if they are not released. */
  readonly inMs: number
  readonly size: ComputeResources
}

/** A target, or the cap of a team, on which capacity can be reserved. */
export interface ReservableRoom {
  readonly key: string
  /** Unassigned capacity that no other reservation holds. */
  readonly free: ComputeResources
  /** Maximum number of the tasks, regardless of capacity. */
  readonly slots: number
  /** Number of places that the reservation holds there already. */
  readonly held: number
  /** The earliest first; read only if what is free does not suffice. */
  readonly releases: () => readonly ExpectedRelease[]
}

export interface ReservationPlan {
  /** Number of tasks by key of the room. */
  readonly places: ReadonlyMap<string, number>
  /** Milliseconds until the last place is expected to be free, if nothing else is placed there. */
  readonly startInMs: number
}

interface Place {
  readonly key: string
  readonly inMs: number
  /** Smaller ones are chosen first. */
  readonly rank: number
}

/**
 * Returns the places that are expected to be free first, or undefined if the rooms would not hold all the tasks when the
 * runs that end have ended.
 *
 * @example
 * planReservation(size, 20, rooms)?.startInMs // 800
 */
export function planReservation (size: ComputeResources, count: number, rooms: readonly ReservableRoom[]): ReservationPlan | undefined {
  const places: Place[] = []
  for (const { key, free, slots } of rooms) {
    const fitting = Math.min(countFitting(size, free), slots, count - places.length)
    for (let place = 0; place < fitting; place++) places.push({ key, inMs: 0, rank: 0 })
    if (places.length === count) return createPlan(places)
  }
  const all = [...places, ...findLaterPlaces(size, count, count - places.length, rooms)]
  return all.length < count ? undefined : createPlan(all)
}

/** Returns the places that are free first, of those that are not free now. */
function findLaterPlaces (size: ComputeResources, count: number, missing: number, rooms: readonly ReservableRoom[]): readonly Place[] {
  let best: Place[] = []
  /** Rank that a further place must be below. */
  let limit = Infinity
  const keepBest = (): void => {
    best = best.sort((left, right) => left.rank - right.rank).slice(0, missing)
    if (best.length === missing) limit = best[missing - 1]?.rank ?? limit
  }
  for (const room of rooms) {
    addLaterPlaces(size, count, room, limit, best)
    if (best.length >= missing * 2) keepBest()
  }
  keepBest()
  return best
}

/** Returns the targets that may run the step as rooms, without those that the step must not use. */
export function listRooms<Target extends { readonly key: string }> (
  definition: StepDefinition, targets: readonly Target[], describe: (target: Target) => TargetAvailability, countHeld: (target: Target) => number, releases: (target: Target) => readonly ExpectedRelease[]
): readonly ReservableRoom[] {
  return targets.flatMap(target => {
    const availability = describe(target)
    if (!isSuitable(definition, availability)) return []
    const slots = definition.tasksPerTarget > 0 ? Math.max(0, definition.tasksPerTarget - availability.sameStepTasks) : Infinity
    return [{ key: target.key, free: availability.free, slots, held: countHeld(target), releases: () => releases(target) }]
  })
}

function addLaterPlaces (size: ComputeResources, count: number, { key, free, slots, held, releases }: ReservableRoom, limit: number, places: Place[]): void {
  const maximum = Math.min(slots, count)
  let fitting = Math.min(countFitting(size, free), maximum)
  if (fitting === maximum) return
  let expected: ComputeResources = free
  for (const { inMs, size: released } of releases()) {
    // Only as many places as are held come first: further ones on the same target must not replace a place held elsewhere.
    const rankOf = (place: number): number => place < held ? inMs * HELD_TIME_FACTOR : inMs
    if (rankOf(fitting) >= limit || fitting === maximum) return
    expected = addCompute(expected, released)
    for (const then = Math.min(countFitting(size, expected), maximum); fitting < then; fitting++) places.push({ key, inMs, rank: rankOf(fitting) })
  }
}

function createPlan (places: readonly Place[]): ReservationPlan {
  const tasks = new Map<string, number>()
  for (const { key } of places) tasks.set(key, (tasks.get(key) ?? 0) + 1)
  return { places: tasks, startInMs: Math.max(0, ...places.map(({ inMs }) => inMs)) }
}
