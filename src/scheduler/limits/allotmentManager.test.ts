import test from 'ava'
import fc from 'fast-check'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { SeededRandom } from '../../adapters/random/seededRandom.ts'
import { incarnationKey } from '../../model/identity.ts'
import { resources } from '../../model/resources.ts'
import type { OwnershipRecord } from '../ownership/ownershipRecord.ts'
import { FakeStore } from '../testing/fakeStore.ts'
import { InstanceFaults } from '../testing/instanceFaults.ts'
import { AllotmentManager } from './allotmentManager.ts'

const SEED = 20_261_204
const RUNS = Number(process.env.RUNS ?? 150)
const LIMIT = 20
const TEAM = 'weavers'

class AllotmentCell {
  readonly clock = new ManualClock()
  readonly store = new FakeStore()
  readonly managers: AllotmentManager[] = []
  readonly faults: InstanceFaults[] = []
  #record: OwnershipRecord = { members: [], targets: {} }

  add (dataCentre = 'howrah'): AllotmentManager {
    const index = this.managers.length
    const self = { name: `howrah-${index}`, incarnation: 'a' }
    const faults = new InstanceFaults(new SeededRandom(index))
    const record = (): OwnershipRecord => this.#record
    this.#record = { ...this.#record, members: [...this.#record.members, incarnationKey(self)] }
    const manager: AllotmentManager = new AllotmentManager({
      store: this.store.connect(faults, this.clock),
      clock: this.clock,
      dataCentre,
      ownership: { self, joined: true, get record () { return record() }, readRecord: async () => record() },
      peerClient: {
        transferAllotment: async (address, receiver, team, wanted) => {
          const given = await this.managers[Number(address)]!.transfer(receiver, team, wanted)
          if (faults.nextFault('store') !== 'none') throw new Error('injected fault: the answer to the transfer was lost')
          return given
        }
      },
      findDonor: () => {
        const spares = this.managers.map(other => other === manager ? -1 : other.spare(TEAM).slots)
        return String(spares.indexOf(Math.max(...spares)))
      },
      dataCentreOf: () => dataCentre
    })
    manager.setLimit(TEAM, { slots: LIMIT }, 1)
    this.managers.push(manager)
    this.faults.push(faults)
    return manager
  }

  async stop (): Promise<void> {
    await Promise.all(this.managers.map(manager => manager.stop()))
  }
}

const action = fc.record({
  type: fc.constantFrom('spend', 'spend', 'spend', 'refund', 'demand', 'pause', 'resume', 'faulty', 'calm'),
  holder: fc.nat(2),
  slots: fc.integer({ min: 1, max: 12 }),
  waitMs: fc.nat(2_000)
})

test('allotments never grant more than a central counter would, and can grant the whole limit once faults have ended', async t => {
  let granted = 0
  await fc.assert(fc.asyncProperty(fc.array(action, { minLength: 20, maxLength: 80 }), async actions => {
    const cell = new AllotmentCell()
    for (let index = 0; index < 3; index++) await cell.add().start()
    const running: Array<{ readonly taskId: string, readonly holder: number, readonly slots: number }> = []
    const counter = (): number => running.reduce((sum, task) => sum + task.slots, 0)
    let tasks = 0
    const spend = (holder: number, slots: number): void => {
      const taskId = `task-${tasks++}`
      if (!cell.managers[holder]?.trySpend(TEAM, taskId, resources({ slots }))) return
      granted++
      running.push({ taskId, holder, slots })
      if (counter() > LIMIT) throw new Error(`limit exceeded: ${counter()} of ${LIMIT} slots granted`)
    }
    for (const { type, holder, slots, waitMs } of actions) {
      if (type === 'spend') spend(holder, slots)
      else if (type === 'demand') cell.managers[holder]?.setQueuedDemand(TEAM, resources({ slots: slots - 1 }))
      else if (type === 'pause') cell.faults[holder]?.pause()
      else if (type === 'resume') cell.faults[holder]?.resume()
      else if (type === 'faulty') cell.faults[holder]?.setRates(0.3, 0.1)
      else if (type === 'calm') cell.faults[holder]?.setRates(0, 0)
      const ended = type === 'refund' ? running.splice(slots % Math.max(1, running.length), 1)[0] : undefined
      if (ended) cell.managers[ended.holder]?.refund(ended.taskId)
      await cell.clock.advance(waitMs)
      // Spends while writes may be in flight.
      spend(holder, 1)
    }
    for (const faults of cell.faults) {
      faults.setRates(0, 0)
      faults.resume()
    }
    const last = cell.managers[0]
    for (const manager of cell.managers) manager.setQueuedDemand(TEAM, resources({}))
    for (let second = 0; second < 60 && counter() < LIMIT; second++) {
      last?.setQueuedDemand(TEAM, resources({ slots: 1 }))
      await cell.clock.advance(2_000)
      spend(0, 1)
    }
    await cell.stop()
    if (counter() < LIMIT) throw new Error(`only ${counter()} of ${LIMIT} slots granted after the faults had ended`)
  }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true, endOnFailure: true })
  t.log(`${granted} spends granted`)
  t.true(granted > RUNS)
})

test('after a limit is lowered, the amount still held above it is reported by data centre', async t => {
  const cell = new AllotmentCell()
  const [first, second] = [cell.add('howrah'), cell.add('matigara')]
  await Promise.all([first.start(), second.start()])
  for (const [index, manager] of [first, second].entries()) {
    manager.setQueuedDemand(TEAM, resources({ slots: 8 }))
    await cell.clock.advance(3_000)
    for (let slot = 0; slot < 8; slot++) t.true(manager.trySpend(TEAM, `task-${index}-${slot}`, resources({ slots: 1 })))
    manager.setQueuedDemand(TEAM, resources({}))
  }
  for (const manager of [first, second]) manager.setLimit(TEAM, { slots: 10 }, 2)
  await cell.clock.advance(5_000)
  const status = await first.readStatus(TEAM)
  t.is(status.aboveLimit.slots, 6)
  t.deepEqual(Object.keys(status.byDataCentre).sort(), ['howrah', 'matigara'])
  t.false(first.trySpend(TEAM, 'one-more', resources({ slots: 1 })))
  t.true(first.trySpend(TEAM, 'unlimited', resources({ processors: 500 })))
  await cell.stop()
})

test('an amount that is being returned is not spent while the store does not answer', async t => {
  const cell = new AllotmentCell()
  const [first, second] = [cell.add(), cell.add()]
  await Promise.all([first.start(), second.start()])
  first.setQueuedDemand(TEAM, resources({ slots: 16 }))
  await cell.clock.advance(3_000)
  cell.faults[0]?.setNextFaults(['answerLost', ...Array.from({ length: 100 }, () => 'down' as const)])
  first.setQueuedDemand(TEAM, resources({}))
  await cell.clock.advance(2_000)
  second.setQueuedDemand(TEAM, resources({ slots: 15 }))
  await cell.clock.advance(2_000)
  t.true(second.trySpend(TEAM, 'task-2', resources({ slots: 15 })))
  t.false(first.trySpend(TEAM, 'task-1', resources({ slots: 6 })))
  await cell.stop()
})

// Guards against requests that wait until their deadline at an instance without the store, whose copy of the record still
// shows the limit as used up, although other instances have free allotments.
test('a request may fit elsewhere if the record, as last read, is full and was not read since the request began to wait', async t => {
  const cell = new AllotmentCell()
  const [first, second] = [cell.add(), cell.add()]
  await Promise.all([first.start(), second.start()])
  second.setQueuedDemand(TEAM, resources({ slots: LIMIT }))
  await cell.clock.advance(3_000)
  t.true(second.trySpend(TEAM, 'task-1', resources({ slots: LIMIT })))
  first.setQueuedDemand(TEAM, resources({ slots: 1 }))
  await cell.clock.advance(3_000)
  t.is(first.status(TEAM).held.slots, LIMIT)
  t.false(first.mayFitElsewhere(TEAM, resources({ slots: 1 }), 2_500), 'the limit is in use')
  cell.faults[0]?.setDown('store', true)
  second.refund('task-1')
  second.setQueuedDemand(TEAM, resources({}))
  await cell.clock.advance(2_000)
  t.true(second.spare(TEAM).slots > 0, 'the other instance has a free allotment')
  t.is(first.status(TEAM).held.slots, LIMIT, 'the record is not read again')
  t.true(first.mayFitElsewhere(TEAM, resources({ slots: 1 }), 1_000))
  await cell.stop()
})

// Guards against requests that wait for another reason than the allotment of their instance, such as the size of a free
// target, and are passed on to instances that hold nothing of the limit.
test('a request may not fit elsewhere because of an old record while the allotment covers the demand of the team', async t => {
  const cell = new AllotmentCell()
  const first = cell.add()
  await first.start()
  first.setQueuedDemand(TEAM, resources({ slots: LIMIT }))
  await cell.clock.advance(3_000)
  t.true(first.trySpend(TEAM, 'task-1', resources({ slots: LIMIT - 2 })))
  first.setQueuedDemand(TEAM, resources({ slots: 2 }))
  await cell.clock.advance(1_000)
  const { storeCalls } = first
  await cell.clock.advance(2_000)
  t.is(first.status(TEAM).held.slots, LIMIT)
  t.is(first.storeCalls, storeCalls, 'the record is not read while nothing is unmet')
  t.false(first.mayFitElsewhere(TEAM, resources({ slots: 2 }), 1_000))
  await cell.stop()
})
