import test from 'ava'
import fc from 'fast-check'
import { incarnationKey } from '../model/identity.ts'
import { parseAllotment } from './limits/allotmentRecord.ts'
import { createTarget, FENCING, PLAIN, SimulatedCell, START_BY } from './testing/simulatedCell.ts'
import { TEAM } from './testing/simulatedInstance.ts'

const SEED = 20_261_204
const RUNS = Number(process.env.RUNS ?? 40)
const RECOVERY_MS = 120_000

const action = fc.record({
  type: fc.constantFrom('pause', 'resume', 'crash', 'cut', 'join', 'storeDown', 'storeUp', 'faulty', 'calm', 'end', 'wait'),
  instance: fc.nat(3),
  waitMs: fc.integer({ min: 1, max: 28 }).map(steps => steps * 250)
})
type Action = typeof action extends fc.Arbitrary<infer Value> ? Value : never

async function createCell (limit: number): Promise<SimulatedCell> {
  const features = [FENCING, FENCING, FENCING, START_BY, PLAIN]
  const cell = new SimulatedCell(features.map((feature, index) => createTarget(`runner-${index}`, feature)), limit)
  for (const name of ['howrah-1', 'howrah-2', 'howrah-3', 'howrah-4']) await cell.addInstance(name)
  await cell.run(3_000)
  return cell
}

async function apply (cell: SimulatedCell, { type, instance: index, waitMs }: Action): Promise<void> {
  const instance = cell.alive[index % Math.max(1, cell.alive.length)]
  if (type === 'pause') instance?.faults.pause()
  else if (type === 'resume') instance?.faults.resume()
  else if (type === 'crash' && cell.alive.length > 2) instance?.crash()
  else if (type === 'cut' && instance) instance.cutFromPeers = !instance.cutFromPeers
  else if (type === 'join' && cell.alive.length < 4) await cell.addInstance(`howrah-${cell.instances.length + 1}`)
  else if (type === 'storeDown') instance?.faults.setDown('store', true)
  else if (type === 'storeUp') instance?.faults.setDown('store', false)
  else if (type === 'faulty') instance?.faults.setRates(0.3, 0.02)
  else if (type === 'calm') instance?.faults.setRates(0, 0)
  else if (type === 'end') for (let target = 0; target < 5; target++) cell.endOldest(target)
  cell.endOldest(index)
  await cell.run(waitMs)
}

async function recover (cell: SimulatedCell): Promise<void> {
  for (const instance of cell.alive) {
    instance.faults.setRates(0, 0)
    instance.faults.setDown('store', false)
    instance.cutFromPeers = false
    instance.faults.resume()
  }
  await cell.run(RECOVERY_MS)
  await cell.run(5_000, false)
}

function findStranded (cell: SimulatedCell): readonly string[] {
  const owned = cell.alive.flatMap(instance => instance.ownership.ownedTargets())
  const live = new Set<string>(cell.alive.map(instance => incarnationKey(instance.ownership.self)))
  const record = parseAllotment(cell.store.read(`allotment/${TEAM}`)?.value)
  return [
    ...cell.listed.filter(target => owned.filter(id => id === target.id).length !== 1).map(target => `${target.id} has not one owner`),
    ...Object.keys(record.holders).filter(key => !live.has(key)).map(key => `${key} still holds an allotment`),
    ...(cell.runningTasks === cell.limit ? [] : [`${cell.runningTasks} of ${cell.limit} run`])
  ]
}

test('faults neither overfill a target, nor break a limit, nor strand what an instance held', async t => {
  let started = 0
  await fc.assert(fc.asyncProperty(fc.array(action, { minLength: 5, maxLength: 25 }), async actions => {
    const cell = await createCell(7)
    for (const each of actions) await apply(cell, each)
    await recover(cell)
    started += cell.startedTasks
    const faults = [...cell.violations, ...findStranded(cell)]
    await Promise.all(cell.alive.map(async instance => {
      await instance.allotments.stop()
      await instance.ownership.stop()
    }))
    if (faults.length > 0) throw new Error(faults.slice(0, 5).join('; '))
  }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true, endOnFailure: true })
  t.log(`${started} tasks started`)
  t.true(started > RUNS * 7)
})
