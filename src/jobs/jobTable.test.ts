import test from 'ava'
import fc from 'fast-check'
import { RUN_ENDS } from '../ports/jobTarget.ts'
import { CRASH_EVIDENCE } from './crashHistory.ts'
import type { CrashEvidence } from './crashHistory.ts'
import type { LogRecord } from './jobRecords.ts'
import { JobTable } from './jobTable.ts'
import { createJobRecord, createStep, TEST_QUEUE } from './testing/definitions.ts'

function placed (job: string, step: number, index: number, attempt: number, target = 'worker-1@1'): LogRecord {
  return { type: 'placed', job, occurrence: 0, step, runs: [[index, attempt, target]] }
}

function ended (job: string, step: number, index: number, attempt: number, end: typeof RUN_ENDS[number], checkpoint = ''): LogRecord {
  return { type: 'run-end', job, occurrence: 0, step, index, attempt, end, checkpoint }
}

function crashed (job: string, step: number, index: number, attempt: number, evidence: CrashEvidence): LogRecord {
  return { type: 'crashed', job, occurrence: 0, step, target: `worker-${attempt}`, runs: [[index, attempt, evidence]] }
}

function createTable (records: readonly LogRecord[]): JobTable {
  const table = new JobTable(() => 0)
  for (const record of [{ type: 'queue', queue: TEST_QUEUE } as const, ...records]) table.apply(record)
  return table
}

function summarize (table: JobTable): unknown {
  return [...table.jobs.values()].map(job => ({ id: job.id, state: job.state, steps: job.steps.map(each => ({ ...each.toSnapshot(), waiting: each.waiting.length })) }))
}

test('a step is not ready before all tasks of the steps that it depends on are done', t => {
  const table = createTable([createJobRecord('a', [createStep(2), createStep(1, { after: [0] })]), placed('a', 0, 0, 1), ended('a', 0, 0, 1, 'done')])
  const job = table.jobs.get('a')
  t.false(job?.isReady(job.steps[1]!))
  table.apply(placed('a', 0, 1, 1))
  table.apply(ended('a', 0, 1, 1, 'done'))
  t.true(job?.isReady(job.steps[1]!))
  t.is(job?.state, 'active')
  table.apply(ended('a', 1, 0, 1, 'done'))
  t.is(job?.state, 'completed')
})

test('a job fails when one task reaches the maximum number of failures of its queue; repeated reports count once', t => {
  const table = createTable([createJobRecord('a', [createStep(2)]), ended('a', 0, 0, 1, 'failed'), ended('a', 0, 0, 1, 'failed'), ended('a', 0, 1, 1, 'failed')])
  const job = table.jobs.get('a')
  t.is(job?.state, 'active')
  table.apply(ended('a', 0, 0, 2, 'failed'))
  t.is(job?.state, 'failed')
  t.deepEqual(job?.failureCause, { name: 'a.0.0.0', failures: 2, maximumFailures: 2, endedAttempts: [1, 2] })
})

test('a failure whose record is missing in a log gap counts when it is reported again after a later placement', t => {
  const table = createTable([createJobRecord('a', [createStep(1)]), placed('a', 0, 0, 1), placed('a', 0, 0, 2, 'worker-2@1')])
  const step = table.jobs.get('a')?.steps[0]
  table.apply(ended('a', 0, 0, 1, 'failed'))
  t.is(step?.tasks[0]?.failures, 1)
  t.is(step?.tasks[0]?.placedOn, 'worker-2@1', 'the later run stays current')
  step?.releaseLostRun(step.tasks[0]!, 2)
  table.apply(placed('a', 0, 0, 3))
  table.apply(ended('a', 0, 0, 3, 'failed'))
  t.is(table.jobs.get('a')?.state, 'failed')
})

test('a placement whose job is missing in a log gap has no effect', t => {
  const table = createTable([placed('a', 0, 0, 1), ended('a', 0, 0, 1, 'done')])
  t.is(table.jobs.size, 0)
})

test('runs that end as stopped, lapsed, broken or alone do not count as failures', t => {
  const ends = ['stopped', 'lapsed', 'broken', 'alone'] as const
  const table = createTable([createJobRecord('a', [createStep(1)]), ...ends.map((end, position) => ended('a', 0, 0, position + 1, end))])
  t.is(table.jobs.get('a')?.state, 'active')
})

test('failures of gang members count once for each attempt, and one done member completes the gang', t => {
  const table = createTable([createJobRecord('a', [createStep(3, { gang: true })]), ended('a', 0, 0, 1, 'failed'), ended('a', 0, 1, 1, 'failed'), ended('a', 0, 2, 1, 'broken')])
  const job = table.jobs.get('a')
  t.is(job?.state, 'active')
  t.is(job?.steps[0]?.waiting.length, 3)
  table.apply(ended('a', 0, 1, 2, 'done'))
  t.is(job?.state, 'completed')
})

test('the end of an earlier attempt does not release a task that was placed again', t => {
  const table = createTable([createJobRecord('a', [createStep(1)]), placed('a', 0, 0, 1), placed('a', 0, 0, 2, 'worker-2@1'), ended('a', 0, 0, 1, 'lapsed')])
  t.is(table.jobs.get('a')?.steps[0]?.tasks[0]?.state, 'assigned')
  t.is(table.jobs.get('a')?.steps[0]?.tasks[0]?.placedOn, 'worker-2@1')
})

test('a task on a removed target waits again and gets a higher attempt number', t => {
  const table = createTable([createJobRecord('a', [createStep(1)]), placed('a', 0, 0, 1), { type: 'target-gone', id: 'worker-1', bornMs: 1 }])
  const task = table.jobs.get('a')?.steps[0]?.tasks[0]
  t.is(task?.state, 'waiting')
  t.is(task?.step.nextAttempt(task), 2)
})

test('a long-running task is restarted regardless of how it ends', t => {
  const table = createTable([createJobRecord('a', [createStep(1, { longRunning: true })]), placed('a', 0, 0, 1), ended('a', 0, 0, 1, 'done'), placed('a', 0, 0, 2), ended('a', 0, 0, 2, 'failed'), placed('a', 0, 0, 3), ended('a', 0, 0, 3, 'failed')])
  t.is(table.jobs.get('a')?.state, 'active')
  t.is(table.jobs.get('a')?.steps[0]?.waiting.length, 1)
})

// A gang on many targets meets unrelated crashes; they must not add up to the proof that one member is the cause.
test('a gang is not given up for lone crashes under different members, but is isolated as a whole', t => {
  const table = createTable([createJobRecord('a', [createStep(3, { gang: true })])])
  for (const index of [0, 1, 2]) table.apply(crashed('a', 0, index, index + 1, 'lone'))
  t.is(table.jobs.get('a')?.outcome, undefined)
  t.is(createTable(table.toRecords()).jobs.get('a')?.steps[0]?.suspectedTasks.length, 3, 'also from a snapshot')
  table.apply(crashed('a', 0, 0, 4, 'lone'))
  t.is(table.jobs.get('a')?.outcome, 'failed')
})

test('a job is given up when lone crashes show that one of its tasks, or its gang, crashes the targets that start it', t => {
  const table = createTable([createJobRecord('a', [createStep(2)]), createJobRecord('b', [createStep(2, { gang: true })]), createJobRecord('c', [createStep(1, { longRunning: true })])])
  const state = (id: string): unknown => table.jobs.get(id)?.state
  table.apply(crashed('a', 0, 0, 1, 'lone'))
  table.apply(crashed('a', 0, 1, 1, 'lone'))
  t.not(state('a'), 'failed', 'each of two tasks lost one target')
  table.apply(crashed('a', 0, 1, 2, 'lone'))
  t.is(state('a'), 'failed')
  table.apply(crashed('b', 0, 0, 1, 'lone'))
  table.apply(crashed('b', 0, 1, 1, 'lone'))
  t.not(state('b'), 'failed', 'two members of one attempt lost their targets')
  table.apply(crashed('b', 0, 1, 2, 'lone'))
  t.is(state('b'), 'failed')
  table.apply(crashed('c', 0, 0, 1, 'lone'))
  table.apply(crashed('c', 0, 0, 2, 'lone'))
  t.is(state('c'), 'failed', 'also a task that lasts')
})

const anyRecord: fc.Arbitrary<LogRecord> = fc.oneof(
  fc.record({ step: fc.integer({ min: 0, max: 1 }), index: fc.integer({ min: 0, max: 2 }), attempt: fc.integer({ min: 1, max: 4 }), end: fc.constantFrom(...RUN_ENDS) })
    .map(({ step, index, attempt, end }) => ended('a', step, index, attempt, end, end === 'stopped' ? `saved-${attempt}` : '')),
  fc.record({ step: fc.integer({ min: 0, max: 1 }), index: fc.integer({ min: 0, max: 2 }), attempt: fc.integer({ min: 1, max: 5 }) })
    .map(({ step, index, attempt }) => placed('a', step, index, attempt)),
  fc.record({ step: fc.integer({ min: 0, max: 1 }), index: fc.integer({ min: 0, max: 2 }), attempt: fc.integer({ min: 1, max: 5 }), evidence: fc.constantFrom(...CRASH_EVIDENCE) })
    .map(({ step, index, attempt, evidence }) => crashed('a', step, index, attempt, evidence))
)

test('replaying a snapshot, or the ends of runs twice, gives the same jobs', t => {
  const property = fc.property(fc.array(anyRecord, { maxLength: 25 }), fc.boolean(), (records, gang) => {
    const job = createJobRecord('a', [createStep(3, { gang }), createStep(2, { after: [0] })])
    const once = createTable([job, ...records])
    const twice = createTable([job, ...records, ...records.filter(record => record.type === 'run-end')])
    const restored = createTable(once.toRecords())
    return JSON.stringify(summarize(once)) === JSON.stringify(summarize(restored)) && once.jobs.get('a')?.state === twice.jobs.get('a')?.state
  })
  t.notThrows(() => fc.assert(property, { seed: 17, numRuns: 500 }))
})

const REPEATED: LogRecord = { ...createJobRecord('r', [createStep(1)]), definition: { spec: '', steps: [createStep(1)], repetition: { count: 2, firstWallMs: 0, intervalMs: 1 } } }
const JOBS: readonly LogRecord[] = [createJobRecord('a', [createStep(3), createStep(2, { after: [0] })]), createJobRecord('g', [createStep(3, { gang: true }), createStep(2, { after: [0] })]), REPEATED]
const anyEvent: fc.Arbitrary<LogRecord> = fc.oneof(
  anyRecord,
  anyRecord.map(record => ({ ...record, job: 'g' }) as LogRecord),
  fc.record({ occurrence: fc.nat(1), attempt: fc.integer({ min: 1, max: 3 }), end: fc.constantFrom(...RUN_ENDS) })
    .map(({ occurrence, attempt, end }): LogRecord => ({ type: 'run-end', job: 'r', occurrence, step: 0, index: 0, attempt, end, checkpoint: '' })),
  fc.constantFrom('a', 'g', 'r').map((id): LogRecord => ({ type: 'cancelled', job: id, wallMs: 0 })),
  fc.integer({ min: 1, max: 3 }).map((maximumFailures): LogRecord => ({ type: 'queue', queue: { ...TEST_QUEUE, maximumFailures } })),
  fc.constantFrom(...JOBS),
  fc.constantFrom<LogRecord>({ type: 'target-gone', id: 'worker-9', bornMs: 1 }),
  fc.nat(2).map(index => placed('a', 0, index, 1, 'worker-9@1'))
)

function describeTable (table: JobTable): string {
  const jobs = [...table.jobs.values()].map(({ id, state, hasStarted, openOccurrences, queue }) => ({ id, state, hasStarted, openOccurrences, queue }))
  return JSON.stringify([jobs, summarize(table), [...table.finished.values()], [...table.targets.keys()], table.queue(TEST_QUEUE.name)])
}

// Guards against a successor that shows another outcome of a job, or does not know it, because it read a snapshot instead of the whole log.
test('a snapshot followed by records that it may already contain gives the same jobs as the whole log', t => {
  const property = fc.property(fc.array(anyEvent, { maxLength: 30 }), fc.nat(30), fc.nat(30), (events, first, second) => {
    // Nothing is placed on a target that is gone.
    const goneAt = events.findIndex(({ type }) => type === 'target-gone')
    const records = [...JOBS, ...events].filter((record, position) => goneAt === -1 || position < goneAt + JOBS.length || record.type !== 'placed' || record.runs[0]?.[2] !== 'worker-9@1')
    const [replayedFrom, snapshotAt] = [Math.min(first, second), Math.max(first, second)]
    const restored = createTable([...createTable(records.slice(0, snapshotAt)).toRecords(), ...records.slice(replayedFrom)])
    return describeTable(restored) === describeTable(createTable(records))
  })
  t.notThrows(() => fc.assert(property, { seed: 37, numRuns: 3_000 }))
})

// Guards against starts that a successor takes for ones in transit, or no longer does although their task was placed again.
test('a snapshot keeps which of the placed runs have begun', t => {
  const started = (index: number, attempt: number): LogRecord => ({ type: 'started', job: 'a', occurrence: 0, step: 0, runs: [[index, attempt]] })
  const table = createTable([createJobRecord('a', [createStep(3)]), placed('a', 0, 0, 1), placed('a', 0, 1, 1), placed('a', 0, 2, 1), started(0, 1), started(1, 1), started(2, 2), placed('a', 0, 1, 2, 'worker-2@1')])
  for (const each of [table, createTable(table.toRecords())]) t.deepEqual(each.jobs.get('a')?.steps[0]?.tasks.map(({ isStarted }) => isStarted), [true, false, false])
})

// Guards against a task that is placed again while its start may still be executed, because an earlier record was about another attempt.
test('a snapshot keeps for how long the starts of the placed runs may still be executed', t => {
  const expiry = (index: number, attempt: number, remainingMs: number): LogRecord => ({ type: 'start-expiry', job: 'a', occurrence: 0, step: 0, runs: [[index, attempt, remainingMs]] })
  const table = createTable([createJobRecord('a', [createStep(3)]), placed('a', 0, 0, 1), placed('a', 0, 1, 1), placed('a', 0, 2, 1), expiry(0, 1, 9_000), expiry(0, 1, 3_000), expiry(1, 1, 2_000), placed('a', 0, 1, 2, 'worker-2@1'), expiry(1, 1, 1_000)])
  for (const each of [table, createTable([...table.toRecords(), expiry(0, 1, 9_000)])]) t.deepEqual(each.jobs.get('a')?.steps[0]?.tasks.map(({ startExpiresInMs }) => startExpiresInMs), [3_000, Infinity, Infinity])
})

// Guards against a successor that shows jobs as active, and no longer as pending, whose tasks were placed on a target that starts nothing.
test('a job is active once one of its runs has begun, also after that run was lost, and not by its placement', t => {
  const started: LogRecord = { type: 'started', job: 'a', occurrence: 0, step: 0, runs: [[0, 1]] }
  const table = createTable([createJobRecord('a', [createStep(1)]), placed('a', 0, 0, 1)])
  const states = (): readonly unknown[] => [table, createTable(table.toRecords())].map(each => each.jobs.get('a')?.state)
  t.deepEqual(states(), ['queued', 'queued'])
  table.apply(started)
  t.deepEqual(states(), ['active', 'active'])
  table.apply({ type: 'target-gone', id: 'worker-1', bornMs: 1 })
  t.deepEqual(states(), ['active', 'active'])
})
