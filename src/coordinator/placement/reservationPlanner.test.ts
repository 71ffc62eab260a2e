import test from 'ava'
import { planReservation } from './reservationPlanner.ts'
import type { ReservableRoom } from './reservationPlanner.ts'

const compute = (processors: number) => ({ processors, memory: 0, accelerators: 0 })
const createRoom = (key: string, free: number, releases: readonly (readonly [number, number])[], held = 0): ReservableRoom =>
  ({ key, free: compute(free), slots: Infinity, held, releases: () => releases.map(([inMs, processors]) => ({ inMs, size: compute(processors) })) })

const ROOMS = [createRoom('a', 2, [[100, 2], [400, 4]]), createRoom('b', 4, [[900, 4]]), createRoom('c', 0, [[300, 8]]), createRoom('d', 0, [[Infinity, 8]])]

test('the places that are free first are chosen, so that a gang does not wait for runs that take longer', t => {
  t.deepEqual(planReservation(compute(4), 4, ROOMS), { places: new Map([['b', 1], ['a', 1], ['c', 2]]), startInMs: 300 })
})

test('there is no plan for a gang that would not fit when all runs that end have ended', t => {
  t.is(planReservation(compute(4), 7, ROOMS), undefined)
  t.is(planReservation(compute(4), 6, ROOMS)?.startInMs, 900)
})

test('a held place is kept unless another one is free in less than half of the time, so that a large task does not change its target in each pass', t => {
  t.deepEqual([...planReservation(compute(8), 1, [createRoom('a', 0, [[300, 8]]), createRoom('b', 4, [[500, 4]], 1)])?.places.keys() ?? []], ['b'])
  t.deepEqual([...planReservation(compute(8), 1, [createRoom('a', 0, [[200, 8]]), createRoom('b', 4, [[500, 4]], 1)])?.places.keys() ?? []], ['a'])
})

test('a further place on a target with held places does not replace a place held elsewhere, which others would take though it is nearly free', t => {
  const rooms = [createRoom('a', 4, [[440, 4]], 1), createRoom('b', 2, [[500, 2]], 1)]
  t.deepEqual(planReservation(compute(4), 2, rooms), { places: new Map([['a', 1], ['b', 1]]), startInMs: 500 })
})
