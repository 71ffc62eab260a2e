import test from 'ava'
import { createAssignments } from '../testing/assignments.ts'
import { Assignment } from '../targets/assignment.ts'
import { LearnedRunTimes } from './learnedRunTimes.ts'
import { SlowTargets } from './slowTargets.ts'
import type { ObservedTarget } from './slowTargets.ts'
import { generateDurations, stepOf } from './testing/runs.ts'

const DISTRIBUTION = { declaredMs: 1_000, deviation: 0.9, tailFraction: 0.03, tailFactor: 7 }

function learnedTimes (): LearnedRunTimes {
  const runTimes = new LearnedRunTimes({ defaultRemoteFactor: 1 })
  for (const [index, durationMs] of generateDurations(500, { ...DISTRIBUTION, seed: 3 }).entries()) runTimes.learn({ step: stepOf({ estimateMs: 1_000 }), durationMs, isRemote: false, nowMs: index * 20 })
  return runTimes
}

function startRun (job: string, startedAtMs: number, estimateMs = 1_000): Assignment {
  const [assignment] = createAssignments(job, 1, { estimateMs })
  if (assignment === undefined) throw new Error('there is no run')
  assignment.startedAtMs = startedAtMs
  return assignment
}

const createTargets = (count: number, service = 'renders'): readonly ObservedTarget[] =>
  Array.from({ length: count }, (_, number) => ({ key: `${service}-${number}`, description: { service }, assignments: new Map<string, Assignment>() }))

/** Ends eight runs on each target, which take `factorOf` times as long as others. */
function endRuns (slowTargets: SlowTargets, targets: readonly ObservedTarget[], factorOf: (number: number) => number): void {
  for (const [number, { key }] of targets.entries()) {
    for (const [index, durationMs] of generateDurations(8, { ...DISTRIBUTION, seed: number + 17 }).entries()) slowTargets.recordEnd(key, startRun(`job-${number}-${index}`, 10_000 - durationMs * factorOf(number)), 10_000)
  }
}

test('a target that takes four times as long is avoided, though run times vary by 0.9, and only for as long as that is known', t => {
  const slowTargets = new SlowTargets(learnedTimes())
  const targets = createTargets(40)
  endRuns(slowTargets, targets, number => number === 7 ? 4 : 1)
  t.true(slowTargets.update(targets, 10_000))
  t.deepEqual([...slowTargets.slow], ['renders-7'])
  t.true(slowTargets.update(targets, 20_000))
  t.false(slowTargets.isSlow('renders-7'))
})

test('no more than a tenth of the targets of a service is avoided, however many seem slow', t => {
  const slowTargets = new SlowTargets(learnedTimes())
  const targets = [...createTargets(30), ...createTargets(9, 'checks')]
  endRuns(slowTargets, targets, () => 5)
  slowTargets.update(targets, 10_000)
  t.is(slowTargets.slow.size, 3)
})

test('one job whose tasks all take long does not make its target look slow', t => {
  const slowTargets = new SlowTargets(learnedTimes())
  const targets = createTargets(10)
  for (let index = 0; index < 8; index++) slowTargets.recordEnd('renders-0', startRun('long', 0), 9_000)
  slowTargets.update(targets, 9_000)
  t.is(slowTargets.slow.size, 0)
})

test('a target on which nothing ends any more is noticed by the runs that are overdue', t => {
  const slowTargets = new SlowTargets(learnedTimes())
  const targets = createTargets(10).map((target, number) => number === 0 ? { ...target, assignments: new Map(['a', 'b', 'c', 'd'].map(job => [job, startRun(job, 0)])) } : target)
  slowTargets.update(targets, 1_000)
  t.is(slowTargets.slow.size, 0)
  slowTargets.update(targets, 4_000)
  t.deepEqual([...slowTargets.slow], ['renders-0'])
  slowTargets.update(targets, 20_000)
  t.is(slowTargets.slow.size, 0)
})

// Guards against verdicts by the time since a hand-over, which is not the run time.
test('runs whose starts were not seen are not compared', t => {
  const slowTargets = new SlowTargets(learnedTimes())
  const targets = createTargets(10)
  for (let index = 0; index < 8; index++) slowTargets.recordEnd('renders-0', Object.assign(startRun(`job-${index}`, 0), { isStartSeen: false }), 9_000)
  slowTargets.update(targets, 9_000)
  t.is(slowTargets.slow.size, 0)
})

// Guards against healthy targets that are avoided, since runs take infinitely longer than a declared time of 0.
test('runs without a declared time are not compared', t => {
  const slowTargets = new SlowTargets(learnedTimes())
  const targets = createTargets(10)
  for (let index = 0; index < 8; index++) slowTargets.recordEnd('renders-0', startRun(`job-${index}`, 0, 0), 100)
  slowTargets.update(targets, 100)
  t.is(slowTargets.slow.size, 0)
})
