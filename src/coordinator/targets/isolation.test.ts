import test from 'ava'
import type { StepDefinition } from '../../jobs/job.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import { createStep } from '../../jobs/testing/definitions.ts'
import { resources, subtractResources } from '../../model/resources.ts'
import { createLogger } from '../../observability/logger.ts'
import type { Assignment } from './assignment.ts'
import { Isolation } from './isolation.ts'
import type { IsolatedPlaces, IsolationRequest } from './isolation.ts'
import type { TargetAvailability } from '../placement/placeStep.ts'
import { TargetCapacity } from './targetCapacity.ts'
import type { TargetSession } from './targetSession.ts'
import { createAssignments, createJob } from '../testing/assignments.ts'

interface FakeTarget {
  readonly id: string
  readonly key: string
  readonly assignments: Map<string, Assignment>
  readonly capacity: TargetCapacity
  ended: boolean
}

const NOW_MS = 100_000

function createIsolation (): Isolation {
  return new Isolation((_step, { key, capacity, assignments }): TargetAvailability => ({
    key, free: [...assignments.values()].reduce((free, { size }) => subtractResources(free, size), capacity.total), rack: '', labels: [], sameStepTasks: 0, hasResponseTargetTasks: false, hasSpareFillingTasks: false, isUnreliable: false
  }), createLogger({ level: 'silent', instance: 'test', dataCentre: 'test', secrets: [] }))
}

function createTargets (count: number): readonly FakeTarget[] {
  return Array.from({ length: count }, (_, number) => ({
    id: `t-${number}`, key: `t-${number}@1`, assignments: new Map(), capacity: new TargetCapacity(resources({ processors: 4_000, memory: 1_000 })), ended: false
  }))
}

function run (target: FakeTarget | undefined, assignments: readonly Assignment[]): readonly Assignment[] {
  for (const assignment of assignments) target?.assignments.set(assignment.key, assignment)
  return assignments
}

/** Creates the tasks of a step that may crash its targets. */
function createSuspects (id: string, count = 1, overrides: Partial<StepDefinition> = {}): readonly Assignment[] {
  const assignments = createAssignments(id, count, overrides, 'reserved')
  for (const { task } of assignments) task.step.recordCrash(task.index, 1, 'suspected', 't-0')
  return assignments
}

function prepare (isolation: Isolation, [suspect]: readonly Assignment[], targets: readonly FakeTarget[], permitted: readonly FakeTarget[] = targets, nowMs = NOW_MS): IsolatedPlaces {
  if (suspect === undefined) throw new Error('the step has no task')
  return isolation.prepare({
    step: suspect.task.step,
    targets: targets as unknown as readonly TargetSession[],
    permits: target => permitted.includes(target as unknown as FakeTarget),
    othersWait: true,
    nowMs
  })
}

function requestOf (step: StepProgress, targets: readonly FakeTarget[], nowMs: number): IsolationRequest {
  return { step, targets: targets as unknown as readonly TargetSession[], permits: () => true, othersWait: true, nowMs }
}

/** Requests are those of all steps with waiting suspected tasks. */
function releaseUnneeded (isolation: Isolation, targets: readonly FakeTarget[], nowMs: number): void {
  isolation.releaseUnneeded(step => step.waiting.some(task => step.isSuspected(task)) ? requestOf(step, targets, nowMs) : undefined, nowMs)
}

function keys ({ ready }: IsolatedPlaces): readonly string[] {
  return ready.map(({ key }) => key)
}

function holds (isolation: Isolation, targets: readonly FakeTarget[]): readonly boolean[] {
  return targets.map(target => isolation.holds(target as unknown as TargetSession))
}

test('a suspected task starts on a target only when the runs of other jobs there have ended, and the target takes no others', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  for (const [number, target] of targets.entries()) run(target, createAssignments(`other-${number}`, number === 2 ? 1 : 3))
  const suspects = createSuspects('a')
  t.deepEqual(keys(prepare(isolation, suspects, targets)), [])
  t.deepEqual(holds(isolation, targets), [false, false, true, false], 'the one with the least work')
  targets[2]?.assignments.clear()
  t.deepEqual(keys(prepare(isolation, suspects, targets)), ['t-2@1'])
})

test('a target is open to all tasks again when the suspected task is done, and a lasting one when it has worked for long', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  const [suspect] = createSuspects('a')
  const [lasting] = createSuspects('b', 1, { longRunning: true })
  if (suspect === undefined || lasting === undefined) return t.fail()
  prepare(isolation, [suspect], targets)
  releaseUnneeded(isolation, targets, NOW_MS)
  t.true(holds(isolation, targets).includes(true), 'the task waits')
  suspect.task.state = 'done'
  releaseUnneeded(isolation, targets, NOW_MS)
  t.false(holds(isolation, targets).includes(true))
  prepare(isolation, [lasting], targets)
  run(targets.find((_, number) => holds(isolation, targets)[number] === true), [lasting])
  Object.assign(lasting, { reported: true, firstReportedAtMs: NOW_MS })
  lasting.task.state = 'assigned'
  releaseUnneeded(isolation, targets, NOW_MS + 5_000)
  t.true(holds(isolation, targets).includes(true))
  releaseUnneeded(isolation, targets, NOW_MS + 10_000)
  t.false(holds(isolation, targets).includes(true))
})

test('where every target runs a lasting task, a suspected task still starts', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  for (const [number, target] of targets.entries()) run(target, createAssignments(`service-${number}`, 1, { longRunning: true }))
  t.is(prepare(isolation, createSuspects('a'), targets).ready.length, 1)
})

test('two gangs never hold a part of the targets that each of them needs', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  for (const [number, target] of targets.entries()) run(target, createAssignments(`other-${number}`))
  const [first, second] = [createSuspects('a', 12, { gang: true }), createSuspects('b', 12, { gang: true })]
  prepare(isolation, first, targets)
  t.is(holds(isolation, targets).filter(Boolean).length, 3)
  t.deepEqual(keys(prepare(isolation, second, targets)), [])
  for (const target of targets) target.assignments.clear()
  t.is(prepare(isolation, first, targets).ready.length, 3)
  t.deepEqual(keys(prepare(isolation, second, targets)), [])
})

test('a step that the permitted targets cannot hold says so, and keeps none of them', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  t.true(prepare(isolation, createSuspects('a', 12, { gang: true }), targets, targets.slice(0, 2)).insufficient)
  t.false(holds(isolation, targets).includes(true))
})

test('a suspected task gets another target than the one that crashed under it', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  for (const target of targets.slice(1)) run(target, createAssignments(`other-${target.id}`))
  prepare(isolation, createSuspects('a'), targets)
  t.deepEqual(holds(isolation, targets), [false, true, false, false], 'although the one that crashed is vacant')
})

// Guards against a suspected task that waits for ever on a target that lasting tasks leave too little of.
test('a suspected task gets a target that can hold it beside the lasting tasks there, although another one has fewer runs', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  for (const target of targets) run(target, createAssignments(`large-${target.id}`, 1, { longRunning: true, size: resources({ processors: 3_500, memory: 10 }) }))
  targets[2]?.assignments.clear()
  run(targets[2], createAssignments('small', 2, { longRunning: true }))
  t.deepEqual(keys(prepare(isolation, createSuspects('a', 1, { size: resources({ processors: 2_000, memory: 10 }) }), targets)), ['t-2@1'])
})

// Guards against a gang that waits for ever since fewer targets are kept for it than it needs.
test('a gang gets as many targets as it needs beside the lasting tasks there', t => {
  const isolation = createIsolation()
  const targets = createTargets(6)
  for (const target of targets) run(target, createAssignments(`service-${target.id}`, 1, { longRunning: true }))
  const gang = createSuspects('a', 3, { gang: true, size: resources({ processors: 2_000, memory: 10 }) })
  t.is(prepare(isolation, gang, targets).ready.length, 3)
})

// Guards against a lasting task that waits for ever on the target of another one of its step, which must not take both.
test('a suspected lasting task gets another target than one that holds as many tasks of its step as it may', t => {
  const isolation = createIsolation()
  const targets = createTargets(2)
  const [first, second] = createSuspects('a', 2, { longRunning: true, tasksPerTarget: 1 })
  if (first === undefined || second === undefined) return t.fail()
  prepare(isolation, [first], targets)
  const target = targets.find((_, number) => holds(isolation, targets)[number] === true)
  run(target, [first])
  Object.assign(first, { reported: true, firstReportedAtMs: NOW_MS })
  first.task.state = 'assigned'
  releaseUnneeded(isolation, targets, NOW_MS + 1_000)
  t.is(holds(isolation, targets).filter(Boolean).length, 1, 'the target is still kept for the first')
  const { ready } = prepare(isolation, [second], targets)
  t.deepEqual([ready.length, ready.some(({ key }) => key === target?.key)], [1, false])
  releaseUnneeded(isolation, targets, NOW_MS + 10_000)
  t.is(holds(isolation, targets).filter(Boolean).length, 1, 'the first has worked for long')
})

// Guards against a suspected task that waits for a run that stands still, although it could start elsewhere.
test('a suspected task gets a vacant target as soon as there is one, instead of the busy one that was kept for it', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  for (const target of targets) run(target, createAssignments(`other-${target.id}`))
  const suspects = createSuspects('a')
  t.deepEqual(keys(prepare(isolation, suspects, targets)), [])
  t.deepEqual(holds(isolation, targets), [false, true, false, false])
  targets[0]?.assignments.clear()
  t.deepEqual(keys(prepare(isolation, suspects, targets)), [], 'the one that crashed under it')
  targets[3]?.assignments.clear()
  t.deepEqual(keys(prepare(isolation, suspects, targets)), ['t-3@1'])
  t.deepEqual(holds(isolation, targets), [false, false, false, true], 'the other one is open to all jobs again')
})

// Guards against lasting tasks that stay down for as long as the runs of others on the targets take.
test('a lasting task waits only a while for other runs on its target to end, until a second target has crashed under it', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  for (const [index, target] of targets.entries()) run(target, createAssignments(`long-${index}`))
  const suspects = createSuspects('service', 1, { longRunning: true })
  t.deepEqual(keys(prepare(isolation, suspects, targets)), [])
  t.deepEqual(keys(prepare(isolation, suspects, targets, targets, NOW_MS + 1_900)), [])
  t.deepEqual(keys(prepare(isolation, suspects, targets, targets, NOW_MS + 2_000)), ['t-1@1'])
  const task = suspects[0]?.task
  task?.step.recordCrash(0, 2, 'suspected', 't-1')
  t.deepEqual(keys(prepare(isolation, suspects, targets, targets, NOW_MS + 60_000)), [])
})

/** Marks the run as one that the target has shown since the given time. */
function report (assignment: Assignment, sinceMs: number): void {
  Object.assign(assignment, { reported: true, firstReportedAtMs: sinceMs })
  assignment.task.state = 'assigned'
}

// Guards against lasting tasks that come back one after the other, each when the one before has worked on its target for long.
test('lasting tasks share the target that may be kept, until three targets have crashed under one of them', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  for (const target of targets) run(target, target.id === 't-1' ? [] : createAssignments(`other-${target.id}`))
  const [first, second] = ['a', 'b'].flatMap(id => createSuspects(id, 1, { longRunning: true }))
  if (first === undefined || second === undefined) return t.fail()
  t.deepEqual(keys(prepare(isolation, [first], targets)), ['t-1@1'])
  run(targets[1], [first])
  report(first, NOW_MS)
  second.task.step.recordCrash(0, 2, 'shared', 't-2')
  t.deepEqual(keys(prepare(isolation, [second], targets)), ['t-1@1'])
  t.deepEqual(holds(isolation, targets), [false, true, false, false], 'other work keeps its targets')
  second.task.step.recordCrash(0, 3, 'shared', 't-3')
  t.deepEqual(keys(prepare(isolation, [second], targets)), [], 'only a target of its own shows whether it is the cause')
})

// Guards against lasting tasks that stay down for as long as long runs keep their target busy, although another may be shared.
test('a lasting task shares a target while runs of other jobs keep its own one busy', t => {
  const isolation = createIsolation()
  const targets = createTargets(12)
  for (const target of targets) run(target, createAssignments(`long-${target.id}`))
  const [first, second] = ['a', 'b'].flatMap(id => createSuspects(id, 1, { longRunning: true }))
  if (first === undefined || second === undefined) return t.fail()
  second.task.step.recordCrash(0, 2, 'shared', 't-2')
  t.deepEqual([prepare(isolation, [first], targets).ready.length, prepare(isolation, [second], targets).ready.length], [0, 0])
  const [own, other] = targets.filter((_, number) => holds(isolation, targets)[number] === true)
  t.deepEqual([own?.key, other?.key], ['t-1@1', 't-3@1'])
  own?.assignments.clear()
  run(own, [first])
  report(first, NOW_MS)
  t.deepEqual(keys(prepare(isolation, [second], targets)), ['t-1@1'])
})

// Guards against other tasks beside a lasting one that may crash its target, because the task that the target was kept for has left.
test('a shared target stays closed until all lasting tasks that share it have worked there for long', t => {
  const isolation = createIsolation()
  const targets = createTargets(2)
  const [first, second] = ['a', 'b'].flatMap(id => createSuspects(id, 1, { longRunning: true }))
  if (first === undefined || second === undefined) return t.fail()
  run(targets[1], [first])
  prepare(isolation, [first], targets)
  const [kept] = targets.filter((_, number) => holds(isolation, targets)[number] === true)
  report(first, NOW_MS)
  t.deepEqual(keys(prepare(isolation, [second], targets)), [kept?.key])
  run(kept, [second])
  report(second, NOW_MS + 5_000)
  releaseUnneeded(isolation, targets, NOW_MS + 10_000)
  t.true(holds(isolation, targets).includes(true), 'the second has worked there for half of the time')
  releaseUnneeded(isolation, targets, NOW_MS + 15_000)
  t.false(holds(isolation, targets).includes(true))
})

// Guards against lasting tasks that stay down for as long as tasks that end keep all targets that may be kept.
test('a lasting task gets a target also while others are kept for as many tasks that end as allowed', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  for (const target of targets) run(target, createAssignments(`other-${target.id}`))
  prepare(isolation, createSuspects('a'), targets)
  t.is(holds(isolation, targets).filter(Boolean).length, 1)
  prepare(isolation, createSuspects('b'), targets)
  t.is(holds(isolation, targets).filter(Boolean).length, 1, 'no more for a second task that ends')
  prepare(isolation, createSuspects('c', 1, { longRunning: true }), targets)
  t.is(holds(isolation, targets).filter(Boolean).length, 2)
})

// Guards against targets that stay closed for a gang that fits no more, and against a gang that loses them all when one of them is avoided for a moment.
test('targets are open to all tasks again one second after those that are left have become too few for the gang', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  for (const target of targets) run(target, createAssignments(`other-${target.id}`))
  prepare(isolation, createSuspects('a', 16, { gang: true }), targets)
  const countHeldWith = (usable: number, nowMs: number): number => {
    releaseUnneeded(isolation, targets.slice(0, usable), nowMs)
    return holds(isolation, targets).filter(Boolean).length
  }
  t.deepEqual([countHeldWith(4, NOW_MS), countHeldWith(3, NOW_MS + 500), countHeldWith(4, NOW_MS + 900)], [4, 4, 4], 'one of them is back in time')
  t.deepEqual([countHeldWith(3, NOW_MS + 980), countHeldWith(3, NOW_MS + 1_979), countHeldWith(3, NOW_MS + 1_980)], [4, 4, 0], 'the time from the last check to the one that finds too few does not count')
})

// Guards against a gang that closes more than half of the targets for as long as the runs of others there take.
test('of many targets whose runs do not end while others wait for two seconds, only those with the longest runs stay kept, until these have ended', t => {
  const isolation = createIsolation()
  const targets = createTargets(8)
  for (const [number, target] of targets.entries()) for (const other of run(target, createAssignments(`other-${number}`))) report(other, NOW_MS - number % 4)
  const gang = createSuspects('a', 32, { gang: true })
  const holdsAt = (elapsedMs: number): string => {
    releaseUnneeded(isolation, targets, NOW_MS + elapsedMs)
    prepare(isolation, gang, targets, targets, NOW_MS + elapsedMs)
    return holds(isolation, targets).map(Number).join('')
  }
  t.deepEqual([0, 1, 2_000, 2_001, 7_000, 9_000].map(holdsAt), ['11111111', '11111111', '11111111', '00010001', '00010001', '00010001'])
  for (const number of [3, 7]) targets[number]?.assignments.clear()
  t.deepEqual([9_001, 9_002, 13_001, 13_002].map(holdsAt), ['11111111', '11111111', '11111111', '00100010'], 'for twice as long')
})

// Guards against a target that stays closed after another one has taken its place while it was not usable.
test('a target that comes back after it was replaced is open to all tasks', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  const suspects = createSuspects('a')
  prepare(isolation, suspects, targets)
  const others = targets.filter((_, number) => holds(isolation, targets)[number] !== true)
  prepare(isolation, suspects, others)
  t.is(holds(isolation, targets).filter(Boolean).length, 2)
  releaseUnneeded(isolation, others, NOW_MS)
  t.is(holds(isolation, targets).filter(Boolean).length, 1)
})

// Guards against two gangs that each keep a part of the targets, of which neither suffices after some have left.
test('of two gangs that have each lost a target, one gets what both need', t => {
  const isolation = createIsolation()
  const targets = createTargets(20)
  const gangs = ['a', 'b'].map(id => createSuspects(id, 16, { gang: true }))
  for (const gang of gangs) t.is(prepare(isolation, gang, targets).ready.length, 4)
  const left = targets.filter((_, number) => holds(isolation, targets)[number] === true).filter((_, number) => number % 4 !== 0)
  t.deepEqual(gangs.map(gang => prepare(isolation, gang, left).ready.length), [0, 0])
  for (const elapsedMs of [0, 1_000]) releaseUnneeded(isolation, left, NOW_MS + elapsedMs)
  t.deepEqual(gangs.map(gang => prepare(isolation, gang, left).ready.length), [4, 0])
})

// Guards against targets that stay closed for a task that gets no ticket.
test('targets that nothing runs on are open to all tasks after five seconds without a start, and kept again five seconds later', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  const suspects = createSuspects('a')
  const countHeldAt = (elapsedMs: number): number => {
    releaseUnneeded(isolation, targets, NOW_MS + elapsedMs)
    prepare(isolation, suspects, targets, targets, NOW_MS + elapsedMs)
    return holds(isolation, targets).filter(Boolean).length
  }
  t.deepEqual([0, 1, 5_000, 5_001, 10_000, 10_001, 10_002].map(countHeldAt), [1, 1, 1, 0, 0, 1, 1])
})

// Guards against targets that stay closed while the start of one member of the gang is not answered, so that none of it can start.
test('targets of a gang of which one member has not ended are open to all tasks after a second', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  const gang = createSuspects('a', 16, { gang: true })
  prepare(isolation, gang, targets)
  const [unanswered] = run(targets[0], gang.slice(0, 1))
  if (unanswered === undefined) return t.fail()
  unanswered.task.state = 'assigned'
  for (const [elapsedMs, expected] of [[0, 4], [999, 4], [1_000, 1]] as const) {
    releaseUnneeded(isolation, targets, NOW_MS + elapsedMs)
    t.is(holds(isolation, targets).filter(Boolean).length, expected)
  }
})

// Guards against targets that stay closed for a gang that fits no more, since another step of its job could use one of them.
test('a task that waits does not keep the targets that a gang of its job can not use any more', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  const job = createJob('a', [createStep(16, { gang: true }), createStep(1)])
  const [gang, single] = job.steps
  if (gang === undefined || single === undefined) return t.fail()
  for (const { tasks } of job.steps) for (const { index, step } of tasks) step.recordCrash(index, 1, 'suspected', 't-0')
  isolation.prepare(requestOf(gang, targets, NOW_MS))
  t.is(holds(isolation, targets).filter(Boolean).length, 4)
  const left = targets.slice(1)
  for (const target of left) run(target, createAssignments(`other-${target.id}`))
  for (const elapsedMs of [0, 1_000]) releaseUnneeded(isolation, left, NOW_MS + elapsedMs)
  t.is(holds(isolation, targets).filter(Boolean).length, 1)
})

// Guards against kept targets of which nobody can tell for whom and until when they are kept.
test('the list of kept targets names their job, how long they have been kept, and when a bounded wait ends', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  const suspects = createSuspects('a', 2, { gang: true, size: resources({ processors: 4_000, memory: 10 }) })
  prepare(isolation, suspects, targets)
  releaseUnneeded(isolation, targets, NOW_MS + 500)
  t.deepEqual(isolation.listKept(NOW_MS + 1_500), ['t-1', 't-2'].map(target => ({ keeper: 'isolation', target, job: 'a', keptMs: 1_500, endsInMs: 4_000 })))
  releaseUnneeded(isolation, targets.slice(1, 2), NOW_MS + 1_500)
  t.deepEqual(isolation.listKept(NOW_MS + 1_600).map(({ endsInMs }) => endsInMs), [900, 900], 'the targets have become too few')
  releaseUnneeded(isolation, targets.slice(0, 2), NOW_MS + 1_700)
  t.deepEqual(isolation.listKept(NOW_MS + 1_700).map(({ endsInMs }) => endsInMs), [undefined, undefined], 'another target can be kept instead')
})

// Guards against a task that waits for the target of another suspected task although others have room for it now.
test('the least busy targets for a step are those that nobody keeps, then those with the fewest runs of other jobs', t => {
  const isolation = createIsolation()
  const targets = createTargets(4)
  const size = resources({ processors: 1_000, memory: 10 })
  prepare(isolation, createSuspects('a'), targets.slice(0, 1))
  run(targets[1], createAssignments('other-1', 2, { size }))
  run(targets[2], createAssignments('other-2', 1, { size }))
  run(targets[3], createAssignments('other-3', 4, { size }))
  const findFor = (suspects: readonly Assignment[]): readonly string[] => suspects.slice(0, 1).flatMap(({ task }) => isolation.findLeastBusy(requestOf(task.step, targets, NOW_MS)).map(({ id }) => id))
  t.deepEqual(findFor(createSuspects('b', 1, { size })), ['t-2'])
  t.deepEqual(findFor(createSuspects('c', 6, { gang: true, size })), ['t-2', 't-1', 't-0'])
  t.deepEqual(findFor(createSuspects('d', 10, { gang: true, size })), [], 'too few places')
})
