import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { resources } from '../../model/resources.ts'
import { createLogger } from '../../observability/logger.ts'
import { Assignment } from '../targets/assignment.ts'
import { TargetSession } from '../targets/targetSession.ts'
import type { TargetSessionOptions } from '../targets/targetSession.ts'
import { LearnedRunTimes } from './learnedRunTimes.ts'
import { PlacedRoomForecast } from './placedRoomForecast.ts'
import { DeclaredRunTimes } from './runTimes.ts'
import type { RunTimes } from './runTimes.ts'
import { stepOf } from './testing/runs.ts'

const SERVICE = 'renders'
const LABELS = ['', 'rack-1']

function createSession (clock: ManualClock, id: string, processors = 8_000): TargetSession {
  const description = { id, bornMs: 1, address: '', service: SERVICE, dataCentre: '', capacity: resources({ processors, memory: 1_000 }), labels: LABELS }
  const logger = createLogger({ level: 'silent', instance: 'test', dataCentre: 'test', secrets: [] })
  return new TargetSession({ description, clock, logger, fencingToken: 1, leaseMs: 9_500, hasAuthority: () => true, priorLeasesExtendedUntilMs: 0 } as unknown as TargetSessionOptions)
}

function place (session: TargetSession, clock: ManualClock, processors: number, estimateMs: number, longRunning = false): Assignment {
  const size = resources({ processors, memory: 10 })
  const [task] = stepOf({ size, estimateMs, longRunning }).tasks
  if (task === undefined) throw new Error('the step has no task')
  const assignment = new Assignment(task, session.assignments.size + 1, size, 'running')
  session.reserve(assignment)
  assignment.startedAtMs = clock.monotonicMs()
  return assignment
}

function createForecast (clock: ManualClock, sessions: readonly TargetSession[], runTimes: RunTimes = new DeclaredRunTimes()): PlacedRoomForecast {
  const forecast = new PlacedRoomForecast(clock, runTimes)
  forecast.update(sessions)
  return forecast
}

test('a task that needs a whole target is not promised capacity that is free only in pieces', t => {
  const clock = new ManualClock()
  const sessions = ['a', 'b'].map(id => createSession(clock, id))
  const [first, second] = sessions as [TargetSession, TargetSession]
  place(first, clock, 2_000, 3_000)
  place(second, clock, 4_000, 1_000)
  place(second, clock, 2_000, 5_000)
  const forecast = createForecast(clock, sessions)
  const waitFor = (processors: number, tasks: number): number => forecast.timeUntilRoomMs({ service: SERVICE, size: resources({ processors, memory: 10 }), tasks })
  t.deepEqual([waitFor(6_000, 1), waitFor(2_000, 4), waitFor(8_000, 1), waitFor(6_000, 2), waitFor(8_000, 2)], [0, 0, 3_000, 1_000, 5_000])
  t.is(waitFor(8_000, 3), Infinity)
  t.is(forecast.timeUntilRoomMs({ service: SERVICE, size: resources({ processors: 8_000, memory: 10 }), tasks: 1, permits: ({ id }) => id === 'b' }), 5_000)
  t.deepEqual([0, 1_000, 3_000, 60_000].map(withinMs => forecast.processorsWithin(SERVICE, withinMs)), [8_000, 12_000, 14_000, 16_000])
})

test('capacity held by a lasting task, or of a target that is lost, is not promised', async t => {
  const clock = new ManualClock()
  const sessions = ['a', 'b'].map(id => createSession(clock, id))
  const [first, second] = sessions as [TargetSession, TargetSession]
  const lasting = place(first, clock, 8_000, 100, true)
  place(second, clock, 8_000, 2_000)
  const forecast = createForecast(clock, sessions)
  const request = { service: SERVICE, size: resources({ processors: 4_000, memory: 10 }), tasks: 2 }
  t.is(forecast.timeUntilRoomMs(request), 2_000)
  t.is(forecast.remainingMs(first, lasting.key), Infinity)
  forecast.update([first])
  t.is(forecast.timeUntilRoomMs(request), Infinity)
  t.is(forecast.processorsWithin(SERVICE, 10_000), 0)
})

test('capacity taken since the forecast was made is expected back when the run ends', async t => {
  const clock = new ManualClock()
  const session = createSession(clock, 'a')
  const forecast = createForecast(clock, [session])
  const request = { service: SERVICE, size: resources({ processors: 8_000, memory: 10 }), tasks: 1 }
  t.is(forecast.timeUntilRoomMs(request), 0)
  place(session, clock, 1_000, 700)
  t.is(forecast.timeUntilRoomMs(request), 700)
  await clock.advance(300)
  t.is(forecast.timeUntilRoomMs(request), 400)
})

test('a run that has exceeded its expected time is not expected to end at once, nor never', async t => {
  const clock = new ManualClock()
  const runTimes = new LearnedRunTimes({ defaultRemoteFactor: 1 })
  const session = createSession(clock, 'a')
  const run = place(session, clock, 1_000, 1_000)
  // Three quarters of the runs take 1 s, a quarter takes 5 s.
  for (let index = 0; index < 100; index++) runTimes.learn({ step: run.task.step, durationMs: index % 4 === 0 ? 5_000 : 1_000, isRemote: false, nowMs: index })
  const forecast = createForecast(clock, [session], runTimes)
  t.is(Math.round(forecast.remainingMs(session, run.key) / 100), 10)
  await clock.advance(1_500)
  t.is(Math.round(forecast.remainingMs(session, run.key) / 100), 35)
  await clock.advance(6_500)
  t.is(forecast.remainingMs(session, run.key), 4_000)
})
