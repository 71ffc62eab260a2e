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
  else if (type === 'cut' && instance) instance.partitionedFromPeers = !instance.partitionedFromPeers
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
    instance.partitionedFromPeers = false
    instance.faults.resume()
  }
  await cell.run(RECOVERY_MS)
  await cell.run(5_000, false)
}

function findLeakedState (cell: SimulatedCell): readonly string[] {
  const owned = cell.alive.flatMap(instance => instance.ownership.ownedTargets())
  const live = new Set<string>(cell.alive.map(instance => incarnationKey(instance.ownership.self)))
  const record = parseAllotment(cell.store.read(`allotment/${TEAM}`)?.value)
  return [
    ...cell.listed.filter(target => owned.filter(id => id === target.id).length !== 1).map(target => `${target.id} does not have exactly one owner`),
    ...Object.keys(record.holders).filter(key => !live.has(key)).map(key => `${key} still holds an allotment`),
    ...(cell.runningTasks === cell.limit ? [] : [`${cell.runningTasks} of ${cell.limit} tasks run`])
  ]
}

async function runFaults (actions: readonly Action[], refusesLowerEpochs: boolean): Promise<SimulatedCell> {
  const cell = await createCell(7)
  cell.targets.refusesLowerEpochs = refusesLowerEpochs
  for (const each of actions) await apply(cell, each)
  await recover(cell)
  const faults = [...cell.violations, ...findLeakedState(cell)]
  await stop(cell)
  if (faults.length > 0) throw new Error(faults.slice(0, 5).join('; '))
  return cell
}

async function stop (cell: SimulatedCell): Promise<void> {
  await Promise.all(cell.alive.map(async instance => {
    await instance.allotments.stop()
    await instance.ownership.stop()
  }))
}

const scenario = fc.array(action, { minLength: 5, maxLength: 25 })

test('faults neither overfill a target, exceed a limit nor leak targets or allotments of an instance', async t => {
  let started = 0
  await fc.assert(fc.asyncProperty(scenario, async actions => {
    started += (await runFaults(actions, true)).startedTasks
  }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true, endOnFailure: true })
  t.log(`${started} tasks started`)
  t.true(started > RUNS * 7)
})

test('the checks do not pass if targets accept lower epochs', async t => {
  const details = await fc.check(fc.asyncProperty(scenario, async actions => { await runFaults(actions, false) }),
    { seed: SEED, numRuns: RUNS, endOnFailure: true })
  t.true(details.failed)
  t.regex(String(details.errorInstance), /tasks on runner/)
})

test('a drain leaves no target, task or allotment behind', async t => {
  const cell = await createCell(7)
  const [leaving] = cell.alive
  const key = incarnationKey(leaving!.ownership.self)
  let left = false
  leaving!.drain(AbortSignal.timeout(60_000)).then(() => { left = true }, () => {})
  // Targets without fencing are also taken over immediately because their owner hands them over.
  await cell.run(20_000, false)
  t.true(left)
  t.deepEqual(cell.violations, [])
  t.is(cell.runningTasks, 7)
  t.false(cell.store.read('ownership/howrah')!.value.includes(key))
  t.false(cell.store.read(`allotment/${TEAM}`)!.value.includes(key))
  await stop(cell)
})

test('a target that returns to the list is owned again although its epoch was removed from the record', async t => {
  const cell = await createCell(7)
  const [target, ...others] = cell.listed
  cell.targets.fence(target!, cell.targets.highestEpoch(target!.id) + 3)
  cell.listed = others
  while (cell.targets.tasksOn(target!.id).length > 0) cell.targets.end(target!.id, cell.targets.tasksOn(target!.id)[0]!.taskId)
  await cell.run(30_000)
  t.false(cell.store.read('ownership/howrah')!.value.includes(`"${target!.id}"`))
  cell.listed = [target!, ...others]
  await cell.run(10_000)
  t.is(cell.alive.filter(instance => instance.ownership.epochOf(target!.id) !== undefined).length, 1)
  t.deepEqual(cell.violations, [])
  await stop(cell)
})
