import test from 'ava'
import fc from 'fast-check'
import { SeededRandom } from '../../adapters/random/seededRandom.ts'
import { addResources, fits, NO_RESOURCES, resources, subtractResources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import type { TargetInfo, TargetType } from '../../model/target.ts'
import { workloads } from '../../workloads/registry.ts'
import { TargetPool } from './targetPool.ts'

const features = { fencing: true, startBy: true, inventory: true, checkpoint: true }

function describeTarget (id: string, type: TargetType, capacity: Resources, connections = 3): TargetInfo {
  return { id, type, address: 'localhost:1', dataCentre: 'd', region: 'r', rack: `rack-${id.length}`, capacity, connections, features, leaving: false }
}

/** Reference model: keeps reservations in a list and recomputes all sums for every query. */
class NaivePool {
  readonly targets = new Map<string, TargetInfo>()
  readonly unusable = new Set<string>()
  readonly tasks = new Map<string, { targetId: string, size: Resources }>()

  admits (info: TargetInfo, size: Resources): boolean {
    const own = [...this.tasks.values()].filter(task => task.targetId === info.id)
    const used = own.reduce((sum, task) => addResources(sum, task.size), NO_RESOURCES)
    return fits(size, subtractResources(info.capacity, used)) && (info.type === 'worker' || own.length < info.connections)
  }

  /** Returns how many of the wanted tasks could be added, counted one by one; `idle` ignores reservations and exclusions. */
  room (type: TargetType, size: Resources, wanted: number, idle: boolean, exclude?: ReadonlySet<string>): number {
    const trial = new NaivePool()
    if (!idle) this.tasks.forEach((task, id) => trial.tasks.set(id, task))
    let room = 0
    for (const info of this.targets.values()) {
      if (info.type !== type || (!idle && (this.unusable.has(info.id) || exclude?.has(info.id)))) continue
      while (room < wanted && trial.admits(info, size)) trial.tasks.set(`trial-${room++}`, { targetId: info.id, size })
    }
    return room
  }
}

const targetIds = ['a', 'b', 'cc', 'dd', 'eee', 'fff']
/** Sizes of which a few tasks fill a target; some fit no target. */
const sizes = fc.record({ slots: fc.nat(2), processors: fc.constantFrom(0, 1, 3, 5), memory: fc.constantFrom(0, 1, 3, 5), accelerators: fc.constantFrom(0, 0, 0, 1) })
const capacityDimension = fc.constantFrom(4, 6, 8)
const capacities = fc.record({ slots: capacityDimension, processors: capacityDimension, memory: capacityDimension, accelerators: fc.constantFrom(1, 2) })
const command = fc.oneof(
  fc.record({ type: fc.constant('add' as const), id: fc.constantFrom(...targetIds), capacity: capacities }),
  fc.record({ type: fc.constant('remove' as const), id: fc.constantFrom(...targetIds) }),
  fc.record({ type: fc.constant('usable' as const), id: fc.constantFrom(...targetIds), usable: fc.boolean() }),
  ...[0, 1].map(() => fc.record({ type: fc.constant('release' as const), pick: fc.nat() })),
  fc.record({ type: fc.constant('reserve' as const), id: fc.constantFrom(...targetIds), size: sizes }),
  ...[0, 1, 2, 3, 4].map(() => fc.record({
    type: fc.constant('place' as const),
    kind: fc.constantFrom('urgent' as const, 'batch' as const, 'service' as const, 'gang' as const),
    size: sizes,
    tasks: fc.constantFrom(1, 1, 1, 2, 3, 5),
    exclude: fc.constantFrom(undefined, undefined, undefined, ...targetIds.slice(0, 2))
  })))

/** Starts with all targets present, so that full pools and releases are common. */
const commandsArbitrary = fc.tuple(
  fc.array(capacities, { minLength: targetIds.length, maxLength: targetIds.length }),
  fc.array(command, { minLength: 30, maxLength: 90 })
).map(([initial, commands]) =>
  [...targetIds.map((id, index) => ({ type: 'add' as const, id, capacity: initial[index]! })), ...commands])

test('no fit is missed, no capacity exceeded and no gang split, compared with a naive pool', t => {
  fc.assert(fc.property(commandsArbitrary, fc.integer(), (commands, seed) => {
    const pool = new TargetPool(new SeededRandom(seed))
    const naive = new NaivePool()
    let nextId = 0
    for (const step of commands) {
      if (step.type === 'add') {
        const info = describeTarget(step.id, step.id < 'd' ? 'runner' : 'worker', naive.targets.get(step.id)?.capacity ?? step.capacity)
        pool.addTarget(info)
        naive.targets.set(step.id, info)
      } else if (step.type === 'remove') {
        pool.removeTarget(step.id)
        naive.targets.delete(step.id)
        naive.unusable.delete(step.id)
        for (const [id, task] of naive.tasks) if (task.targetId === step.id) naive.tasks.delete(id)
      } else if (step.type === 'usable') {
        pool.setUsable(step.id, step.usable)
        if (naive.targets.has(step.id)) naive.unusable[step.usable ? 'delete' : 'add'](step.id)
      } else if (step.type === 'release') {
        const taskId = [...naive.tasks.keys()][step.pick % Math.max(1, naive.tasks.size)] ?? 'unknown'
        pool.release(taskId)
        naive.tasks.delete(taskId)
      } else if (step.type === 'reserve') {
        const taskId = `t${nextId++}`
        const info = naive.targets.get(step.id)
        const expected = info !== undefined && naive.admits(info, step.size)
        t.is(pool.reserve(step.id, taskId, 'team', step.size), expected)
        if (expected) naive.tasks.set(taskId, { targetId: step.id, size: step.size })
      } else {
        const workload = workloads.get(step.kind)!
        const type = workload.targetType(step.size)
        const exclude = step.exclude === undefined ? undefined : new Set([step.exclude])
        const taskIds = Array.from({ length: step.tasks }, () => `t${nextId++}`)
        const result = pool.place({ workload, team: 'team', size: step.size, taskIds, excludeTargets: exclude })
        const known = [...naive.targets.values()].some(info => info.type === type)
        const never = known && naive.room(type, step.size, step.tasks, true) < step.tasks
        const fitsNow = naive.room(type, step.size, step.tasks, false, exclude) >= step.tasks
        t.is(result.outcome, fitsNow ? 'placed' : never ? 'never' : 'full')
        if (result.outcome !== 'placed') continue
        t.deepEqual(result.assignments.map(assignment => assignment.taskId), taskIds)
        for (const { taskId, targetId } of result.assignments) {
          const info = naive.targets.get(targetId)!
          t.true(info.type === type && !naive.unusable.has(targetId) && targetId !== step.exclude && naive.admits(info, step.size))
          naive.tasks.set(taskId, { targetId, size: step.size })
        }
      }
    }
    const held = [...pool.targets()].flatMap(view => view.taskIds.map(taskId => `${taskId}@${view.info.id}`))
    t.deepEqual(held.sort(), [...naive.tasks].map(([taskId, task]) => `${taskId}@${task.targetId}`).sort())
    for (const view of pool.targets()) t.true(fits(view.reserved, view.info.capacity))
  }), { seed: 20_261, numRuns: 400 })
})

test('a leaving target gets no new tasks, even when the breaker returns it to service', t => {
  const pool = new TargetPool(new SeededRandom(1))
  pool.addTarget({ ...describeTarget('a', 'runner', resources({ slots: 8 })), leaving: true })
  pool.setUsable('a', true)
  const workload = workloads.get('urgent')!
  t.is(pool.place({ workload, team: 'x', size: resources({ slots: 1 }), taskIds: ['1'] }).outcome, 'full')
  t.deepEqual(pool.free(), NO_RESOURCES)
})

test('services of a team are spread over racks', t => {
  const pool = new TargetPool(new SeededRandom(1))
  for (const id of ['a', 'b', 'cc', 'dd']) pool.addTarget(describeTarget(id, 'worker', resources({ processors: 9 })))
  const workload = workloads.get('service')!
  const taskIds = ['1', '2', '3', '4']
  const result = pool.place({ workload, team: 'x', size: resources({ processors: 1 }), taskIds })
  t.is(result.outcome === 'placed' && result.assignments.filter(({ targetId }) => targetId.length === 1).length, 2)
})
