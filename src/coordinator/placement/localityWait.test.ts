import test from 'ava'
import type { StepDefinition } from '../../jobs/job.ts'
import { JobProgress } from '../../jobs/jobProgress.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../../jobs/testing/definitions.ts'
import { resources } from '../../model/resources.ts'
import type { RoomForecast } from '../forecast/roomForecast.ts'
import type { RunTimes } from '../forecast/runTimes.ts'
import type { TargetSession } from '../targets/targetSession.ts'
import { SimulatedCluster, BATCH } from '../testing/simulatedCluster.ts'
import { LocalityWait } from './localityWait.ts'
import type { EndedWait } from './localityWait.ts'

const EXPECTED_MS = 800
const GAIN_MS = 400
const PASS_MS = 50
const AMPLE_SLACK_MS = 60_000

const SLOWER_FAR_AWAY: RunTimes = { expectedMs: ({ definition }) => definition.estimateMs, quantileMs: ({ definition }) => definition.estimateMs, remoteFactor: () => 1.5 }

function createStepProgress (overrides: Partial<StepDefinition> = {}): StepProgress {
  const job = new JobProgress(createJobRecord('job', [createStep(1, { dataRack: 'near', estimateMs: EXPECTED_MS, ...overrides })]), TEST_QUEUE, 0)
  return job.steps[0] as StepProgress
}

/** One target on each rack. */
function createTargets (racks: readonly string[], freeProcessors = 0): readonly TargetSession[] {
  return racks.map(rack => ({ rack, free: resources({ processors: freeProcessors }), capacity: { total: resources({ processors: 16_000 }) } }) as unknown as TargetSession)
}

/** Racks of targets whose places become free at given times. */
class Scene {
  nowMs = 0
  /** Times at which places for one task become free, by rack. */
  readonly freeAtMs = new Map<string, readonly number[]>()
  readonly ended: EndedWait[] = []
  forecasts = 0
  targets: readonly TargetSession[] = createTargets(['near', 'far', 'other'])
  readonly wait: LocalityWait

  constructor (runTimes: RunTimes = SLOWER_FAR_AWAY) {
    const forecast: RoomForecast = {
      timeUntilRoomMs: ({ tasks, permits }) => {
        this.forecasts += 1
        const times = this.targets.filter(target => permits?.(target) ?? true).flatMap(({ rack }) => this.freeAtMs.get(rack) ?? []).sort((left, right) => left - right)
        return Math.max(0, (times[tasks - 1] ?? Infinity) - this.nowMs)
      },
      processorsWithin: () => 0,
      remainingMs: () => Infinity
    }
    this.wait = new LocalityWait({ runTimes, forecast, onBegin: () => {}, onEnd: wait => this.ended.push(wait) })
  }

  /** Number of tasks that start now if placement has chosen targets on the racks. */
  decide (step: StepProgress, racks: readonly string[], slackMs = AMPLE_SLACK_MS, definition = step.definition): number {
    return this.wait.decide({ step, definition, service: 'renders', racks, findTargets: () => this.targets, slackMs, nowMs: this.nowMs }).length
  }

  /** Decides in each pass until the tasks start, and returns the time that this took. */
  waitForStart (step: StepProgress, slackAt: (nowMs: number) => number = () => AMPLE_SLACK_MS): number {
    const startMs = this.nowMs
    for (;; this.nowMs += PASS_MS) {
      this.wait.beginPass()
      const isFree = (this.freeAtMs.get('near') ?? []).some(atMs => atMs <= this.nowMs)
      if (this.decide(step, [isFree ? 'near' : 'far'], slackAt(this.nowMs)) > 0) return this.nowMs - startMs
    }
  }
}

// Guards against waits that cost more than a run near the data saves, and against runs far away that a short wait would spare.
test('a task waits for the rack of its data if that is busy for a short time, and starts elsewhere at once if it is busy for long', t => {
  const scene = new Scene()
  scene.freeAtMs.set('near', [300])
  t.is(scene.waitForStart(createStepProgress()), 300)
  t.like(scene.ended, [{ isNear: true, waitedMs: 300, gainMs: GAIN_MS, tasks: 1 }])
  scene.freeAtMs.set('near', [scene.nowMs + GAIN_MS + 1])
  t.is(scene.waitForStart(createStepProgress()), 0)
  scene.freeAtMs.set('near', [])
  t.is(scene.waitForStart(createStepProgress()), 0, 'the rack never has a place')
  scene.freeAtMs.set('near', [scene.nowMs + 10])
  t.is(scene.waitForStart(createStepProgress({ longRunning: true })), 0, 'a lasting task')
  t.is(scene.waitForStart(createStepProgress({ estimateMs: 0 })), 0, 'no estimate')
  const declared = new Scene({ ...SLOWER_FAR_AWAY, remoteFactor: () => 1 })
  declared.freeAtMs.set('near', [10])
  t.is(declared.waitForStart(createStepProgress()), 0, 'no remote factor')
  t.is(declared.forecasts, 0)
})

// Guards against a group of which a part starts far away, and against one that waits for a rack that can not hold it.
test('a group waits as a whole for a rack that will have places for all of its tasks', t => {
  const scene = new Scene()
  const step = createStepProgress({ count: 3, dataRack: '', sameRack: true, gang: true })
  scene.freeAtMs.set('near', [50, 100, 900])
  scene.freeAtMs.set('other', [50, 100, 200])
  t.is(scene.decide(step, ['near', 'near', 'other']), 0)
  t.true(scene.wait.isWaiting(step))
  scene.nowMs = 200
  t.is(scene.decide(step, ['other', 'other', 'other']), 3)
  t.like(scene.ended, [{ isNear: true, waitedMs: 200, tasks: 3 }])
  scene.freeAtMs.set('other', [250, 900, 900])
  t.is(scene.decide(createStepProgress({ count: 3, dataRack: '', sameRack: true, gang: true }), ['near', 'near', 'other']), 3)
  const tooLarge = createStepProgress({ count: 3, dataRack: '', sameRack: true, size: resources({ processors: 6_000 }) })
  scene.freeAtMs.set('other', [250, 250, 250])
  t.is(scene.decide(tooLarge, ['near', 'near', 'other']), 3, 'the racks have 16 processors')
  scene.wait.beginPass()
  const running = createStepProgress({ count: 3, dataRack: '', sameRack: true })
  t.is(scene.decide(running, ['near', 'near'], AMPLE_SLACK_MS, { ...running.definition, dataRack: 'other' }), 0, 'the rack of the task that runs')
})

// Guards against a wait that makes a job late, and against runs far away of a job that is late only because of them.
test('a wait ends while the job can still meet its objective elsewhere, unless it misses it there anyway', t => {
  const scene = new Scene()
  scene.freeAtMs.set('near', [300])
  t.is(scene.waitForStart(createStepProgress(), nowMs => 900 - nowMs), 0, 'with 900 ms of slack, the place might be free too late')
  t.is(scene.waitForStart(createStepProgress(), nowMs => 399 - nowMs), 300, 'elsewhere the objective is missed')
  scene.nowMs = 0
  scene.freeAtMs.set('near', Array.from({ length: 100 }, () => 100))
  const step = createStepProgress()
  scene.decide(step, ['far'], 1_000)
  t.true(scene.wait.isWaiting(step))
  scene.nowMs = 90
  t.is(scene.decide(step, ['far'], 390), 1, 'it could meet its objective elsewhere when it began to wait')
})

// Guards against tasks that wait again and again, each time for a place that seems to become free soon.
test('wrong estimates and many waits in sequence: all waits of a step together end within the time that could be gained', t => {
  const scene = new Scene()
  const step = createStepProgress()
  let startedAtMs: number | undefined
  for (; startedAtMs === undefined; scene.nowMs += PASS_MS) {
    scene.freeAtMs.set('near', [scene.nowMs + 40])
    scene.wait.beginPass()
    if (scene.decide(step, ['far']) === 1) startedAtMs = scene.nowMs
  }
  t.true(startedAtMs > GAIN_MS / 2 && startedAtMs <= GAIN_MS, `${startedAtMs}`)
  t.like(scene.ended, [{ isNear: false, waitedMs: startedAtMs }])
  scene.freeAtMs.set('near', [scene.nowMs + 40])
  t.is(scene.waitForStart(step), 0, 'after its run was lost it does not wait again')
  const patient = new Scene({ ...SLOWER_FAR_AWAY, remoteFactor: () => 100 })
  let waitedMs = 0
  const long = createStepProgress()
  for (patient.freeAtMs.set('near', [40]); patient.decide(long, ['far']) === 0; patient.nowMs = waitedMs += PASS_MS) {
    patient.wait.beginPass()
    patient.freeAtMs.set('near', [patient.nowMs + 40 + PASS_MS])
  }
  t.true(waitedMs > 1_000 && waitedMs <= 2_000, `${waitedMs} ms with room elsewhere, and nothing running`)
})

// Guards against many steps that all wait for the same place.
test('no more tasks wait for a rack than it will have places for in time', t => {
  const scene = new Scene()
  scene.freeAtMs.set('near', [100, 150, 200, 300, 600])
  const wide = createStepProgress({ count: 8 })
  t.is(scene.decide(wide, ['near', ...Array.from({ length: 7 }, () => 'far')]), 5, 'the first place is taken by a task that starts now')
  const waiting = Array.from({ length: 10 }, () => createStepProgress()).filter(step => scene.decide(step, ['far']) === 0)
  t.is(waiting.length, 1)
  scene.wait.beginPass()
  const next = Array.from({ length: 10 }, () => createStepProgress()).filter(step => scene.decide(step, ['far']) === 0)
  t.is(next.length, 4)
})

// Guards against waits for places that the next task would use near its data anyway, and against runs far away that fill a service.
test('for a rack that its near tasks fill no task waits, unless the service has no capacity to spare for longer runs elsewhere', t => {
  const scene = new Scene()
  scene.targets = createTargets(['near', 'far', 'other'], 8_000)
  for (; scene.nowMs < 30_000; scene.nowMs += PASS_MS) scene.decide(createStepProgress(), ['near'])
  scene.freeAtMs.set('near', [scene.nowMs + 100])
  t.is(scene.decide(createStepProgress(), ['far']), 1, 'sixteen processors, of which the tasks use sixteen')
  scene.targets = createTargets(['near', 'far', 'other'])
  t.is(scene.decide(createStepProgress(), ['far']), 0, 'the service is full')
  scene.targets = createTargets(['near', 'far', 'other'], 8_000)
  scene.wait.beginPass()
  scene.nowMs += 20_000
  scene.freeAtMs.set('near', [scene.nowMs + 100])
  t.is(scene.decide(createStepProgress(), ['far']), 0, 'the demand has ended')
})

// Guards against tasks that wait for a place that is gone.
test('when the targets of the rack are lost, drain or are evacuated, the task starts elsewhere at once', t => {
  const scene = new Scene()
  scene.freeAtMs.set('near', [350])
  const step = createStepProgress()
  t.is(scene.decide(step, ['far']), 0)
  scene.nowMs = 100
  scene.targets = scene.targets.filter(({ rack }) => rack !== 'near')
  t.is(scene.decide(step, ['far']), 1)
  t.false(scene.wait.isWaiting(step))
  t.like(scene.ended, [{ isNear: false, waitedMs: 100 }])
})

// Guards against waits that reach no placement, and against a task that waits with nothing running although there is room for it.
test('in a cluster, tasks start on the rack of their data if it is free in time, and elsewhere if it is not or is lost', async t => {
  const rackOf = (number: number): string => number === 0 ? 'near' : 'far'
  const cluster = new SimulatedCluster({ targets: 3, cap: 0, lateMs: 0, failing: false, rackOf, remoteFactor: 2 })
  await cluster.elect()
  const fillNear = (kind: string, estimateMs: number): string => cluster.submit(kind, BATCH, [createStep(8, { dataRack: 'near', estimateMs })])
  const startsOn = (number: number, id: string): boolean => cluster.target(number).running.some(task => task.startsWith(id))
  fillNear('narrow', 700)
  await cluster.clock.advance(200)
  const short = cluster.submit('short', BATCH, [createStep(2, { dataRack: 'near', estimateMs: 2_000 })])
  await cluster.clock.advance(900)
  t.true(startsOn(0, short))
  t.regex((await cluster.metrics.render()).body, /locality_starts_total{place="near"} 2/)
  await cluster.clock.advance(2_000)
  fillNear('long', 2_400)
  await cluster.clock.advance(200)
  const long = cluster.submit('other', BATCH, [createStep(2, { dataRack: 'near', estimateMs: 1_500 })])
  await cluster.clock.advance(200)
  t.false(startsOn(0, long))
  t.true(startsOn(1, long) || startsOn(2, long))
  await cluster.clock.advance(300)
  const patient = cluster.submit('patient', BATCH, [createStep(2, { dataRack: 'near', estimateMs: 10_000 })])
  await cluster.clock.advance(300)
  t.false(cluster.running.some(task => task.startsWith(patient)))
  cluster.target(0).listed = false
  await cluster.clock.advance(600)
  t.true(startsOn(1, patient) || startsOn(2, patient))
  t.deepEqual(await cluster.findStuckJobs(), [])
  cluster.close()
})
