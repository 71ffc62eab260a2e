import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { JobProgress } from '../../jobs/jobProgress.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../../jobs/testing/definitions.ts'
import { DeclaredRunTimes } from '../forecast/runTimes.ts'
import { SimulatedService } from '../testing/simulatedAdmission.ts'
import type { SimulatedJob, SimulatedServiceOptions } from '../testing/simulatedAdmission.ts'
import { AdmissionOutlook } from './admissionOutlook.ts'
import { describeRequest } from './admissionRequest.ts'
import type { AdmissionRequest } from './admissionRequest.ts'
import { Backlog } from './backlog.ts'
import { FeasibilityAdmission } from './feasibilityAdmission.ts'
import type { AdmissionDecision } from './feasibilityAdmission.ts'
import { SupplyCurve } from './supplyCurve.ts'

const URGENT = { priority: 0, tasks: 3, taskProcessors: 2.5, runMs: 800, objectiveMs: 1_700 }
/** Of jobs like `URGENT`, 17.7 per second can be run. */
const PROCESSORS = 106
const USUAL_RATE = 14
const BURST_RATE = 2.2 * USUAL_RATE
const BURST = { fromMs: 3_000, untilMs: 11_000 }

function endsInTime ({ load, submittedMs, endedMs }: SimulatedJob): boolean {
  return endedMs - submittedMs <= load.objectiveMs
}

/** A service at 0.79 of its capacity that gets 2.2 times its usual requests for 8 s. */
async function simulateBurst (overrides: Partial<SimulatedServiceOptions>): Promise<readonly SimulatedJob[]> {
  const load = { ...URGENT, team: 'weavers' }
  const loads = [
    { ...load, perSecond: USUAL_RATE, fromMs: 0, untilMs: BURST.fromMs },
    { ...load, perSecond: BURST_RATE, ...BURST },
    { ...load, perSecond: USUAL_RATE, fromMs: BURST.untilMs, untilMs: 20_000 }
  ]
  return await new SimulatedService({ processors: PROCESSORS, loads, share: () => 12, returning: false, untilMs: 26_000, ...overrides }).run()
}

function isInBurst ({ submittedMs }: SimulatedJob): boolean {
  return submittedMs >= BURST.fromMs && submittedMs < BURST.untilMs
}

test('burst of 2.2 times: accepted jobs end in time and the capacity is used; without admission many are accepted that do not', async t => {
  for (const share of [0, 12, 1_000]) {
    const jobs = (await simulateBurst({ share: () => share })).filter(isInBurst)
    const accepted = jobs.filter(({ acceptedMs }) => acceptedMs < Infinity)
    t.log(`share ${share}: ${jobs.length} jobs, ${accepted.length} accepted, ${jobs.filter(endsInTime).length} in time`)
    t.true(accepted.filter(endsInTime).length >= accepted.length * 0.95)
    t.true(jobs.filter(endsInTime).length >= 17.7 * 8 * 0.85, 'most of what can be run is accepted')
  }
  const unlimited = (await simulateBurst({ admits: false })).filter(isInBurst)
  t.true(unlimited.filter(endsInTime).length <= unlimited.length * 0.65)
})

test('burst whose refused callers return: new jobs after the burst are not refused for long because of them', async t => {
  const jobs = await simulateBurst({ returning: true })
  const later = jobs.filter(({ submittedMs }) => submittedMs >= BURST.untilMs + 2_000)
  t.log(`${jobs.filter(isInBurst).filter(endsInTime).length} in time in the burst, ${later.filter(endsInTime).length} of ${later.length} later`)
  t.true(later.filter(endsInTime).length >= later.length * 0.9)
  t.true(jobs.filter(isInBurst).filter(endsInTime).length >= 17.7 * 8 * 0.7, 'not all capacity goes to callers who return')
})

test('callers who were promised capacity are accepted when they return, before newer ones', async t => {
  const jobs = await simulateBurst({ returning: true })
  const promised = jobs.filter(({ refusals }) => refusals[0]?.promised === true)
  const kept = promised.filter(({ refusals }) => refusals.length === 1)
  t.log(`${kept.length} of ${promised.length} accepted at their return`)
  t.true(promised.length > 20)
  t.true(kept.length >= promised.length * 0.95)
  const refusedLater = jobs.filter(job => isInBurst(job) && job.refusals.length > 0 && job.submittedMs > BURST.fromMs + 3_000)
  t.true(refusedLater.length > 0, 'newer ones were refused meanwhile')
})

test('nothing is refused while a service is used at 0.79, within and beyond shares', async t => {
  const load = { ...URGENT, team: 'weavers', perSecond: USUAL_RATE, fromMs: 0, untilMs: 8_000 }
  for (const share of [0, 1_000]) {
    const jobs = await new SimulatedService({ processors: PROCESSORS, loads: [load], share: () => share, returning: false, untilMs: 10_000 }).run()
    t.true(jobs.every(endsInTime))
  }
})

test('a team within its share is not refused because of another team\'s burst', async t => {
  const burst = { ...URGENT, team: 'weavers', perSecond: 60, fromMs: 0, untilMs: 8_000 }
  const steady = { ...URGENT, team: 'dyers', perSecond: 6, fromMs: 1_000, untilMs: 8_000 }
  const jobs = await new SimulatedService({ processors: PROCESSORS, loads: [burst, steady], share: () => 8, returning: true, untilMs: 10_000 }).run()
  const dyers = jobs.filter(({ load }) => load.team === 'dyers')
  t.true(dyers.every(({ refusals }) => refusals.length === 0))
  t.true(dyers.every(endsInTime))
  t.true(jobs.some(({ load, refusals }) => load.team === 'weavers' && refusals.length > 0))
})

test('work that waits for the cap of its own team does not cause refusals for another team', async t => {
  const capped = { ...URGENT, priority: 1, runMs: 2_000, objectiveMs: 60_000, team: 'weavers', perSecond: 20, fromMs: 0, untilMs: 6_000 }
  const other = { ...URGENT, priority: 1, team: 'dyers', perSecond: 6, fromMs: 1_000, untilMs: 6_000 }
  const jobs = await new SimulatedService({ processors: PROCESSORS, loads: [capped, other], share: () => 0, cap: team => team === 'weavers' ? 30 : undefined, returning: false, untilMs: 8_000 }).run()
  t.true(jobs.filter(({ load }) => load.team === 'weavers' && load.fromMs === 0).some(({ endedMs }) => endedMs === Infinity), 'the capped team\'s jobs wait')
  t.true(jobs.filter(({ load }) => load.team === 'dyers').every(endsInTime))
})

// Guards against refusals of urgent jobs because wide jobs of the same team wait.
test('a team at several times its usual load: its urgent jobs are accepted and in time while its wide jobs wait or are refused', async t => {
  const urgent = { ...URGENT, team: 'weavers', perSecond: 8, fromMs: 0, untilMs: 8_000 }
  const wide = { priority: 1, tasks: 20, taskProcessors: 4.5, runMs: 5_000, objectiveMs: 12_000, team: 'weavers', perSecond: 1, fromMs: 0, untilMs: 8_000 }
  const jobs = await new SimulatedService({ processors: 150, loads: [urgent, wide], share: () => 1, returning: false, untilMs: 30_000 }).run()
  const share = (loads: readonly SimulatedJob[]): number => loads.filter(endsInTime).length / loads.length
  t.true(share(jobs.filter(({ load }) => load.priority === 0)) > 0.9)
  t.true(jobs.some(({ load, refusals }) => load.priority === 1 && refusals.length > 0), 'wide jobs that could not end in time are refused')
})

const REQUEST: AdmissionRequest = {
  service: 'renders', team: 'weavers', priority: 0, withinShare: false, order: 1, lateOrder: 2, objectiveMs: 1_000, lateObjectiveMs: 3_000, criticalPathMs: 500, unitProcessors: 1, largestTask: { processors: 1, memory: 0, accelerators: 0 }, processors: 1, firstWork: 500, work: 500
}

/** An outlook in which nothing becomes free for the given time, and then all at once. */
function outlookOf (freeInMs: number, largestTarget = 16, fitting = Infinity): AdmissionOutlook {
  const curve = SupplyCurve.from(withinMs => withinMs >= freeInMs ? 100 : 0)
  return new AdmissionOutlook({ atMs: 0, urgentReserveRatio: 0, services: new Map([['renders', { curve, totalProcessors: 100, largestTarget }]]), teams: new Map(), backlog: new Backlog(), timeUntilTargetMs: () => 0, fittingProcessors: () => fitting })
}

test('a job is not refused while nothing is known about its service, or when no target is large enough to judge it by', t => {
  const admission = new FeasibilityAdmission(new ManualClock())
  t.is(admission.decide('1', REQUEST, 0).action, 'accept')
  admission.update(outlookOf(Infinity))
  t.is(admission.decide('1', { ...REQUEST, service: 'others' }, 0).action, 'accept')
  t.is(admission.decide('1', REQUEST, 0).action, 'refuse')
  admission.update(outlookOf(Infinity, 0.5))
  t.is(admission.decide('1', REQUEST, 0).action, 'accept')
})

// Guards against acceptance of everything on a full service, because each target has a rest that is too small for a task.
test('processors that are free in parts too small for a task do not count as free', t => {
  const admission = new FeasibilityAdmission(new ManualClock())
  admission.update(outlookOf(0))
  t.is(admission.decide('1', REQUEST, 0).action, 'accept')
  admission.update(outlookOf(0, 16, 0))
  t.is(admission.decide('1', REQUEST, 0).action, 'refuse')
})

test('jobs whose time can not be estimated are not judged: lasting ones, repeated ones, and those without a declared run time or with a label', t => {
  const describe = (overrides: Parameters<typeof createStep>[1], definition = {}): unknown => {
    const record = createJobRecord('1', [createStep(2, overrides)])
    return describeRequest(new JobProgress({ ...record, definition: { ...record.definition, ...definition } }, TEST_QUEUE, 0), new DeclaredRunTimes(), 0)
  }
  t.not(describe({}), undefined)
  for (const overrides of [{ longRunning: true }, { estimateMs: 0 }, { requiredLabel: 'accelerated' }, { fillsSpareProcessors: true }]) t.is(describe(overrides), undefined)
  t.is(describe({}, { repetition: { count: 2, firstWallMs: 0, intervalMs: 1_000 } }), undefined)
})

test('a job within its share is refused only when it would end after three times its objective', t => {
  const admission = new FeasibilityAdmission(new ManualClock())
  admission.update(outlookOf(2_000))
  t.is(admission.decide('1', { ...REQUEST, withinShare: true }, 0).action, 'accept')
  t.is(admission.decide('2', REQUEST, 0).action, 'refuse')
  admission.update(outlookOf(6_000))
  t.is(admission.decide('3', { ...REQUEST, withinShare: true }, 0).action, 'refuse')
})

// Guards against callers who do not wait for their Retry-After and are served before those who do.
test('a caller who returns before the promised time is told the rest of it, and is accepted then', async t => {
  const clock = new ManualClock()
  const admission = new FeasibilityAdmission(clock)
  admission.update(outlookOf(1_500))
  const request = { ...REQUEST, lateObjectiveMs: 8_000 }
  const submit = (): AdmissionDecision => {
    const decision = admission.decide('1', request, 0)
    if (decision.action === 'refuse') admission.recordRefusal('1', request, decision)
    return decision
  }
  t.like(submit(), { action: 'refuse', retryAfterSeconds: 2 })
  await clock.advance(300)
  t.like(submit(), { action: 'refuse', retryAfterSeconds: 2, keepsPromise: true })
  await clock.advance(1_000)
  t.like(submit(), { action: 'refuse', retryAfterSeconds: 1, keepsPromise: true })
  await clock.advance(1_000)
  t.is(submit().action, 'accept')
})

test('later callers are told later times, and none more than 10 s', t => {
  const admission = new FeasibilityAdmission(new ManualClock())
  admission.update(outlookOf(1_500))
  const request = { ...REQUEST, lateObjectiveMs: 8_000, work: 30_000 }
  const told = Array.from({ length: 8 }, (_, index) => {
    const decision = admission.decide(`${index}`, request, 0.99)
    if (decision.action !== 'refuse') return 0
    admission.recordRefusal(`${index}`, request, decision)
    return decision.retryAfterSeconds
  })
  t.deepEqual([...told].sort((left, right) => left - right), told)
  t.true((told[0] ?? 0) >= 2 && (told[0] ?? 0) < (told[4] ?? 0) && told.every(seconds => seconds <= 10), told.join(' '))
})

test('wrong estimates are corrected by observed waits, within bounds that exclude neither acceptance nor refusal of everything', async t => {
  const clock = new ManualClock()
  const admission = new FeasibilityAdmission(clock)
  admission.update(outlookOf(Infinity))
  for (const [actualMs, bound] of [[60_000, 2], [0, 0.5]] as const) {
    for (let index = 0; index < 500; index++) {
      const job = { id: `${index}`, queue: { priority: 0 }, acceptedAtMs: clock.monotonicMs() - actualMs } as unknown as JobProgress
      admission.recordAcceptance(job, REQUEST, 2_000)
      admission.recordStart(job)
    }
    t.is(Math.round(admission.correctionFactor(0) * 10) / 10, bound)
    t.is(admission.correctionFactor(1), 1, 'other priorities are not affected')
    await clock.advance(60_000)
  }
})

// Guards against refusals on an idle service: placement gives the reserve for urgent work up for a task that could not start otherwise.
test('a task or gang that the reserve for urgent work would leave too little for is accepted on an idle service', t => {
  for (const [targets, tasks] of [[1, 1], [8, 8]] as const) {
    const total = 16 * targets
    const admission = new FeasibilityAdmission(new ManualClock())
    admission.update(new AdmissionOutlook({
      atMs: 0, urgentReserveRatio: 0.05, services: new Map([['renders', { curve: SupplyCurve.from(() => total), totalProcessors: total, largestTarget: 16 }]]), teams: new Map(), backlog: new Backlog(), timeUntilTargetMs: () => 0, fittingProcessors: () => 9 * targets
    }))
    const request = { ...REQUEST, priority: 1, unitProcessors: 9 * tasks, processors: 9 * tasks, largestTask: { processors: 9, memory: 0, accelerators: 0 } }
    t.is(admission.decide('1', request, 0).action, 'accept')
  }
})

// Guards against a caller who is refused at each return, since its team's cap is smaller than the capacity that is kept from late jobs.
test('a caller who returns late to an idle service is accepted, however small its team\'s cap is', async t => {
  const clock = new ManualClock()
  const admission = new FeasibilityAdmission(clock)
  admission.update(outlookOf(Infinity))
  const decision = admission.decide('1', REQUEST, 0)
  if (decision.action !== 'refuse') return t.fail('the full service refuses the job')
  admission.recordRefusal('1', REQUEST, decision)
  await clock.advance(decision.retryAfterSeconds * 1_000)
  const { state } = outlookOf(0)
  admission.update(new AdmissionOutlook({ ...state, atMs: clock.monotonicMs(), teams: new Map([['weavers', { curve: SupplyCurve.from(() => 5), cap: 5, idle: true }]]) }))
  t.is(admission.decide('1', REQUEST, 0).action, 'accept')
})
