/** Compares the answers that callers received with the events of the targets, and returns one line per violation. */
import { parseTaskName } from '../../src/jobs/job.ts'
import type { TaskName } from '../../src/jobs/job.ts'
import type { CapacityChange } from '../../src/platform/standIn/standInPlatform.ts'
import { DEFAULT_LATE_MS } from '../../src/platform/standIn/standInWorker.ts'
import type { WorkerEvent } from '../../src/platform/standIn/standInWorker.ts'

/** One job of the load and the answers that its caller received. */
export interface SoakJob {
  readonly id: string
  readonly team: string
  /** Number of tasks of each step; a step starts when the previous one is done. */
  readonly steps: readonly number[]
  /** Thousandths of a core per task. */
  readonly cpu: number
  /** Whether the first task crashes each target that starts it. */
  readonly deadly?: boolean
  /** Whether the tasks run until the job is cancelled. */
  readonly lasting?: boolean
  /** When the submission was answered with 2xx. */
  acceptedAtMs?: number
  /** Whether an attempt was neither accepted nor rejected as never to run. */
  outcomeUnknown: boolean
  /** When the cancellation was answered with 2xx, or, if the submission was not accepted by then, with 410. */
  cancelledAtMs?: number
  /** Whether a cancellation was sent, regardless of its answer. */
  cancelSent: boolean
  /** Reported states in order, with the time of each report; for `no-job` it is the time of the query. */
  readonly shownStates: { readonly atMs: number, readonly state: string }[]
}

export interface SoakRecord {
  readonly jobs: ReadonlyMap<string, SoakJob>
  readonly events: readonly WorkerEvent[]
  /** Runs whose end was acknowledged, as TASK#ATTEMPT. */
  readonly acknowledged: ReadonlySet<string>
  /** Capacity of each target, and cap of each team across all targets, in thousandths of a core. */
  readonly workerCpu: number
  /** Changes of the capacity of targets, in chronological order. */
  readonly capacityChanges?: readonly CapacityChange[]
  readonly teamCaps: ReadonlyMap<string, number>
  /** Longest time by which the stand-in delays orders. */
  readonly longestDelayMs?: number
  /** Whether jobs that are not done at the end are judged elsewhere. */
  readonly allowsUnfinished?: boolean
}

/** The platform's `cancel_ms`: time after the acknowledged cancellation of a job within which its tasks may still start. */
const CANCEL_MS = 3_000
/** Margin for the answer to an order, in addition to the longest delay by the stand-in. */
const ORDER_ANSWER_MS = 400
/** The platform's `contact_ms` and one check-in of a target. */
const SHRINK_NOTICE_MS = 5_500
/** Two starts after the third crash. */
const MAX_DEADLY_STARTS = 5
/** The platform's `quota_overrun`, as a fraction of the cap. */
const CAP_OVERRUN = 0.1

/**
 * Checks the record of a finished run.
 *
 * @example
 * t.deepEqual(checkSoak(record), [])
 */
export function checkSoak (record: SoakRecord): readonly string[] {
  return [...new Set([...checkRuns(record), ...checkAnswers(record)])]
}

/** Checks the target events: no task runs twice, no target or team exceeds its limit, steps run in order, and nothing runs without a submission. */
function checkRuns ({ jobs, events, acknowledged, workerCpu, capacityChanges = [], teamCaps, longestDelayMs = DEFAULT_LATE_MS }: SoakRecord): readonly string[] {
  const violations: string[] = []
  const running = new Map<string, WorkerEvent>()
  /** `ended`: tasks that ended as done; `done`: those of them whose end was acknowledged and is final. */
  const ended = new Set<string>()
  const done = new Set<string>()
  const usedByWorker = new Map<string, number>()
  const usedByTeam = new Map<string, number>()
  const deadlyStarts = new Map<string, number>()
  for (const event of events) {
    const name = parseTaskName(event.task)
    const job = name === undefined ? undefined : jobs.get(name.job)
    if (name === undefined || job === undefined) {
      violations.push(`UNASKED: ${event.task} was never submitted`)
      continue
    }
    const sign = event.type === 'started' ? 1 : -1
    const worker = addTo(usedByWorker, event.worker, sign * job.cpu)
    const team = addTo(usedByTeam, job.team, sign * job.cpu)
    if (event.type === 'ended') {
      running.delete(event.task)
      if (event.end === 'done') ended.add(event.task)
      if (event.end === 'done' && acknowledged.has(`${event.task}#${event.attempt}`)) done.add(event.task)
      continue
    }
    const other = running.get(event.task)
    if (other !== undefined) violations.push(`TWICE: ${event.task} was started on ${event.worker} while it ran on ${other.worker}`)
    if (done.has(event.task)) violations.push(`TWICE: ${event.task} was started after it was done`)
    running.set(event.task, event)
    const capacity = largestRecentCapacity(event, workerCpu, capacityChanges)
    if (worker > capacity) violations.push(`LIMIT: ${event.worker} ran ${worker} of ${capacity}`)
    const cap = teamCaps.get(job.team) ?? 0
    if (cap > 0 && team > cap * (1 + CAP_OVERRUN) + job.cpu) violations.push(`QUOTA: ${job.team} ran ${team} of ${cap}`)
    if (name.step > 0 && countDone(ended, job, name.step - 1) < (job.steps[name.step - 1] ?? 0)) violations.push(`ORDER: ${event.task} was started before step ${name.step - 1} was done`)
    const starts = job.deadly === true ? addTo(deadlyStarts, event.task, 1) : 0
    if (isFirstTask(name) && starts > MAX_DEADLY_STARTS) violations.push(`BUDGET: ${event.task} was started ${starts} times`)
    if (job.acceptedAtMs === undefined && !job.outcomeUnknown) violations.push(`REFUSED: ${event.task} was started though its job was refused`)
    if (job.cancelledAtMs !== undefined && event.atMs > job.cancelledAtMs + CANCEL_MS + longestDelayMs + ORDER_ANSWER_MS) violations.push(`UNASKED: ${event.task} was started ${event.atMs - job.cancelledAtMs} ms after the cancellation`)
  }
  return violations
}

/** Capacity that a coordinator may still count on: a target that has shrunk counts as larger for `SHRINK_NOTICE_MS`. */
function largestRecentCapacity ({ worker, atMs }: WorkerEvent, initial: number, changes: readonly CapacityChange[]): number {
  const own = changes.filter(change => change.worker === worker && change.atMs <= atMs)
  const before = own.filter(change => change.atMs <= atMs - SHRINK_NOTICE_MS).at(-1)?.processors ?? initial
  return Math.max(before, ...own.filter(change => change.atMs > atMs - SHRINK_NOTICE_MS).map(({ processors }) => processors))
}

/** Checks the callers' answers: no accepted job is lost, and every reported outcome is correct. */
function checkAnswers ({ jobs, events, allowsUnfinished = false }: SoakRecord): readonly string[] {
  const violations: string[] = []
  const firstDoneTimes = findFirstDoneTimes(events)
  for (const job of jobs.values()) {
    const total = job.steps.reduce((sum, count) => sum + count, 0)
    const ends = firstDoneTimes.get(job.id) ?? new Map()
    for (const { atMs, state } of job.shownStates) {
      if (state === 'completed' && (ends.size < total || Math.max(...ends.values()) > atMs)) violations.push(`MIXED: ${job.id} was reported as completed with ${ends.size} of ${total} tasks done`)
      if (state === 'failed' && job.deadly !== true) violations.push(`LOST: ${job.id} was reported as failed, but none of its tasks failed`)
      if (state === 'cancelled' && !job.cancelSent) violations.push(`LOST: ${job.id} was reported as cancelled, but no cancellation was sent`)
      if (state === 'no-job' && job.acceptedAtMs !== undefined && atMs > job.acceptedAtMs) violations.push(`LOST: ${job.id} was accepted but is unknown`)
    }
    const last = job.shownStates.at(-1)?.state
    if (!allowsUnfinished && job.acceptedAtMs !== undefined && !job.cancelSent && last !== (job.deadly === true ? 'failed' : 'completed')) violations.push(`LOST: ${job.id} was accepted but is ${last ?? 'not reported'} at the end`)
  }
  return violations
}

function isFirstTask ({ occurrence, step, index }: TaskName): boolean {
  return occurrence === 0 && step === 0 && index === 0
}

function addTo (sums: Map<string, number>, key: string, amount: number): number {
  const sum = (sums.get(key) ?? 0) + amount
  sums.set(key, sum)
  return sum
}

function countDone (ended: ReadonlySet<string>, job: SoakJob, step: number): number {
  let count = 0
  for (let index = 0; index < (job.steps[step] ?? 0); index++) {
    if (ended.has(`${job.id}.0.${step}.${index}`)) count += 1
  }
  return count
}

/** Returns the time at which each task of each job was first done. */
function findFirstDoneTimes (events: readonly WorkerEvent[]): ReadonlyMap<string, ReadonlyMap<string, number>> {
  const byJob = new Map<string, Map<string, number>>()
  for (const { type, end, task, atMs } of events) {
    const name = parseTaskName(task)
    if (type !== 'ended' || end !== 'done' || name === undefined) continue
    const tasks = byJob.get(name.job) ?? new Map<string, number>()
    if (!tasks.has(task)) tasks.set(task, atMs)
    byJob.set(name.job, tasks)
  }
  return byJob
}
