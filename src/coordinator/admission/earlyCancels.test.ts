/** Cancels that arrive before the submissions of their jobs. */
import test from 'ava'
import type { CallAction, CallerAnswer } from '../../entry/callerCall.ts'
import type { QueueSettings } from '../../jobs/desiredState.ts'
import { DesiredStateIndex } from '../../jobs/desiredStateIndex.ts'
import { createStep } from '../../jobs/testing/definitions.ts'
import { resources } from '../../model/resources.ts'
import { createLogger } from '../../observability/logger.ts'
import type { DesiredStateWatcher } from '../desiredStateWatcher.ts'
import { BATCH, SimulatedCluster, URGENT } from '../testing/simulatedCluster.ts'
import { JobIntake } from './jobIntake.ts'

const OPEN: QueueSettings = { ...BATCH, name: 'open', pathPrefix: '/open/', anonymous: true }
const QUEUES = [URGENT, BATCH, OPEN]
const TEAMS = ['weavers', 'dyers']

/** Callers at the coordinator of a simulated cluster; teams use their names as keys. */
class Callers {
  readonly cluster = new SimulatedCluster({ targets: 4, cap: 0, lateMs: 0, failing: false })
  /** Time that a refresh of the desired state takes. */
  refreshMs = 0
  #intake: JobIntake | undefined

  async elect (): Promise<void> {
    this.cluster.setQueues(QUEUES)
    await this.cluster.elect()
    const state = { version: 1, queues: QUEUES, services: [], teams: TEAMS.map(name => ({ name, keys: [name], weight: 1_000, cap: resources({}) })), maximumBodyBytes: 0 }
    const desired = { state, index: new DesiredStateIndex(state), refresh: async () => await this.cluster.clock.sleep(this.refreshMs) }
    this.#intake = new JobIntake(this.cluster.coordinator, desired as unknown as DesiredStateWatcher, this.cluster.clock, createLogger({ level: 'silent', instance: 'test', dataCentre: 'test', secrets: [] }))
  }

  async succeed (): Promise<void> {
    this.cluster.coordinator.close()
    await this.elect()
  }

  async call (action: CallAction, id: string, key = 'weavers', queue = URGENT, desiredStateVersion = 1): Promise<CallerAnswer> {
    const definition = action === 'submit' ? JSON.stringify({ spec: '', steps: [createStep(2)] }) : ''
    const answered = this.#intake?.handle({ action, host: queue.host, path: `${queue.pathPrefix}${id}`, key, definition, desiredStateVersion })
    await this.cluster.clock.advance(200)
    if (answered === undefined) throw new Error('there is no coordinator')
    return await answered
  }

  async outcomes (...calls: readonly (readonly [CallAction, string, string?, QueueSettings?])[]): Promise<readonly string[]> {
    const outcomes: string[] = []
    for (const call of calls) {
      const answer = await this.call(...call)
      outcomes.push(answer.outcome === 'state' ? answer.state : answer.outcome)
    }
    return outcomes
  }

  get starts (): number {
    return [0, 1, 2, 3].reduce((sum, number) => sum + this.cluster.target(number).starts, 0)
  }
}

async function createCallers (): Promise<Callers> {
  const callers = new Callers()
  await callers.elect()
  return callers
}

// Guards against a submission that an instance hands in after its client has cancelled it at another one (UNASKED).
test('a submission that arrives after its cancel was acknowledged never runs, and is shown as cancelled from then on', async t => {
  const callers = await createCallers()
  t.deepEqual(await callers.outcomes(['cancel', 'a'], ['read', 'a'], ['submit', 'a'], ['read', 'a'], ['submit', 'a'], ['cancel', 'a']), ['no-job', 'no-job', 'accepted', 'cancelled', 'accepted', 'cancelled'])
  await callers.cluster.clock.advance(5_000)
  t.is(callers.starts, 0)
  callers.cluster.close()
})

// Guards against a submission that is cancelled while the coordinator waits for the store before it decides on it.
test('a submission that waits for the desired state while its cancel is acknowledged never runs', async t => {
  const callers = await createCallers()
  callers.refreshMs = 1_000
  const submitted = callers.call('submit', 'a', 'weavers', URGENT, 2)
  t.is((await callers.call('cancel', 'a')).outcome, 'no-job')
  await callers.cluster.clock.advance(5_000)
  t.is((await submitted).outcome, 'accepted')
  t.deepEqual([await callers.outcomes(['read', 'a']), callers.starts], [['cancelled'], 0])
  callers.cluster.close()
})

// Guards against a cancel that is acknowledged by one coordinator and not known to the next.
test('a successor, with and without a snapshot, knows the cancels that were acknowledged before its submissions arrive', async t => {
  const callers = await createCallers()
  await callers.call('cancel', 'a')
  await callers.succeed()
  t.deepEqual(await callers.outcomes(['submit', 'a'], ['read', 'a'], ['cancel', 'b']), ['accepted', 'cancelled', 'no-job'])
  const { table } = callers.cluster.coordinator
  t.deepEqual(table.toRecords().flatMap(record => record.type === 'cancelled-early' ? [record.id] : []), ['a', 'b'])
  await callers.succeed()
  t.deepEqual(await callers.outcomes(['read', 'a'], ['submit', 'b'], ['read', 'b']), ['cancelled', 'accepted', 'cancelled'])
  t.is(callers.starts, 0)
  callers.cluster.close()
})

// Guards against callers that cancel jobs of others, by identities that they have guessed, before these are submitted.
test('a cancel affects only submissions of its team to its queue, and one without a key only those without a key', async t => {
  const callers = await createCallers()
  await callers.outcomes(['cancel', 'a'], ['cancel', 'b', 'dyers'], ['cancel', 'c', '', OPEN], ['cancel', 'd', '', OPEN])
  t.deepEqual(await callers.outcomes(['submit', 'a', 'weavers', BATCH], ['read', 'a', 'weavers', BATCH], ['submit', 'b'], ['read', 'b'], ['submit', 'c', 'weavers', OPEN], ['read', 'c', 'weavers', OPEN], ['submit', 'd', '', OPEN], ['read', 'd', '', OPEN]),
    ['accepted', 'active', 'accepted', 'active', 'accepted', 'active', 'accepted', 'cancelled'])
  callers.cluster.close()
})

// Guards against a cancel that is acknowledged although no successor would know of it.
test('a cancel of an unknown job is not acknowledged before it is stored', async t => {
  const callers = await createCallers()
  callers.cluster.store.commitDelayMs = 400
  let settled = false
  const first = callers.call('cancel', 'a').finally(() => { settled = true })
  await callers.cluster.clock.advance(350)
  t.false(settled)
  const repeated = callers.call('cancel', 'a')
  await callers.cluster.clock.advance(1_000)
  t.deepEqual([(await first).outcome, (await repeated).outcome], ['no-job', 'no-job'])
  callers.cluster.coordinator.close()
  t.is((await callers.call('cancel', 'b')).outcome, 'unavailable')
  callers.cluster.close()
})

// Guards against a cancel that is acknowledged and then forgotten, of a job that is recorded as cancelled when its submission arrives (UNASKED).
test('a cancel of a job whose submission arrived after an earlier cancel is not acknowledged before it is stored', async t => {
  const callers = await createCallers()
  callers.cluster.store.commitDelayMs = 60_000
  const outcomes: string[] = []
  callers.call('cancel', 'a').catch(() => {})
  callers.call('submit', 'a').catch(() => {})
  await callers.cluster.clock.advance(100)
  callers.call('cancel', 'a').then(({ outcome }) => outcomes.push(outcome), () => {})
  await callers.cluster.clock.advance(300)
  t.deepEqual(outcomes, [])
  callers.cluster.close()
})

// Guards against a team, or clients without a key, that take all memory for cancels, and against cancels that are acknowledged and forgotten.
test('cancels of unknown jobs beyond the limit of a team are refused until earlier ones have expired, and those of other teams are acknowledged', async t => {
  const callers = await createCallers()
  const { table } = callers.cluster.coordinator
  for (let number = 0; number < 1_000; number++) table.earlyCancellations.add({ id: `${number}`, queue: URGENT.name, team: 'weavers', wallMs: callers.cluster.coordinator.outcomeWallMs })
  t.deepEqual(await callers.outcomes(['cancel', 'a'], ['cancel', '7'], ['cancel', 'a', 'dyers'], ['cancel', 'a', '', OPEN], ['cancel', 'x'.repeat(129)]), ['unavailable', 'no-job', 'no-job', 'no-job', 'invalid'])
  t.deepEqual(await callers.outcomes(['submit', 'a'], ['submit', '7'], ['read', '7']), ['accepted', 'accepted', 'cancelled'], 'other work goes on')
  await callers.cluster.clock.advance(122_000)
  t.deepEqual([...table.earlyCancellations.all], [])
  t.is((await callers.call('cancel', 'b')).outcome, 'no-job')
  callers.cluster.close()
})
