import test from 'ava'
import { createStep } from '../jobs/testing/definitions.ts'
import { resources } from '../model/resources.ts'
import { chooseHeld } from './gangHold.ts'
import { placeStep } from './placeStep.ts'
import type { TargetRoom } from './placeStep.ts'

const CAPACITY = resources({ processors: 64_000, memory: 262_144 })
const TARGETS = 10
const SMALL = createStep(1, { size: resources({ processors: 7_000, memory: 20_000 }) })
const GANG = createStep(12, { gang: true, size: resources({ processors: 18_000, memory: 60_000 }) })
/** Steps of simulated time for which a small task runs, and the small tasks that arrive in each. */
const SMALL_STEPS = 10
const ARRIVALS = 12

class Target {
  readonly key: string
  readonly description = { capacity: CAPACITY }
  readonly ends: number[] = []
  #gangTasks = 0

  constructor (key: string) {
    this.key = key
  }

  get free (): TargetRoom['free'] {
    const used = this.ends.length
    return {
      processors: CAPACITY.processors - used * SMALL.size.processors - this.#gangTasks * GANG.size.processors,
      memory: CAPACITY.memory - used * SMALL.size.memory - this.#gangTasks * GANG.size.memory,
      accelerators: 0
    }
  }
}

function describe ({ key, free }: Target): TargetRoom {
  return { key, free, rack: 'r-1', labels: [], sameStepTasks: 0, hasResponseTargets: false, hasFills: false, failedHere: false }
}

/** Returns the step of time at which the gang finds room beside more small tasks than there is room for; -1 if never. */
function whenPlaced (hold: boolean): number {
  const targets = Array.from({ length: TARGETS }, (_, number) => new Target(`target-${number}`))
  for (let now = 0; now < 200; now++) {
    for (const target of targets) target.ends.splice(0, target.ends.length, ...target.ends.filter(end => end > now))
    if (now >= SMALL_STEPS && placeStep(GANG, GANG.count, targets.map(describe)).length > 0) return now - SMALL_STEPS
    const held = new Set(hold && now >= SMALL_STEPS ? chooseHeld(GANG, GANG.count, targets) : [])
    for (const key of placeStep(SMALL, ARRIVALS, targets.filter(target => !held.has(target.key)).map(describe))) {
      targets.find(target => target.key === key)?.ends.push(now + SMALL_STEPS)
    }
  }
  return -1
}

test('stream of small steps: a wide gang gets its room as soon as what runs there has ended', t => {
  t.is(whenPlaced(false), -1, 'without a hold the small steps take each gap first')
  const placed = whenPlaced(true)
  t.true(placed >= 0 && placed <= SMALL_STEPS, `placed after ${placed}`)
})

test('a gang that fits nowhere keeps no target from others', t => {
  const targets = Array.from({ length: 3 }, (_, number) => new Target(`target-${number}`))
  t.deepEqual(chooseHeld(GANG, GANG.count, targets), [])
  t.deepEqual(chooseHeld({ ...GANG, tasksPerTarget: 1 }, 4, targets), [])
})

test('no more targets are held than the gang needs, and those with the most room', t => {
  const targets = Array.from({ length: TARGETS }, (_, number) => new Target(`target-${number}`))
  for (const target of targets.slice(0, 5)) target.ends.push(1)
  t.deepEqual(chooseHeld(GANG, 6, targets), ['target-5', 'target-6'])
})
