import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import type { CallerAnswer, CallerCall } from '../../entry/callerCall.ts'
import { DesiredStateIndex } from '../../jobs/desiredStateIndex.ts'
import type { LogRecord } from '../../jobs/jobRecords.ts'
import { JobTable } from '../../jobs/jobTable.ts'
import { createStep, TEST_QUEUE } from '../../jobs/testing/definitions.ts'
import { resources } from '../../model/resources.ts'
import { createLogger } from '../../observability/logger.ts'
import type { Logger } from '../../observability/logger.ts'
import type { DesiredStateWatcher } from '../desiredStateWatcher.ts'
import type { JobCoordinator } from '../jobCoordinator.ts'
import { SimulatedCluster, URGENT } from '../testing/simulatedCluster.ts'
import { JobIntake } from './jobIntake.ts'

test('a job that was never stored is not reported as accepted by a call that waited until the term had ended', async t => {
  const coordinator = { ready: true, table: { jobs: new Map([['1', {}]]), finished: new Map() } }
  const state = { version: 1, queues: [TEST_QUEUE], services: [], teams: [{ name: 'weavers', keys: ['k'], weight: 1, cap: resources({}) }], maximumBodyBytes: 0 }
  const desired = {
    state,
    index: new DesiredStateIndex(state),
    refresh: async () => { coordinator.ready = false }
  }
  const intake = new JobIntake(coordinator as unknown as JobCoordinator, desired as unknown as DesiredStateWatcher, new ManualClock(),
    createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'howrah', secrets: [] }))
  const answer = await intake.handle({ action: 'submit', host: TEST_QUEUE.host, path: `${TEST_QUEUE.pathPrefix}1`, key: 'k', definition: '{}', desiredStateVersion: 2 })
  t.is(answer.outcome, 'unavailable')
})

/** A caller's side of the real coordinator of a simulated cluster, in which teams send urgent jobs of three tasks. */
class SimulatedCallers {
  readonly cluster = new SimulatedCluster({ targets: 4, cap: 0, lateMs: 0, failing: false })
  readonly answers = new Map<string, CallerAnswer & { readonly team: string, readonly atMs: number }>()
  /** Time from the answer until the end, of accepted jobs. */
  readonly durationsMs = new Map<string, number>()
  readonly lines: string[] = []
  #intake: JobIntake | undefined

  async elect (): Promise<void> {
    await this.cluster.elect()
    // The process of a test is always busy; what was recorded during the election expires within a second.
    this.cluster.coordinator.admission.recordUtilization = () => {}
    await this.cluster.clock.advance(1_000)
    const state = { version: 1, queues: [URGENT], services: [], teams: ['weavers', 'dyers'].map(name => ({ name, keys: [name], weight: 4, cap: resources({}) })), maximumBodyBytes: 0 }
    const desired = { state, index: new DesiredStateIndex(state), refresh: async () => {} }
    const logger = { info: (_fields: object, line: string) => this.lines.push(line) } as unknown as Logger
    this.#intake = new JobIntake(this.cluster.coordinator, desired as unknown as DesiredStateWatcher, this.cluster.clock, logger)
  }

  /** Sends jobs at the given rates per second. */
  async send (durationMs: number, rates: Readonly<Record<string, number>>): Promise<void> {
    const { clock } = this.cluster
    for (let passedMs = 0; passedMs < durationMs; passedMs += 20) {
      for (const [team, rate] of Object.entries(rates)) {
        for (let count = Math.floor(passedMs * rate / 1_000); count < Math.floor((passedMs + 20) * rate / 1_000); count++) this.#submit(team)
      }
      await clock.advance(20)
      const { finished } = this.cluster.coordinator.table
      for (const [id, { atMs }] of this.answers) if (!this.durationsMs.has(id) && finished.has(id)) this.durationsMs.set(id, clock.monotonicMs() - atMs)
    }
  }

  #submit (team: string): void {
    const id = `${team}-${this.cluster.clock.monotonicMs()}-${Math.random()}`.replaceAll('.', '')
    const call: CallerCall = { action: 'submit', host: URGENT.host, path: `${URGENT.pathPrefix}${id}`, key: team, definition: JSON.stringify({ spec: '', steps: [createStep(3, { estimateMs: 700 })] }), desiredStateVersion: 1 }
    this.#intake?.handle(call).then(answer => this.answers.set(id, { ...answer, team, atMs: this.cluster.clock.monotonicMs() }), () => {})
  }

  /** The jobs with the outcome, by team. */
  count (outcome: CallerAnswer['outcome'], team?: string): number {
    return [...this.answers.values()].filter(answer => answer.outcome === outcome && (team === undefined || answer.team === team)).length
  }
}

/** Of these jobs the cluster runs 15 per second. */
const BURST = { weavers: 25, dyers: 3 }
const OBJECTIVE_MS = 700 * URGENT.stretchFactor + URGENT.latencyObjectiveMs

test('burst of twice the capacity, with a change of coordinator: what is accepted ends in time, the rest is refused at once, and no team within its share is refused', async t => {
  const callers = new SimulatedCallers()
  await callers.elect()
  await callers.send(4_000, BURST)
  callers.cluster.coordinator.close()
  await callers.elect()
  await callers.send(4_000, BURST)
  await callers.send(5_000, {})
  const durations = [...callers.durationsMs.values()]
  t.log(`${callers.answers.size} answers, ${callers.count('accepted')} accepted, ${durations.filter(ms => ms <= OBJECTIVE_MS).length} in time, ${callers.count('limited')} refused`)
  t.is(callers.count('limited', 'dyers'), 0)
  t.is(durations.length, callers.count('accepted'), 'all accepted jobs end, also those of the first coordinator')
  t.true(durations.filter(ms => ms <= OBJECTIVE_MS).length >= durations.length * 0.9)
  t.true(callers.count('limited') > 30)
  t.true(callers.count('accepted') > 15 * 8 * 0.8, 'most of what can be run is accepted')
  t.true(callers.lines.filter(line => line === 'jobs refused').length <= 6, 'refusals are logged in summary')
  callers.cluster.close()
})

test('store outage: jobs are refused at once, and their callers return spread over more than 2 s', async t => {
  const state = { version: 1, queues: [TEST_QUEUE], services: [], teams: [{ name: 'weavers', keys: ['k'], weight: 1, cap: resources({}) }], maximumBodyBytes: 0 }
  const desired = { state, index: new DesiredStateIndex(state), refresh: async () => {} }
  const coordinator = { ready: true, storeFails: true, table: { jobs: new Map(), finished: new Map() }, admissionObserver: { observeRefusal: () => {}, observeStart: () => {} } }
  const intake = new JobIntake(coordinator as unknown as JobCoordinator, desired as unknown as DesiredStateWatcher, new ManualClock(),
    createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'howrah', secrets: [] }))
  const told = new Set<number>()
  for (let number = 0; number < 200; number++) {
    const answer = await intake.handle({ action: 'submit', host: TEST_QUEUE.host, path: `${TEST_QUEUE.pathPrefix}${number}`, key: 'k', definition: '{}', desiredStateVersion: 1 })
    if (answer.outcome === 'unavailable') told.add(answer.retryAfterSeconds)
  }
  t.deepEqual([...told].sort(), [2, 3, 4])
})

// Guards against accepted jobs that are answered as unknown, since their queue requires a key by now.
test('a job that was accepted without a key can be read with one, and those of other teams can not', async t => {
  const jobs = new Map([['1', ''], ['2', 'weavers'], ['3', 'dyers']].map(([id = '', team]) => [id, { state: 'active', queue: TEST_QUEUE, record: { team, queue: TEST_QUEUE.name } }]))
  const coordinator = { ready: true, storeFails: false, table: { jobs, finished: new Map() }, confirmLeadership: async () => true, applyAndAppend: async () => {} }
  const state = { version: 1, queues: [TEST_QUEUE], services: [], teams: [{ name: 'weavers', keys: ['k'], weight: 1, cap: resources({}) }], maximumBodyBytes: 0 }
  const desired = { state, index: new DesiredStateIndex(state), refresh: async () => {} }
  const intake = new JobIntake(coordinator as unknown as JobCoordinator, desired as unknown as DesiredStateWatcher, new ManualClock(),
    createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'howrah', secrets: [] }))
  const read = async (id: string): Promise<string> =>
    (await intake.handle({ action: 'read', host: TEST_QUEUE.host, path: `${TEST_QUEUE.pathPrefix}${id}`, key: 'k', definition: '', desiredStateVersion: 1 })).outcome
  t.deepEqual([await read('1'), await read('2'), await read('3'), await read('4')], ['state', 'state', 'no-job', 'no-job'])
})

// Guards against calls about unknown jobs that pile up at the coordinator while the store does not answer.
test('calls about unknown jobs that wait for the store have a limit, beyond which they are refused at once', async t => {
  const lines: string[] = []
  let answerStore: (isLeader: boolean) => void = () => {}
  const confirmed = new Promise<boolean>(resolve => { answerStore = resolve })
  const table = new JobTable(() => 0)
  const coordinator = {
    ready: true,
    storeFails: false,
    table,
    outcomeWallMs: 0,
    confirmLeadership: async () => await confirmed,
    flushed: async () => { await confirmed },
    applyAndAppend: async (records: readonly LogRecord[]) => {
      for (const record of records) table.apply(record)
      await confirmed
    }
  }
  const state = { version: 1, queues: [TEST_QUEUE], services: [], teams: [{ name: 'weavers', keys: ['k'], weight: 1, cap: resources({}) }], maximumBodyBytes: 0 }
  const desired = { state, index: new DesiredStateIndex(state), refresh: async () => {} }
  const logger = { warn: (_fields: object, line: string) => lines.push(line) }
  const intake = new JobIntake(coordinator as unknown as JobCoordinator, desired as unknown as DesiredStateWatcher, new ManualClock(), logger as unknown as Logger)
  const call = async (number: number): Promise<CallerAnswer> =>
    await intake.handle({ action: number % 2 === 0 ? 'read' : 'cancel', host: TEST_QUEUE.host, path: `${TEST_QUEUE.pathPrefix}${number}`, key: 'k', definition: '', desiredStateVersion: 1 })
  let settled = 0
  const answers = Array.from({ length: 5_000 }, async (_, number) => {
    const answer = await call(number)
    settled += 1
    return answer
  })
  await new Promise(resolve => setImmediate(resolve))
  const refused = settled
  t.true(refused >= 2_500, `${refused} refused at once`)
  answerStore(true)
  const outcomes = (await Promise.all(answers)).map(({ outcome }) => outcome)
  t.is(outcomes.filter(outcome => outcome === 'unavailable').length, refused)
  t.is(outcomes.filter(outcome => outcome === 'no-job').length, 5_000 - refused)
  t.is((await call(1)).outcome, 'no-job')
  t.is(lines.length, 1)
})
