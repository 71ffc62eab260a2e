import test from 'ava'
import type { Assignment } from './assignment.ts'
import { CLEARING_TIME_MS, OutageHistory, areIsolated, classifyCrash, hasCommonCause } from './crashEvidence.ts'
import type { Crash, Outage } from './crashEvidence.ts'
import { createAssignments } from '../testing/assignments.ts'

function classify (runs: readonly Assignment[], changes: Partial<Crash> = {}): readonly unknown[] {
  const evidence = classifyCrash({ runs, lastAnswerMs: 60_000, hasOtherCause: false, ...changes })
  return runs.map(run => evidence.get(run))
}

function reported (runs: readonly Assignment[], atMs = 1_000): readonly Assignment[] {
  for (const run of runs) Object.assign(run, { reported: true, firstReportedAtMs: atMs })
  return runs
}

function outage (target: string, afterMs: number, byMs: number, rack = target, hasIsolatedRuns = false): Outage {
  return { target, rack, afterMs, byMs, hasIsolatedRuns }
}

test('runs that shared a target with others are suspected only if the target had not shown them yet', t => {
  t.deepEqual(classify([...reported(createAssignments('a')), ...createAssignments('b', 2), ...reported(createAssignments('c'))]), ['shared', 'suspected', 'suspected', 'shared'])
  t.deepEqual(classify([...reported(createAssignments('a')), ...reported(createAssignments('b'))]), ['shared', 'suspected'], 'or if it was the last one')
})

test('after a change of coordinator, of the runs that it finds in the log only those of the last job are suspected', t => {
  t.deepEqual(classify([...createAssignments('a', 2, {}, 'recovering'), ...createAssignments('b', 1, {}, 'recovering')]), ['shared', 'shared', 'suspected'])
})

test('a crash is a lone one for the runs of one job only without another cause', t => {
  t.deepEqual(classify(createAssignments('a', 2)), ['lone', 'lone'])
  t.deepEqual(classify(createAssignments('a', 2), { hasOtherCause: true }), ['shared', 'shared'])
})

test('a lasting task does not hide which task beside it crashed the target, and is not given up for it', t => {
  const lasting = reported(createAssignments('service', 1, { longRunning: true }), 55_000)
  t.deepEqual(classify([...lasting, ...createAssignments('a')]), ['shared', 'lone'])
  t.deepEqual(classify(lasting), ['lone'], 'it has been at work for a few seconds')
  t.deepEqual(classify(reported(createAssignments('service', 1, { longRunning: true }), 60_000 - CLEARING_TIME_MS)), ['cleared'])
})

test('outages of a rack, or of several targets, at the same time have a common cause', t => {
  const history = new OutageHistory()
  const crash = outage('t-1', 1_000, 1_020, 'r-1')
  const causeWith = (...failing: readonly Outage[]): boolean => hasCommonCause(crash, history.findCoincident(crash, failing))
  t.false(causeWith(outage('t-2', 900, 1_010)))
  t.true(causeWith(outage('t-2', 900, 1_010, 'r-1')), 'one other target of the rack')
  t.true(causeWith(outage('t-2', 900, 1_010), outage('t-3', 1_010, 3_000)))
  t.false(causeWith(outage('t-2', 1_100, 1_200, 'r-1'), outage('t-3', 100, 900)), 'at other times')
  t.false(causeWith(outage('t-2', 900, 1_010, 'r-1', true)), 'the other target was kept for a suspected job')
  history.record(outage('t-2', 900, 1_010, 'r-1'))
  t.true(causeWith(), 'the other target has restarted already')
})

// Guards against crashes of shared targets that count as a common cause for others, so that no task is ever found to be the cause.
test('a target that suspected lasting tasks of several jobs share counts as isolated, one with other work does not', t => {
  const suspects = ['a', 'b'].flatMap(id => createAssignments(id, 1, { longRunning: true }))
  for (const { task } of suspects) task.step.recordCrash(0, 1, 'suspected', 't-0')
  t.true(areIsolated(suspects))
  t.false(areIsolated([...suspects, ...createAssignments('c')]))
})
