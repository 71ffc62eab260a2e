import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { JobProgress } from '../../jobs/jobProgress.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../../jobs/testing/definitions.ts'
import { resources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import { createLogger } from '../../observability/logger.ts'
import type { FinishedRun, JobTargetClient, RenewOrder, RenewOutcome, StartOutcome, StopOrder, StopOutcome, TaskOrder } from '../../ports/jobTarget.ts'
import { createTicket, NO_TICKET_NEEDED } from '../advice/startTicket.ts'
import { Assignment } from './assignment.ts'
import { StartsInTransit } from './startsInTransit.ts'
import type { TargetListener } from './targetListener.ts'
import { TargetFence } from './targetFence.ts'
import { TargetSession } from './targetSession.ts'

const LEASE_MS = 9_500
const CAPACITY = resources({ processors: 64_000, memory: 1_000 })
const LISTED = { draining: false, capacity: CAPACITY }
const logger = createLogger({ level: 'silent', instance: 'test', dataCentre: 'test', secrets: [] })

class FakeTarget implements JobTargetClient {
  readonly starts: TaskOrder[] = []
  readonly renewals: RenewOrder[] = []
  readonly stops: string[] = []
  finished: FinishedRun[] = []
  running: { task: string, attempt: number, checkpoint: string, percent: number }[] = []
  reachable = true
  answersStops = true
  /** Number of next reports that omit the running tasks. */
  runningAfterReports = 0
  /** Number of finished runs in a report, the oldest first. */
  finishedPerReport = 500
  /** Highest fencing token that this incarnation has received. */
  #fencingToken = 0
  #bornMs = 1
  startOutcome: StartOutcome = { outcome: 'started', clockMs: 0 }
  startAnswer: Promise<void> = Promise.resolve()
  readonly #clock: ManualClock

  constructor (clock: ManualClock) {
    this.#clock = clock
  }

  get bornMs (): number {
    return this.#bornMs
  }

  /** Restarts the target if the value is another one. */
  set bornMs (bornMs: number) {
    this.#bornMs = bornMs
    this.#fencingToken = 0
  }

  #accepts (fencingToken: number): boolean {
    if (fencingToken < this.#fencingToken) return false
    this.#fencingToken = fencingToken
    return true
  }

  async start (order: TaskOrder): Promise<StartOutcome> {
    this.starts.push(order)
    await this.startAnswer
    if (!this.#accepts(order.fencingToken)) return { outcome: 'refused', refusal: 'fenced' }
    return this.startOutcome
  }

  async stop ({ task, fencingToken }: StopOrder): Promise<StopOutcome> {
    if (!this.#accepts(fencingToken)) return 'fenced'
    this.stops.push(task)
    return this.reachable && this.answersStops ? 'stopping' : 'unknown'
  }

  async renew (order: RenewOrder, beforeExecution = () => {}): Promise<RenewOutcome> {
    await this.#clock.sleep(50)
    if (!this.reachable) return { outcome: 'failed', message: 'no answer' }
    beforeExecution()
    if (!this.#accepts(order.fencingToken)) return { outcome: 'fenced' }
    this.renewals.push(order)
    this.finished = this.finished.filter(run => run.number > order.acknowledged)
    const finished = this.finished.slice(0, this.finishedPerReport)
    const mayOmitFinished = finished.length === this.finishedPerReport
    return { outcome: 'report', report: { bornMs: this.bornMs, clockMs: this.#clock.monotonicMs(), running: this.#shownRuns(), finished, mayOmitFinished } }
  }

  async close (): Promise<void> {}

  #shownRuns (): FakeTarget['running'] {
    if (this.runningAfterReports === 0) return this.running
    this.runningAfterReports -= 1
    return []
  }
}

class Recorder implements TargetListener {
  readonly events: string[] = []
  readonly unanswered: string[] = []
  readonly begun: string[] = []
  /** Resources of known tasks. */
  readonly runSizes = new Map<string, Resources>()
  /** Run ends that are not stored yet, by task. */
  readonly unstored = new Map<string, Promise<void>>()

  async runEnded (_session: TargetSession, run: FinishedRun): Promise<void> {
    this.events.push(`${run.task} ${run.end}`)
    await this.unstored.get(run.task)
  }

  sizeOfRun (task: string): Resources | undefined { return this.runSizes.get(task) }
  runLost (_session: TargetSession, { task }: Assignment, reason: string): void { this.events.push(`${task.name} lost: ${reason}`) }
  startRefused (_session: TargetSession, { task }: Assignment, refusal: string): void { this.events.push(`${task.name} refused: ${refusal}`) }
  startConfirmed (_session: TargetSession, { task }: Assignment): void { this.events.push(`${task.name} started`) }
  runBegun ({ task }: Assignment): void { this.begun.push(task.name) }
  runHeld (_session: TargetSession, { task }: Assignment): void { this.events.push(`${task.name} held`) }
  startUnanswered (_session: TargetSession, { task }: Assignment): void { this.unanswered.push(task.name) }
  async targetCrashed (): Promise<void> {}
  reported (): void {}
  joined (): void { this.events.push('joined') }
  incarnationEnded (_session: TargetSession, reason: string): void { this.events.push(`incarnation ended: ${reason}`) }
  fenced (): void { this.events.push('fenced') }
  stateChanged (): void {}
}

function createContext () {
  const clock = new ManualClock()
  return { clock, client: new FakeTarget(clock), listener: new Recorder(), fence: new TargetFence(7, () => 7 + clock.monotonicMs()), starts: new StartsInTransit(clock) }
}

function createSession (priorLeasesExtendedUntilMs = -Infinity, context = createContext(), bornMs = 1, connect: (target: FakeTarget) => JobTargetClient = target => target) {
  const { clock, client, listener, fence, starts } = context
  let isReplaced = false
  const session = new TargetSession({
    description: { id: 'worker-1', bornMs, address: '', service: 'renders', dataCentre: 'attica-a', capacity: CAPACITY, labels: [] },
    client: connect(client),
    clock,
    logger,
    listener,
    fence,
    starts,
    leaseMs: LEASE_MS,
    hasAuthority: () => true,
    isReplaced: () => isReplaced,
    isEvacuated: () => false,
    priorLeasesExtendedUntilMs
  })
  session.run().catch(error => listener.events.push(String(error)))
  return { ...context, session, replace: () => { isReplaced = true } }
}

function createAssignment (id = 'job-1', state: Assignment['state'] = 'reserved'): Assignment {
  const record = createJobRecord(id, [createStep(1)])
  const task = new JobProgress(record, TEST_QUEUE, 0).steps[0]?.tasks[0]
  if (task === undefined) throw new Error('the job has no task')
  return new Assignment(task, 1, task.step.definition.size, state)
}

/** Reserves capacity for a run that an earlier coordinator placed. */
function reserveRecovering (session: TargetSession): Assignment {
  const assignment = createAssignment('job-1', 'recovering')
  assignment.confirmedAtMs = -Infinity
  session.recover(assignment, 0, 0)
  return assignment
}

function finishedRun (number: number, task: string): FinishedRun {
  return { number, task, attempt: 1, end: 'done', checkpoint: '' }
}

test('a run end without a record does not acknowledge an earlier one that is not stored', async t => {
  const { clock, client, listener } = createSession()
  let store: () => void = () => {}
  listener.unstored.set('a.0.0.0', new Promise(resolve => { store = resolve }))
  client.finished = [finishedRun(1, 'a.0.0.0')]
  await clock.advance(300)
  client.finished = [...client.finished, finishedRun(2, 'b.0.0.0')]
  await clock.advance(3_000)
  t.deepEqual(listener.events, ['a.0.0.0 done', 'joined', 'b.0.0.0 done'])
  t.is(Math.max(...client.renewals.map(order => order.acknowledged)), 0)
  store()
  await clock.advance(1_500)
  t.deepEqual(client.renewals.map(order => order.acknowledged).filter(number => number > 0), [2], 'once, since the answer shows that it has arrived')
})

// Guards against starting tasks again that are done: the ends of their runs were neither stored nor listed yet.
test('store outage: a run whose end its target does not list yet, after many that are not acknowledged, is not lost', async t => {
  const { clock, client, listener, session } = createSession(0)
  const [first, second] = [reserveRecovering(session), createAssignment('job-2')]
  client.finishedPerReport = 2
  client.finished = [finishedRun(1, 'a.0.0.0'), finishedRun(2, 'b.0.0.0'), finishedRun(3, first.task.name)]
  let store: () => void = () => {}
  listener.unstored.set('b.0.0.0', new Promise(resolve => { store = resolve }))
  await clock.advance(200)
  t.deepEqual(listener.events, ['a.0.0.0 done', 'b.0.0.0 done', 'joined'], 'the first report of the target to a new coordinator')
  session.reserve(second)
  await session.start(second, NO_TICKET_NEEDED)
  client.finished.push(finishedRun(4, second.task.name))
  await clock.advance(2_000)
  t.deepEqual(listener.events.slice(3), [`${second.task.name} started`])
  t.is(session.free.processors, 62_000, 'the runs hold their capacity')
  store()
  await clock.advance(1_000)
  t.deepEqual(listener.events.slice(4), [`${first.task.name} done`, `${second.task.name} done`])
  t.is(session.free.processors, 64_000)
})

test('leases are not extended before the target has reported its clock', async t => {
  const { clock, client } = createSession()
  await clock.advance(200)
  t.is(client.renewals[0]?.leaseUntilTargetMs, undefined)
  t.true((client.renewals[1]?.leaseUntilTargetMs ?? 0) > LEASE_MS - 200)
})

// Guards against a second run: a later incarnation of the target does not know of a stop that an earlier one has confirmed.
test('an unanswered start is stopped, and holds its task until no incarnation of the target can execute it', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(200)
  client.startOutcome = { outcome: 'unknown', message: 'no answer' }
  const assignment = createAssignment()
  session.reserve(assignment)
  session.start(assignment, NO_TICKET_NEEDED).catch(error => listener.events.push(String(error)))
  await clock.advance(200)
  t.deepEqual(listener.events, ['joined'])
  await clock.advance(1_500)
  t.deepEqual(client.stops, [assignment.task.name])
  t.deepEqual(listener.unanswered, [assignment.task.name])
  await clock.advance(12_000)
  t.deepEqual(listener.events, ['joined', `${assignment.task.name} held`])
  t.is(session.free.processors, 64_000, 'this incarnation will not execute it')
  await clock.advance(3_000)
  t.deepEqual(listener.events, ['joined', `${assignment.task.name} held`, `${assignment.task.name} lost: not-reported`])
  t.is(session.free.processors, 64_000)
})

test('an unanswered start with a ticket holds its task until the ticket has expired', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(200)
  client.startOutcome = { outcome: 'unknown', message: 'no answer' }
  const assignment = createAssignment()
  session.reserve(assignment)
  session.start(assignment, createTicket('ticket', 100, 2_000)).catch(error => listener.events.push(String(error)))
  await clock.advance(1_900)
  t.deepEqual(client.stops, [assignment.task.name])
  t.deepEqual(listener.events, ['joined', `${assignment.task.name} held`])
  await clock.advance(300)
  t.deepEqual(listener.events.slice(2), [`${assignment.task.name} lost: not-reported`])
})

test('an unanswered start that the target reports as running is kept', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(200)
  client.startOutcome = { outcome: 'unknown', message: 'no answer' }
  const assignment = createAssignment()
  client.running = [{ task: assignment.task.name, attempt: 1, checkpoint: '', percent: 3 }]
  session.reserve(assignment)
  session.start(assignment, NO_TICKET_NEEDED).catch(error => listener.events.push(String(error)))
  await clock.advance(1_500)
  t.deepEqual(client.stops, [])
  t.deepEqual(listener.events, ['joined', `${assignment.task.name} started`])
  t.is(assignment.state, 'running')
})

test('a run on an unreachable target is not lost before every lease on the target has expired', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(200)
  const assignment = createAssignment()
  session.reserve(assignment)
  await session.start(assignment, NO_TICKET_NEEDED)
  client.running = [{ task: assignment.task.name, attempt: 1, checkpoint: '', percent: 0 }]
  await clock.advance(100)
  client.reachable = false
  await clock.advance(LEASE_MS)
  t.deepEqual(listener.events, ['joined', `${assignment.task.name} started`])
  // Leases are extended for 1.5 s of silence, and last 3% and 0.3 s longer on the target's clock.
  await clock.advance(1_500 + LEASE_MS * 0.03 + 600)
  t.deepEqual(listener.events.slice(2), [`${assignment.task.name} lost: lease-lapsed`, 'incarnation ended: lease-lapsed'])
})

test('a run of an earlier coordinator holds its capacity until its target reports or its leases expire', async t => {
  const priorLeasesExtendedUntilMs = 3_000
  const { clock, client, listener, session } = createSession(priorLeasesExtendedUntilMs)
  client.reachable = false
  const assignment = reserveRecovering(session)
  await clock.advance(priorLeasesExtendedUntilMs + LEASE_MS)
  t.deepEqual(listener.events, [])
  t.is(session.free.processors, 63_000)
  await clock.advance(2_000)
  t.is(listener.events[0], `${assignment.task.name} lost: lease-lapsed`)
})

test('a run that this coordinator did not request is stopped', async t => {
  const { clock, client } = createSession()
  client.running = [{ task: 'unknown.0.0.0', attempt: 1, checkpoint: '', percent: 0 }]
  await clock.advance(100)
  t.true(client.stops.includes('unknown.0.0.0'))
})

test('a restart under the same identity ends the runs of the earlier incarnation', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(200)
  const assignment = createAssignment()
  session.reserve(assignment)
  await session.start(assignment, NO_TICKET_NEEDED)
  client.bornMs = 2
  await clock.advance(1_500)
  t.deepEqual(listener.events.slice(2), [`${assignment.task.name} lost: restarted`, 'incarnation ended: restarted'])
})

test('an unanswered start is withdrawn from the next incarnation, which may execute it late', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(200)
  const assignment = createAssignment()
  const name = assignment.task.name
  session.reserve(assignment)
  client.startAnswer = new Promise(() => {})
  session.start(assignment, NO_TICKET_NEEDED).catch(error => listener.events.push(String(error)))
  client.bornMs = 2
  client.running = [{ task: name, attempt: 1, checkpoint: '', percent: 0 }]
  await clock.advance(1_500)
  t.true(client.stops.includes(name))
  t.deepEqual(listener.events, ['joined'], 'the late run has not ended yet')
  client.running = []
  await clock.advance(500)
  t.deepEqual(listener.events, ['joined', `${name} lost: restarted`, 'incarnation ended: restarted'])
})

test('a run reported by the next incarnation is ended before its task can be placed again', async t => {
  const { clock, client, listener, session } = createSession(0)
  const assignment = reserveRecovering(session)
  const name = assignment.task.name
  client.bornMs = 2
  client.running = [{ task: name, attempt: 1, checkpoint: '', percent: 0 }]
  await clock.advance(1_000)
  t.deepEqual(listener.events, [])
  client.running = []
  await clock.advance(500)
  t.deepEqual(listener.events, [`${name} lost: restarted`, 'incarnation ended: restarted'])
})

test('a start accepted by the next incarnation is not treated as ended with the earlier one', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(200)
  const assignment = createAssignment()
  const name = assignment.task.name
  session.reserve(assignment)
  // The report that shows the restart was created before the start request arrived.
  client.bornMs = 2
  await session.start(assignment, NO_TICKET_NEEDED)
  client.runningAfterReports = 1
  client.running = [{ task: name, attempt: 1, checkpoint: '', percent: 0 }]
  await clock.advance(1_500)
  t.deepEqual(listener.events, ['joined', `${name} started`])
  t.true(client.stops.includes(name))
  client.running = []
  await clock.advance(500)
  t.deepEqual(listener.events.slice(2), [`${name} lost: restarted`, 'incarnation ended: restarted'])
})

// Guards against a run of the next incarnation that is taken for one of the earlier incarnation, and released with it while it continues, since a clock seems to tell them apart.
test('restarted targets: no clock of an answer proves that the earlier incarnation has executed a start', async t => {
  const expectedMs = 300
  for (const clockMs of [0, 1, expectedMs - 20, expectedMs, expectedMs + 20, expectedMs + 1_400, 900_000]) {
    const { clock, client, listener, session } = createSession()
    await clock.advance(expectedMs)
    const assignment = createAssignment()
    const name = assignment.task.name
    session.reserve(assignment)
    client.bornMs = 2
    client.startOutcome = { outcome: 'started', clockMs }
    client.running = [{ task: name, attempt: 1, checkpoint: '', percent: 0 }]
    await session.start(assignment, NO_TICKET_NEEDED)
    await clock.advance(1_500)
    t.deepEqual(listener.events, ['joined', `${name} started`], `a clock of ${clockMs}`)
    t.true(client.stops.includes(name))
    t.deepEqual(listener.begun, [])
    client.running = []
    await clock.advance(500)
    t.deepEqual(listener.events.slice(2), [`${name} lost: restarted`, 'incarnation ended: restarted'])
    session.close()
  }
})

// Guards against a run of the next incarnation that a report from before the answer attributes to the earlier one, and against doubt about each answered start.
test('restarted targets: an answered start was executed by the incarnation if one of its reports shows the run, or was requested later', async t => {
  for (const isShown of [true, false]) {
    const context = createContext()
    const { clock, client, listener } = context
    // Waits with the report, like a target on which no run ends.
    const { session } = createSession(-Infinity, context, 1, target => ({
      start: async order => await target.start(order),
      stop: async order => await target.stop(order),
      renew: async order => {
        const result = await target.renew(order)
        await clock.sleep(50)
        return result.outcome === 'report' && isShown ? { ...result, report: { ...result.report, running: client.running } } : result
      },
      close: async () => {}
    }))
    await clock.advance(180)
    const assignment = createAssignment()
    const name = assignment.task.name
    session.reserve(assignment)
    await session.start(assignment, NO_TICKET_NEEDED)
    client.running = [{ task: name, attempt: 1, checkpoint: '', percent: 0 }]
    await clock.advance(30)
    t.deepEqual([client.renewals.length, listener.begun], [2, isShown ? [name] : []], 'after the report that was requested before the answer')
    client.running = []
    // The run may have ended beyond the ends that the report lists.
    client.finishedPerReport = 0
    await clock.advance(100)
    t.deepEqual([client.renewals.length, listener.begun], [3, [name]], 'after the next report')
    client.bornMs = 2
    await clock.advance(200)
    t.deepEqual([client.stops, listener.events.slice(2)], [[], [`${name} lost: restarted`, 'incarnation ended: restarted']], 'the run has ended with its incarnation')
  }
})

// Guards against tasks that wait for the withdrawal of a start which was answered long before its target crashed, or its coordinator was replaced.
test('restarted targets: a report is requested soon after a start was answered, although a renewal waits for the end of a run', async t => {
  const context = createContext()
  const { clock, client, listener } = context
  const requested: RenewOrder[] = []
  const { session } = createSession(-Infinity, context, 1, target => ({
    start: async order => await target.start(order),
    stop: async order => await target.stop(order),
    renew: async order => {
      requested.push(order)
      await clock.sleep(order.waitMs)
      return await target.renew(order)
    },
    close: async () => {}
  }))
  await clock.advance(300)
  t.is(requested.at(-1)?.waitMs, 1_000)
  const assignments = [createAssignment('job-1'), createAssignment('job-2')]
  const before = requested.length
  for (const assignment of assignments) {
    session.reserve(assignment)
    await session.start(assignment, NO_TICKET_NEEDED)
    await clock.advance(50)
  }
  client.running = assignments.map(({ task }) => ({ task: task.name, attempt: 1, checkpoint: '', percent: 0 }))
  await clock.advance(60)
  t.deepEqual(listener.begun, assignments.map(({ task }) => task.name))
  t.deepEqual(requested.slice(before).map(({ waitMs, acknowledged, leaseUntilTargetMs }) => [waitMs, acknowledged, leaseUntilTargetMs]), [[0, 0, undefined]], 'one report for both')
})

// Guards against stops of runs that have ended, and room kept for them, since an older report arrives after a newer one.
test('a report that was given before the last one is not taken for news', async t => {
  const context = createContext()
  const { clock, client, listener } = context
  // Waits with the report, which then takes 380 ms to arrive.
  const { session } = createSession(-Infinity, context, 1, target => ({
    start: async order => await target.start(order),
    stop: async order => await target.stop(order),
    renew: async order => {
      const result = await target.renew(order)
      if (order.waitMs === 0 || result.outcome !== 'report') return result
      await clock.sleep(20)
      const report = { ...result.report, clockMs: clock.monotonicMs(), running: client.running }
      await clock.sleep(380)
      return { outcome: 'report', report }
    },
    close: async () => {}
  }))
  await clock.advance(560)
  const assignment = createAssignment()
  const name = assignment.task.name
  session.reserve(assignment)
  await session.start(assignment, NO_TICKET_NEEDED)
  client.running = [{ task: name, attempt: 1, checkpoint: '', percent: 0 }]
  await clock.advance(15)
  client.running = []
  client.finished = [finishedRun(1, name)]
  await clock.advance(150)
  t.deepEqual(listener.events.slice(1), [`${name} started`, `${name} done`])
  await clock.advance(2_000)
  t.deepEqual([client.stops, session.free.processors], [[], 64_000])
})

// Guards against a withdrawal that ends at once, while the run goes on, since the answer to its start arrives after the session has ended.
test('restarted targets: an answer that arrives while its start is withdrawn does not end the withdrawal', async t => {
  const context = createContext()
  const { clock, client, listener } = context
  let answer: () => void = () => {}
  const answered = new Promise<void>(resolve => { answer = resolve })
  const { session } = createSession(-Infinity, context, 1, target => ({
    start: async order => {
      const outcome = await target.start(order)
      await answered
      return outcome
    },
    stop: async order => await target.stop(order),
    renew: async order => await target.renew(order),
    close: async () => {}
  }))
  await clock.advance(200)
  const assignment = createAssignment()
  const name = assignment.task.name
  session.reserve(assignment)
  client.startOutcome = { outcome: 'started', clockMs: 600 }
  session.start(assignment, NO_TICKET_NEEDED).catch(error => t.fail(String(error)))
  client.bornMs = 2
  client.running = [{ task: name, attempt: 1, checkpoint: '', percent: 0 }]
  client.answersStops = false
  await clock.advance(400)
  t.true(session.ended)
  answer()
  await clock.advance(5_000)
  t.deepEqual([listener.events, listener.begun], [['joined'], []])
  client.answersStops = true
  client.running = []
  await clock.advance(500)
  t.deepEqual(listener.events.slice(1), [`${name} lost: restarted`, 'incarnation ended: restarted'])
})

test('a run that the next incarnation has finished is not started again', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(200)
  const assignment = createAssignment()
  const name = assignment.task.name
  session.reserve(assignment)
  await session.start(assignment, NO_TICKET_NEEDED)
  client.bornMs = 2
  client.finished = [finishedRun(1, name)]
  await clock.advance(1_500)
  t.deepEqual(listener.events.slice(2), [`${name} done`, 'incarnation ended: restarted'])
})

test('a run of an earlier coordinator that the next incarnation has finished is not started again', async t => {
  const { clock, client, listener, session } = createSession(0)
  const assignment = reserveRecovering(session)
  const name = assignment.task.name
  client.bornMs = 2
  client.finished = [finishedRun(1, name)]
  await clock.advance(1_000)
  t.deepEqual(listener.events, [`${name} done`, 'incarnation ended: restarted'])
})

// Guards against starting a task again that is done: a restarted target was told to discard ends that only its earlier incarnation had listed.
test('late orders: a run that the next incarnation has finished is not started again after ends of the earlier one were acknowledged', async t => {
  const { clock, client, listener, session } = createSession()
  client.finished = [finishedRun(1, 'x.0.0.0'), finishedRun(2, 'y.0.0.0')]
  await clock.advance(1_500)
  const assignment = createAssignment()
  session.reserve(assignment)
  await session.start(assignment, NO_TICKET_NEEDED)
  client.bornMs = 2
  client.finished = [finishedRun(1, assignment.task.name)]
  await clock.advance(3_000)
  t.deepEqual(listener.events.slice(-2), [`${assignment.task.name} done`, 'incarnation ended: restarted'])
})

// Guards against the same when the ends that the earlier incarnation had listed were not acknowledged yet.
test('late orders: ends that are stored after a target fell silent are not acknowledged to its next incarnation', async t => {
  for (const storeMs of [50, 450]) {
    const { clock, client, listener, session } = createSession()
    await clock.advance(1_000)
    const assignment = createAssignment()
    session.reserve(assignment)
    await session.start(assignment, NO_TICKET_NEEDED)
    client.running = [{ task: assignment.task.name, attempt: 1, checkpoint: '', percent: 0 }]
    client.finished = [finishedRun(1, 'x.0.0.0'), finishedRun(2, 'y.0.0.0')]
    listener.unstored.set('y.0.0.0', clock.sleep(100 + storeMs))
    await clock.advance(100)
    client.reachable = storeMs > 100
    client.bornMs = 2
    client.running = []
    client.finished = [finishedRun(1, assignment.task.name)]
    await clock.advance(800)
    client.reachable = true
    await clock.advance(3_000)
    t.deepEqual(listener.events.slice(-2), [`${assignment.task.name} done`, 'incarnation ended: restarted'], `stored after ${storeMs} ms`)
  }
})

// Guards against targets whose ends are listed again and again, up to the 500 that a report holds, since each report is old when they are stored.
test('slow store: the ends of a target that is busy are acknowledged within seconds', async t => {
  for (const [storeMs, intervalMs] of [[320, 20], [320, 100], [400, 200], [700, 100]] as const) {
    const { clock, client, listener } = createSession()
    listener.runEnded = async () => { await clock.sleep(storeMs) }
    let ended = 0
    for (let elapsedMs = 0; elapsedMs < 12_000; elapsedMs += intervalMs) {
      client.finished = [...client.finished, finishedRun(++ended, `x-${ended}.0.0.0`)]
      await clock.advance(intervalMs)
      const unacknowledgedMs = client.finished.length * intervalMs
      t.true(unacknowledgedMs < 2_500, `${client.finished.length} ends after ${elapsedMs} ms, ${storeMs} ms to store, each ${intervalMs} ms`)
    }
    t.true(client.renewals.length < 12_000 / 50, `${client.renewals.length} renewals`)
  }
})

// Guards against starting a task again that is done: the session of the earlier incarnation made the next one discard the end.
test('restarted targets: the session of an earlier incarnation does not acknowledge ends that the next one has listed to its own', async t => {
  const context = createContext()
  const { clock, client, listener } = context
  const assignment = createAssignment()
  let isHung = false
  const endRun = (): void => {
    if (client.running.length === 0) return
    client.running = []
    client.finished = [finishedRun(1, assignment.task.name)]
  }
  createSession(-Infinity, context, 1, target => ({
    start: async order => await target.start(order),
    stop: async order => await target.stop(order),
    renew: async order => isHung ? await clock.sleep(2_000).then(() => ({ outcome: 'failed', message: 'no answer' })) : await target.renew(order, endRun),
    close: async () => {}
  }))
  client.finished = [finishedRun(1, 'x.0.0.0'), finishedRun(2, 'y.0.0.0')]
  await clock.advance(1_000)
  isHung = true
  await clock.advance(100)
  client.bornMs = 2
  const { session } = createSession(-Infinity, context, 2)
  await clock.advance(1_500)
  session.reserve(assignment)
  await session.start(assignment, NO_TICKET_NEEDED)
  client.running = [{ task: assignment.task.name, attempt: 1, checkpoint: '', percent: 10 }]
  isHung = false
  await clock.advance(3_000)
  t.deepEqual(listener.events.filter(event => event.startsWith(assignment.task.name)), [`${assignment.task.name} started`, `${assignment.task.name} done`])
})

// Guards against requests to the next incarnation for as long as a renewal waits on a dead connection.
test('restarted targets: a start that is answered with another clock shows the restart at once', async t => {
  const context = createContext()
  const { clock, client, listener } = context
  let isHung = false
  const { session } = createSession(-Infinity, context, 1, target => ({
    start: async order => await target.start(order),
    stop: async order => await target.stop(order),
    renew: async order => isHung && order.waitMs > 0 ? await clock.sleep(2_000).then(() => ({ outcome: 'failed', message: 'no answer' })) : await target.renew(order),
    close: async () => {}
  }))
  session.updateListing(LISTED)
  await clock.advance(1_000)
  isHung = true
  await clock.advance(100)
  client.bornMs = 2
  client.startOutcome = { outcome: 'started', clockMs: 1 }
  client.finished = [finishedRun(1, 'job-2.0.0.0')]
  const [first, second] = [createAssignment(), createAssignment('job-2')]
  for (const assignment of [first, second]) {
    session.reserve(assignment)
    await session.start(assignment, NO_TICKET_NEEDED)
  }
  t.deepEqual(listener.events.slice(1), [`${first.task.name} started`, `${second.task.name} started`])
  t.true(session.usable, 'clocks may differ by the time of an answer')
  client.startOutcome = { outcome: 'started', clockMs: 9_000 }
  const third = createAssignment('job-3')
  session.reserve(third)
  await session.start(third, NO_TICKET_NEEDED)
  t.false(session.usable)
  await clock.advance(200)
  t.true(session.ended)
  t.true(listener.events.includes(`${second.task.name} done`))
})

// Guards against starting a task again that is done: an acknowledgement in transit reached the next incarnation after its end.
test('late orders: an acknowledgement to an earlier incarnation is refused by the next one once that has executed a later start', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(200)
  client.finished = [finishedRun(1, 'x.0.0.0'), finishedRun(2, 'y.0.0.0')]
  await clock.advance(300)
  const late = client.renewals.find(({ acknowledged }) => acknowledged === 2)
  const assignment = createAssignment()
  session.reserve(assignment)
  client.bornMs = 2
  await session.start(assignment, NO_TICKET_NEEDED)
  client.running = [{ task: assignment.task.name, attempt: 1, checkpoint: '', percent: 0 }]
  const endRun = (): void => {
    client.running = []
    client.finished = [finishedRun(1, assignment.task.name)]
  }
  client.renew(late as RenewOrder, endRun).catch(error => t.fail(String(error)))
  await clock.advance(3_000)
  t.deepEqual(listener.events.slice(-2), [`${assignment.task.name} done`, 'incarnation ended: restarted'])
})

// Guards against a request of the earlier incarnation's session that the next one accepts, since it carries the token of the next one's own starts.
test('restarted targets: a session that ends while a renewal waits to be sent neither acknowledges ends nor extends leases any more', async t => {
  const { clock, client, session } = createSession()
  await clock.advance(200)
  const assignment = createAssignment()
  session.reserve(assignment)
  client.startAnswer = new Promise(() => {})
  session.start(assignment, NO_TICKET_NEEDED).catch(error => t.fail(String(error)))
  client.finished = [finishedRun(1, 'x.0.0.0')]
  await clock.advance(170)
  client.renewals.length = 0
  session.endReplaced()
  await clock.advance(1_000)
  t.true(client.renewals.length > 0, 'the withdrawal of the start asks for reports')
  t.deepEqual(client.renewals.filter(({ acknowledged, leaseUntilTargetMs }) => acknowledged > 0 || leaseUntilTargetMs !== undefined), [])
})

// Guards against starting a task again that is done: the next incarnation executes the start, and then discards the end of its run unread.
test('late orders: no ends are acknowledged while a start to the target is in transit', async t => {
  const { clock, client, session } = createSession()
  await clock.advance(200)
  const assignment = createAssignment()
  session.reserve(assignment)
  let answer: () => void = () => {}
  client.startAnswer = new Promise(resolve => { answer = resolve })
  session.start(assignment, NO_TICKET_NEEDED).catch(error => t.fail(String(error)))
  client.finished = [finishedRun(1, 'x.0.0.0')]
  await clock.advance(1_000)
  t.true(client.renewals.every(({ acknowledged }) => acknowledged === 0))
  t.true(client.renewals.length < 20, 'the target is not asked without a pause meanwhile')
  client.running = [{ task: assignment.task.name, attempt: 1, checkpoint: '', percent: 0 }]
  answer()
  await clock.advance(500)
  t.true(client.renewals.some(({ acknowledged }) => acknowledged === 1))
})

// Guards against ends beyond those that a report lists, while starts follow each other so closely that none can be acknowledged.
test('a target that lists many ends gets no starts until they are acknowledged', async t => {
  const { clock, client, session } = createSession()
  session.updateListing(LISTED)
  await clock.advance(200)
  const assignment = createAssignment()
  session.reserve(assignment)
  let answer: () => void = () => {}
  client.startAnswer = new Promise(resolve => { answer = resolve })
  session.start(assignment, NO_TICKET_NEEDED).catch(error => t.fail(String(error)))
  client.finished = Array.from({ length: 250 }, (_, index) => finishedRun(index + 1, `x-${index}.0.0.0`))
  await clock.advance(300)
  t.true(session.usable)
  client.finished.push(finishedRun(251, 'y.0.0.0'))
  await clock.advance(300)
  t.false(session.usable)
  client.running = [{ task: assignment.task.name, attempt: 1, checkpoint: '', percent: 0 }]
  answer()
  await clock.advance(500)
  t.true(session.usable)
})

test('a start is given back if the coordinator has not written to the store since the last renewal of leases', async t => {
  const context = createContext()
  let revision = 7
  const { clock, client, listener, session } = createSession(-Infinity, { ...context, fence: new TargetFence(7, () => revision) })
  await clock.advance(500)
  const [first, second] = [createAssignment(), createAssignment('job-2')]
  session.reserve(first)
  await Promise.all([session.start(first, NO_TICKET_NEEDED), clock.advance(400)])
  t.deepEqual(client.starts, [])
  t.deepEqual(listener.events, ['joined', `${first.task.name} refused: unhealthy`])
  session.reserve(second)
  const started = session.start(second, NO_TICKET_NEEDED)
  await clock.advance(100)
  revision = 8
  await Promise.all([started, clock.advance(100)])
  t.is(client.starts[0]?.fencingToken, 8)
})

test('late orders: what was sent to an earlier incarnation is refused by the next one once its own session has reached it', async t => {
  const earlier = createSession()
  const { clock, client } = earlier
  await clock.advance(200)
  const late = client.renewals.at(-1) as RenewOrder
  client.bornMs = 2
  earlier.fence.raiseBeforeNextRequest()
  createSession(-Infinity, earlier, 2)
  await clock.advance(200)
  const assignment = createAssignment()
  t.is(await client.stop({ task: assignment.task.name, attempt: 1, fencingToken: late.fencingToken }), 'fenced')
})

// Guards against a second run while the first goes on: a silent target restarted, and executed a start in transit.
test('late orders: a start that the next incarnation of a silent target may execute holds its task beyond the leases', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(200)
  const [reported, unreported] = [createAssignment(), createAssignment('job-2')]
  session.reserve(reported)
  await session.start(reported, NO_TICKET_NEEDED)
  client.running = [{ task: reported.task.name, attempt: 1, checkpoint: '', percent: 0 }]
  await clock.advance(200)
  client.startOutcome = { outcome: 'unknown', message: 'no answer' }
  client.reachable = false
  session.reserve(unreported)
  session.start(unreported, NO_TICKET_NEEDED).catch(error => listener.events.push(String(error)))
  // A start or a lease may arrive 12 s after it was sent, and the next incarnation gives a lease of 10 s, on a clock that is 2% slow.
  await clock.advance(12_000 + 10_200)
  const lost = listener.events.filter(event => event.includes('lost'))
  t.deepEqual(lost, [`${reported.task.name} lost: lease-lapsed`])
  await clock.advance(8_000)
  t.true(listener.events.includes(`${unreported.task.name} lost: lease-lapsed`))
  t.is(listener.events.at(-1), 'incarnation ended: lease-lapsed')
})

test('late orders: a start that the next incarnation of a silent target has answered holds its task while renewals that followed it may extend its lease', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(500)
  const assignment = createAssignment()
  session.reserve(assignment)
  let answer: () => void = () => {}
  client.startAnswer = new Promise(resolve => { answer = resolve })
  session.start(assignment, NO_TICKET_NEEDED).catch(error => listener.events.push(String(error)))
  client.reachable = false
  client.answersStops = false
  await clock.advance(1_900)
  answer()
  // The last renewal is sent 1.5 s after the last report.
  await clock.advance(12_000 + 10_200)
  t.deepEqual(listener.events, ['joined', `${assignment.task.name} started`])
  await clock.advance(7_000)
  t.is(listener.events[2], `${assignment.task.name} lost: lease-lapsed`)
})

test('late orders: a start that the next incarnation may have executed holds its task while that is silent', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(200)
  const assignment = createAssignment()
  session.reserve(assignment)
  client.startAnswer = new Promise(() => {})
  session.start(assignment, NO_TICKET_NEEDED).catch(error => listener.events.push(String(error)))
  client.bornMs = 2
  client.answersStops = false
  await clock.advance(12_000 + 10_200)
  t.true(session.ended)
  t.deepEqual(listener.events, ['joined'])
  await clock.advance(7_000)
  t.deepEqual(listener.events, ['joined', `${assignment.task.name} lost: restarted`, 'incarnation ended: restarted'])
})

// Guards against a run beyond the time at which its leases are taken for lapsed: a late start of the earlier session extends them.
test('late orders: the first start to the next incarnation has a higher token than a start that the earlier session sent meanwhile', async t => {
  const context = createContext()
  const { clock, client, listener, fence } = context
  const { session: earlier } = createSession(-Infinity, context)
  await clock.advance(200)
  fence.raiseBeforeNextRequest()
  const { session: next } = createSession(-Infinity, context, 2)
  const [first, second] = [createAssignment('job-1'), createAssignment('job-2')]
  earlier.reserve(first)
  await earlier.start(first, NO_TICKET_NEEDED)
  client.bornMs = 2
  client.finished = [finishedRun(1, 'x.0.0.0')]
  while (!next.joined) await clock.advance(1)
  next.reserve(second)
  await next.start(second, NO_TICKET_NEEDED)
  t.deepEqual(listener.events.filter(event => event.endsWith(' started')).length, 2)
  const [earlierToken, nextToken] = client.starts.map(({ fencingToken }) => fencingToken)
  t.true((nextToken ?? 0) > (earlierToken ?? Infinity), `${nextToken} and ${earlierToken}`)
})

// Guards against a run beyond the time at which its leases are taken for lapsed: the earlier session sends a start after the next incarnation has given its first report.
test('late orders: a start to the next incarnation has a higher token than all requests of an earlier session that has ended', async t => {
  const context = createContext()
  const { clock, client } = context
  let isHung = false
  const { session: earlier } = createSession(-Infinity, context, 1, target => ({
    start: async order => await target.start(order),
    stop: async order => await target.stop(order),
    renew: async order => isHung ? await new Promise(() => {}) : await target.renew(order),
    close: async () => {}
  }))
  await clock.advance(200)
  isHung = true
  await clock.advance(51)
  client.bornMs = 2
  client.finished = [finishedRun(1, 'x.0.0.0')]
  const { session: next } = createSession(-Infinity, context, 2)
  while (!next.joined) await clock.advance(1)
  const [first, second] = [createAssignment('job-1'), createAssignment('job-2')]
  earlier.reserve(first)
  await earlier.start(first, NO_TICKET_NEEDED)
  await clock.advance(1)
  earlier.endReplaced()
  next.reserve(second)
  await next.start(second, NO_TICKET_NEEDED)
  const [earlierToken, nextToken] = client.starts.map(({ fencingToken }) => fencingToken)
  t.true((nextToken ?? 0) > (earlierToken ?? Infinity), `${nextToken} and ${earlierToken}`)
})

// Guards against an instance that gives up its term because its own requests overtake each other.
test('a start that a later request of the same coordinator has overtaken is sent again', async t => {
  const { clock, client, listener, session, fence } = createSession()
  await clock.advance(200)
  let deliver: () => void = () => {}
  client.startAnswer = new Promise(resolve => { deliver = resolve })
  const assignment = createAssignment()
  session.reserve(assignment)
  session.start(assignment, NO_TICKET_NEEDED).catch(error => listener.events.push(String(error)))
  fence.raiseBeforeNextRequest()
  await clock.advance(100)
  client.running = [{ task: assignment.task.name, attempt: 1, checkpoint: '', percent: 0 }]
  deliver()
  await clock.advance(100)
  t.deepEqual(listener.events, ['joined', `${assignment.task.name} started`])
  t.is(client.starts.length, 2)
  client.renew({ fencingToken: 1e9, acknowledged: 0, waitMs: 0 }).catch(error => t.fail(String(error)))
  await clock.advance(200)
  t.is(listener.events.at(-1), 'fenced', 'a later coordinator is known to the target')
})

// Guards against runs of the next incarnation that outlast the leases which its own session has given.
test('restarted targets: the session of an earlier incarnation neither extends leases nor starts tasks once a later one is listed', async t => {
  const { clock, client, listener, session, replace } = createSession()
  await clock.advance(500)
  replace()
  client.reachable = false
  await clock.advance(400)
  const assignment = createAssignment()
  session.reserve(assignment)
  await session.start(assignment, NO_TICKET_NEEDED)
  t.deepEqual(listener.events.slice(1), [`${assignment.task.name} refused: unhealthy`])
  client.renewals.length = 0
  client.reachable = true
  await clock.advance(400)
  const [first, ...others] = client.renewals.map(order => order.leaseUntilTargetMs)
  t.is(first, undefined, 'the next incarnation may answer')
  t.true(others.some(untilMs => untilMs !== undefined), 'an entry of the list does not end the runs of a target that answers')
})

// Guards against tasks that wait for longer than leases last (LOST), since renewals go on after a start that nothing proves, and may extend its lease late.
test('starts that were answered just before their target is gone are given up when their leases have expired', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(200)
  const assignments = [createAssignment('job-1'), createAssignment('job-2')]
  for (const assignment of assignments) {
    session.reserve(assignment)
    await session.start(assignment, NO_TICKET_NEEDED)
    await clock.advance(10)
  }
  client.reachable = client.answersStops = false
  await clock.advance(LEASE_MS * 1.1)
  t.false(listener.events.some(event => event.includes('lost')))
  await clock.advance(1_500)
  t.deepEqual(listener.events.slice(3), [...assignments.map(({ task }) => `${task.name} lost: lease-lapsed`), 'incarnation ended: lease-lapsed'])
})

// Guards against a task, and a target, that wait without a bound: the withdrawal of a start gets no answer at the address of the earlier incarnation.
test('restarted targets: a start is given up although the target is back at another address, and nothing answers at the earlier one', async t => {
  const context = createContext()
  const { clock, client, listener } = context
  const { session } = createSession(-Infinity, context)
  await clock.advance(200)
  const assignment = createAssignment()
  session.reserve(assignment)
  client.startOutcome = { outcome: 'unknown', message: 'no answer' }
  session.start(assignment, NO_TICKET_NEEDED).catch(error => t.fail(String(error)))
  client.reachable = client.answersStops = false
  const moved = new FakeTarget(clock)
  moved.bornMs = 2
  const { session: next } = createSession(-Infinity, context, 2, () => moved)
  await clock.advance(100)
  session.endReplaced()
  // The start can not be executed for longer than 18 s, and reports of the next incarnation do not show its run.
  await clock.advance(30_000)
  t.deepEqual([next.joined, listener.events.includes(`${assignment.task.name} lost: restarted`)], [true, true])
})

// Guards against starting a task again that an order in transit started, and that is done, on a target that has restarted.
test('a run that the next incarnation has finished, after more than a report lists, is not started again', async t => {
  for (const state of ['recovering', 'reserved'] as const) {
    const { clock, client, listener, session } = createSession(0)
    const assignment = createAssignment('job-1', state)
    if (state === 'reserved') await clock.advance(200)
    if (state === 'recovering') session.recover(assignment, 0, 0)
    else session.reserve(assignment)
    if (state === 'reserved') await session.start(assignment, NO_TICKET_NEEDED)
    listener.events.length = 0
    client.bornMs = 2
    client.finishedPerReport = 1
    client.finished = [finishedRun(1, 'a.0.0.0'), finishedRun(2, assignment.task.name)]
    await clock.advance(20_000)
    t.deepEqual(listener.events, [], 'no request is in transit for so long')
    client.finishedPerReport = 3
    await clock.advance(1_000)
    t.deepEqual(listener.events, [`${assignment.task.name} done`, 'incarnation ended: restarted'])
  }
})

// Guards against a second run: a target that restarts executes a start of the earlier coordinator, whose token it does not know.
test('change of coordinator: a placement that its target does not show holds its task until its start can not be executed', async t => {
  const { clock, client, listener, session } = createSession(0)
  const assignment = createAssignment('job-1', 'recovering')
  assignment.confirmedAtMs = -Infinity
  session.recover(assignment, 2_000, 2_000)
  client.finished = [finishedRun(1, 'x.0.0.0')]
  await clock.advance(1_900)
  t.deepEqual(listener.events, ['x.0.0.0 done', `${assignment.task.name} held`, 'joined'])
  t.true(client.renewals.every(({ acknowledged }) => acknowledged === 0))
  await clock.advance(400)
  t.deepEqual(listener.events.slice(3), [`${assignment.task.name} lost: not-reported`])
  t.true(client.renewals.some(({ acknowledged }) => acknowledged === 1))
})

test('the next incarnation gets no tasks while a run of an earlier coordinator is being stopped there', async t => {
  const { clock, client, session } = createSession(0)
  const assignment = reserveRecovering(session)
  client.bornMs = 2
  client.running = [{ task: assignment.task.name, attempt: 1, checkpoint: '', percent: 0 }]
  await clock.advance(1_000)
  t.true(session.ended)
  t.true(session.mayHaveRunsOnNextIncarnation)
  client.running = []
  await clock.advance(500)
  t.false(session.mayHaveRunsOnNextIncarnation)
})

test('change of coordinator: a target in the log gets no task before the target list shows that it has not left', async t => {
  const { clock, session } = createSession()
  await clock.advance(500)
  t.true(session.joined)
  t.false(session.usable, 'it may be draining')
  session.updateListing({ ...LISTED, draining: true })
  t.false(session.usable)
  session.updateListing(LISTED)
  t.true(session.usable)
  session.updateListing(undefined)
  t.false(session.usable)
})

test('late orders: a target that is silent for too long to extend its leases gets no task, since the start would be refused', async t => {
  const { clock, client, session } = createSession()
  session.updateListing(LISTED)
  await clock.advance(500)
  t.true(session.usable)
  client.reachable = false
  await clock.advance(1_700)
  t.false(session.usable)
  client.reachable = true
  await clock.advance(300)
  t.true(session.usable)
})

test('late orders: a target that leaves a start unanswered is the last choice for further tasks until it reports', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(500)
  let answer: () => void = () => {}
  client.startAnswer = new Promise(resolve => { answer = resolve })
  client.startOutcome = { outcome: 'unknown', message: 'no answer' }
  const assignment = createAssignment()
  session.reserve(assignment)
  session.start(assignment, NO_TICKET_NEEDED).catch(error => listener.events.push(String(error)))
  await clock.advance(300)
  t.false(session.leavesStartsUnanswered, 'the answer may be on its way from another region')
  await clock.advance(200)
  t.true(session.leavesStartsUnanswered)
  answer()
  await clock.advance(0)
  t.true(session.leavesStartsUnanswered, 'the request is given up, and the target may execute it late')
  await clock.advance(300)
  t.false(session.leavesStartsUnanswered, 'the target has reported since')
})

test('an unexpected error while a report is handled does not end the renewals of the leases', async t => {
  const { clock, client, listener } = createSession()
  await clock.advance(300)
  listener.stateChanged = () => { throw new Error('a bug') }
  await clock.advance(2_000)
  const renewals = client.renewals.length
  listener.stateChanged = () => {}
  await clock.advance(2_000)
  t.true(client.renewals.length > renewals)
})

test('change of coordinator: a run of a job that its predecessor cancelled holds its capacity until the target no longer shows it', async t => {
  const { clock, client, listener, session } = createSession()
  session.updateListing(LISTED)
  listener.runSizes.set('cancelled.0.0.0', resources({ processors: 60_000, memory: 100 }))
  client.running = [{ task: 'cancelled.0.0.0', attempt: 1, checkpoint: '', percent: 50 }]
  await clock.advance(500)
  t.true(client.stops.includes('cancelled.0.0.0'))
  t.is(session.free.processors, 4_000)
  client.running = []
  await clock.advance(500)
  t.is(session.free.processors, 64_000)
})

test('change of coordinator: a target gets no task while it shows a run of a job that is not known any more', async t => {
  const { clock, client, session } = createSession()
  session.updateListing(LISTED)
  client.running = [{ task: 'evicted.0.0.0', attempt: 1, checkpoint: '', percent: 50 }]
  await clock.advance(500)
  t.true(session.joined)
  t.false(session.usable)
  client.running = []
  await clock.advance(500)
  t.true(session.usable)
})

test('late orders: a run whose start and stop are both unanswered holds its capacity until a stop is confirmed and the start can not be executed', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(200)
  const assignment = createAssignment()
  session.reserve(assignment)
  let answerStart: () => void = () => {}
  client.startAnswer = new Promise(resolve => { answerStart = resolve })
  client.startOutcome = { outcome: 'unknown', message: 'no answer' }
  client.answersStops = false
  session.start(assignment, NO_TICKET_NEEDED).catch(error => listener.events.push(String(error)))
  session.stop(assignment).catch(error => listener.events.push(String(error)))
  answerStart()
  await clock.advance(2_000)
  t.deepEqual(listener.events, ['joined'], 'the target may still execute the start')
  t.is(session.free.processors, 63_000)
  await clock.advance(15_000)
  t.deepEqual(listener.events, ['joined'], 'no stop is confirmed')
  client.answersStops = true
  await clock.advance(1_500)
  t.deepEqual(listener.events, ['joined', `${assignment.task.name} lost: not-reported`])
})

test('late orders: a run that a target shows after it was taken as lost is stopped and holds its capacity', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(200)
  const assignment = createAssignment()
  const { name } = assignment.task
  listener.runSizes.set(name, assignment.size)
  session.reserve(assignment)
  client.startOutcome = { outcome: 'refused', refusal: 'unhealthy' }
  await session.start(assignment, NO_TICKET_NEEDED)
  client.running = [{ task: name, attempt: 1, checkpoint: '', percent: 0 }]
  await clock.advance(500)
  t.true(client.stops.includes(name))
  t.is(session.free.processors, 63_000)
})

test('late orders: a start that was stopped before a restart is stopped on the next incarnation, which may execute it', async t => {
  const { clock, client, listener, session } = createSession()
  session.updateListing(LISTED)
  await clock.advance(200)
  const assignment = createAssignment()
  const { name } = assignment.task
  session.reserve(assignment)
  client.startOutcome = { outcome: 'unknown', message: 'no answer' }
  session.start(assignment, NO_TICKET_NEEDED).catch(error => listener.events.push(String(error)))
  await clock.advance(1_500)
  t.true(client.stops.includes(name))
  client.stops.length = 0
  client.answersStops = false
  client.bornMs = 2
  await clock.advance(1_500)
  t.true(session.ended)
  t.true(client.stops.includes(name))
  t.true(session.mayHaveRunsOnNextIncarnation, 'the next incarnation has not confirmed the stop')
  client.answersStops = true
  await clock.advance(500)
  t.false(session.mayHaveRunsOnNextIncarnation)
  client.bornMs = 3
  await clock.advance(8_000)
  t.deepEqual(listener.events, ['joined', `${name} held`], 'an incarnation that starts later may still execute the start')
  await clock.advance(5_000)
  t.deepEqual(listener.events.slice(2), [`${name} lost: restarted`, 'incarnation ended: restarted'], 'the task was released once')
})

test('shrinking targets: new tasks get only what a target that has shrunk has left, and what it has after it has grown', async t => {
  const { session } = createSession()
  session.reserve(createAssignment())
  session.updateListing({ ...LISTED, capacity: resources({ processors: 2_000, memory: 1_000 }) })
  t.deepEqual([session.free.processors, session.capacity.total.processors], [1_000, 2_000])
  const other = createAssignment('job-2')
  session.reserve(other)
  t.true(session.capacity.covers(other.size))
  session.updateListing({ ...LISTED, capacity: resources({ processors: 1_500, memory: 1_000 }) })
  t.is(session.free.processors, -500)
  t.false(session.capacity.covers(other.size), 'a start would bring the target over its capacity')
  session.updateListing(undefined)
  t.is(session.free.processors, -500, 'a missing entry says nothing about the size')
  session.updateListing(LISTED)
  t.is(session.free.processors, 62_000)
})

test('shrinking targets: a target whose entry was not read for seconds gets no task, since it may have shrunk', async t => {
  const { clock, session } = createSession()
  session.updateListing(LISTED)
  await clock.advance(3_500)
  t.true(session.usable)
  await clock.advance(1_000)
  t.false(session.usable)
  session.updateListing(LISTED)
  t.true(session.usable)
})

test('crashed targets: a target whose last renewal failed gets no task until it answers, and is asked again without delay', async t => {
  const { clock, client, session } = createSession()
  session.updateListing(LISTED)
  await clock.advance(300)
  t.true(session.usable)
  client.reachable = false
  await clock.advance(100)
  t.false(session.usable, 'its connections were refused or reset')
  client.reachable = true
  const answered = client.renewals.length
  await clock.advance(250)
  t.true(session.usable)
  t.is(client.renewals[answered]?.waitMs, 0, 'its answer does not wait for a run to end')
})

// Guards against a task that is started again after its run was done: an earlier session's start was executed by an incarnation
// later than the one whose report, delivered late, let its session acknowledge an end, which discards that of the run unread.
test('no end is acknowledged on a report that was requested before another session\'s start was executed', async t => {
  const context = createContext()
  const { clock, client, listener } = context
  const { session: first } = createSession(-Infinity, context)
  await clock.advance(500)
  const assignment = createAssignment()
  first.reserve(assignment)
  let execute: () => void = () => {}
  client.startAnswer = new Promise(resolve => { execute = resolve })
  const started = first.start(assignment, NO_TICKET_NEEDED)
  client.bornMs = 2
  client.finished = [finishedRun(1, 'x.0.0.0')]
  let reportDelayMs = 0
  const { session: second } = createSession(-Infinity, context, 2, target => ({
    start: async order => await target.start(order),
    stop: async order => await target.stop(order),
    renew: async order => {
      const outcome = await target.renew(order)
      await clock.sleep(reportDelayMs)
      return outcome
    },
    close: async () => {}
  }))
  await clock.advance(60)
  first.endReplaced()
  await clock.advance(1_000)
  t.true(second.joined)
  // A report that the second incarnation gave arrives after the third has executed the start.
  reportDelayMs = 1_000
  client.bornMs = 3
  client.finished = []
  client.renewals.length = 0
  execute()
  await started
  await clock.advance(40)
  client.finished = [finishedRun(1, assignment.task.name)]
  await clock.advance(5_000)
  t.deepEqual(client.renewals.filter(({ acknowledged }) => acknowledged > 0), [])
  t.true(listener.events.includes(`${assignment.task.name} done`))
  t.false(listener.events.some(event => event.startsWith(`${assignment.task.name} lost`)))
})

// Guards against a target that gets no tasks for ever: nothing is acknowledged to it while the session of its incarnation withdraws starts.
test('a start is given up although the target that lapsed lists as many ends as a report holds', async t => {
  const { clock, client, listener, session } = createSession()
  await clock.advance(200)
  const assignment = createAssignment()
  session.reserve(assignment)
  client.startOutcome = { outcome: 'unknown', message: 'no answer' }
  session.start(assignment, NO_TICKET_NEEDED).catch(error => listener.events.push(String(error)))
  client.finishedPerReport = 2
  client.finished = [finishedRun(1, 'a.0.0.0'), finishedRun(2, 'b.0.0.0'), finishedRun(3, 'c.0.0.0')]
  await clock.advance(500)
  client.reachable = false
  await clock.advance(13_000)
  client.reachable = true
  await clock.advance(120_000)
  t.deepEqual(listener.events.slice(-2), [`${assignment.task.name} lost: lease-lapsed`, 'incarnation ended: lease-lapsed'])
})
