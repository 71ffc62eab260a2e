import test from 'ava'
import fc from 'fast-check'
import { fits, resources } from '../../model/resources.ts'
import type { TargetInfo } from '../../model/target.ts'
import type { StartResult, TaskStart } from '../../ports/targetClient.ts'
import { ManualClock } from '../clock/manualClock.ts'
import { MemoryTargetClient } from './memoryTargetClient.ts'
import { StandInTarget } from './standInTarget.ts'

const ALL_FEATURES = { fencing: true, startBy: true, inventory: true, checkpoint: true }

const RUNNER: TargetInfo = {
  id: 'runner-1',
  type: 'runner',
  address: '127.0.0.1:0',
  dataCentre: 'attica-a',
  region: 'Attica',
  rack: 'rack-1',
  capacity: resources({ slots: 2 }),
  connections: 4,
  features: ALL_FEATURES,
  leaving: false
}

function createStart (taskId: string, overrides: Partial<TaskStart> = {}): TaskStart {
  return {
    taskId,
    team: 'weavers',
    requestId: `request-${taskId}`,
    kind: 'urgent',
    name: 'price-check',
    size: resources({ slots: 1 }),
    payload: { runMs: 1_000 },
    epoch: 1,
    startByWallMs: Number.MAX_SAFE_INTEGER,
    leaseMs: 15_000,
    detached: false,
    ...overrides
  }
}

function createTarget (overrides: Partial<TargetInfo> = {}): { clock: ManualClock, target: StandInTarget, client: MemoryTargetClient } {
  const clock = new ManualClock()
  const target = new StandInTarget({ ...RUNNER, ...overrides }, clock)
  return { clock, target, client: new MemoryTargetClient(clock, [target]) }
}

async function readAnswer (result: StartResult): Promise<string> {
  if (result.outcome !== 'started') throw new Error(result.outcome)
  const chunks: Uint8Array[] = []
  for await (const chunk of result.answer.body) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

test('a target does not exceed its capacity in any dimension, for any order of starts and stops', t => {
  fc.assert(fc.property(fc.array(fc.record({
    stop: fc.boolean(),
    task: fc.nat(12),
    size: fc.record({ slots: fc.nat(3), processors: fc.nat(3), memory: fc.nat(3), accelerators: fc.nat(3) })
  })), steps => {
    const capacity = resources({ slots: 4, processors: 4, memory: 4, accelerators: 4 })
    const { target } = createTarget({ capacity })
    for (const { stop, task, size } of steps) {
      if (stop) target.command(`task-${task}`, 1, 'stop')
      else target.start(createStart(`task-${task}`, { size }))
    }
    const running = target.usage().reduce((sum, task) => sum + task.size.memory, 0)
    return fits(target.highestReserved, capacity) && target.reserved.memory === running
  }), { seed: 7, numRuns: 200 })
  t.pass()
})

test('a target does not start work beyond its connection limit', t => {
  const { target } = createTarget()
  const connections = Array.from({ length: RUNNER.connections + 1 }, () => target.openConnection())
  t.deepEqual(target.start(createStart('task-1')), { outcome: 'refused', refusal: 'no-capacity' })
  connections[0]?.()
  connections[0]?.()
  t.is(target.start(createStart('task-2')).outcome, 'started')
  target.openConnection()
  t.is(target.start(createStart('task-3')).outcome, 'refused')
  t.is(target.highestConnections, RUNNER.connections + 1)
})

test('a sender with a lower epoch cannot start, renew or stop tasks after a fence', async t => {
  const { client, target } = createTarget()
  target.start(createStart('task-1'))
  t.like(await client.fence(RUNNER, 2), { outcome: 'fenced', tasks: [{ taskId: 'task-1', state: 'running' }] })
  t.deepEqual(await client.start(RUNNER, createStart('task-2')), { outcome: 'refused', refusal: 'fenced' })
  t.deepEqual(await client.fence(RUNNER, 1), { outcome: 'refused', highestEpoch: 2 })
  await t.throwsAsync(client.renew(RUNNER, 'task-1', 1, 15_000), { code: 'fenced' })
  await t.throwsAsync(client.command(RUNNER, 'task-1', 1, 'stop'), { code: 'fenced' })
})

test('a task does not run past the end of its lease unless it is renewed', async t => {
  const { clock, target } = createTarget()
  target.start(createStart('task-1', { payload: { runMs: 60_000 }, leaseMs: 1_000 }))
  await clock.advance(900)
  target.renew('task-1', 1, 1_000)
  await clock.advance(999)
  t.is(target.usage().length, 1)
  await clock.advance(1)
  t.like(target.history[0], { ending: 'lease-ended', endedAtWallMs: clock.wallMs() })
  t.deepEqual(target.reserved, resources({}))
})

test('a start does not run after its start-by time, on a leaving target or as a duplicate of a refused or stopped start', t => {
  const { clock, target } = createTarget()
  const late = createStart('task-1', { startByWallMs: clock.wallMs() - 1 })
  t.deepEqual(target.start(late), { outcome: 'refused', refusal: 'too-late' })
  t.deepEqual(target.start(createStart('task-1')), { outcome: 'refused', refusal: 'too-late' })
  t.is(target.command('task-2', 1, 'stop'), undefined)
  t.deepEqual(target.start(createStart('task-2')), { outcome: 'refused', refusal: 'unknown-task' })
  target.leaving = true
  t.deepEqual(target.start(createStart('task-3')), { outcome: 'refused', refusal: 'leaving' })
  t.deepEqual(target.history, [])
})

test('a target does not enforce features that it lacks', t => {
  const { target } = createTarget({ features: { fencing: false, startBy: false, inventory: false, checkpoint: false } })
  target.start(createStart('task-1', { epoch: 3, startByWallMs: 0 }))
  t.deepEqual(target.fence(2), { outcome: 'fenced', tasks: [] })
  t.is(target.start(createStart('task-2', { epoch: 1 })).outcome, 'started')
  t.throws(() => target.command('task-1', 1, 'checkpoint'), { message: /does not support checkpoints/ })
})

test('usage above the reservation is reported only after the lag, and a throttle lowers it', async t => {
  const { clock, target } = createTarget()
  target.start(createStart('task-1', { payload: { runMs: 60_000, usage: { slots: 2 } } }))
  t.is(target.inspect('task-1')?.usage, undefined)
  await clock.advance(target.usageLagMs)
  t.is(target.inspect('task-1')?.usage?.slots, 2)
  target.command('task-1', 1, 'throttle')
  await clock.advance(target.usageLagMs)
  t.is(target.inspect('task-1')?.usage?.slots, 1)
})

test('a start delivered twice runs once, and a delayed start still arrives after its caller has given up', async t => {
  const { clock, client, target } = createTarget()
  client.chooseFault = () => ({ type: 'duplicate', afterMs: 500 })
  const first = client.start(RUNNER, createStart('task-1', { payload: { runMs: 400, answer: 'done' } }))
  await clock.advance(1_000)
  t.is(await readAnswer(await first), '"done"')
  client.chooseFault = () => ({ type: 'delay', durationMs: 500 })
  const abort = new AbortController()
  const second = client.start(RUNNER, createStart('task-2', { payload: { runMs: 0 } }), abort.signal)
  abort.abort(new Error('caller gave up'))
  t.like(await second, { outcome: 'unknown' })
  await clock.advance(500)
  t.deepEqual(target.history.map(({ taskId, ending }) => [taskId, ending]), [['task-1', 'finished'], ['task-2', 'finished']])
})

test('the reported outcome of a start does not understate what happened', async t => {
  const { clock, client, target } = createTarget()
  const outcomes: Record<string, unknown> = {}
  for (const type of ['unreachable', 'loseCall', 'loseAnswer'] as const) {
    client.chooseFault = () => ({ type })
    outcomes[type] = [(await client.start(RUNNER, createStart(type, { payload: 1 }))).outcome, target.history.length]
  }
  t.deepEqual(outcomes, { unreachable: ['unreachable', 0], loseCall: ['unknown', 0], loseAnswer: ['unknown', 1] })
  client.chooseFault = () => ({ type: 'truncate', afterBytes: 70_000 })
  const truncated = await client.start(RUNNER, createStart('task-1', { payload: { bytes: 100_000 } }))
  await t.throwsAsync(readAnswer(truncated), { name: 'IncompleteAnswerError' })
  client.chooseFault = () => undefined
  const running = client.start(RUNNER, createStart('task-2'))
  const failing = client.start(RUNNER, createStart('task-3', { payload: { runMs: 10, fail: 'out of paper' } }))
  await clock.advance(10)
  t.deepEqual(await failing, { outcome: 'failed', message: 'out of paper' })
  target.crash()
  t.like(await running, { outcome: 'unknown' })
  t.like(await client.start(RUNNER, createStart('task-4')), { outcome: 'unreachable' })
})
