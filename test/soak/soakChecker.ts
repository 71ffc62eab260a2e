/** Compares what callers were told with what targets saw; each broken promise is one line. */
import { parseTaskName } from '../../src/jobs/job.ts'
import type { WorkerEvent } from '../../src/platform/standIn/standInWorker.ts'

/** One job of the load, and what its caller was told. */
export interface SoakJob {
  readonly id: string
  readonly team: string
  /** Number of tasks of each step; a step begins when the one before is done. */
  readonly steps: readonly number[]
  /** Thousandths of a core of each task. */
  readonly cpu: number
  /** A 2xx to the submission. */
  acceptedAtMs?: number
  /** An attempt that was neither accepted nor refused as never running. */
  outcomeUnknown: boolean
  /** A 2xx to the cancellation. */
  cancelledAtMs?: number
  /** A cancellation was sent, whatever came back. */
  cancelSent: boolean
  /** States that were shown, in order, with the times at which they were asked for. */
  readonly shownStates: { readonly atMs: number, readonly state: string }[]
}

export interface SoakRecord {
  readonly jobs: ReadonlyMap<string, SoakJob>
  readonly events: readonly WorkerEvent[]
  /** Runs whose ends were acknowledged, as TASK#ATTEMPT. */
  readonly acknowledged: ReadonlySet<string>
  /** Thousandths of a core of each target, and of each team over all of them. */
  readonly workerCpu: number
  readonly teamCaps: ReadonlyMap<string, number>
}

/** No task of a job starts later after its cancellation was acknowledged; the platform's `cancel_ms`. */
const CANCEL_MS = 3_000
/** An order on its way may still arrive that late; the longest delay of late orders of the stand-in and its answer. */
const LATE_ORDER_MS = 1_000
/** The platform's `quota_overrun`. */
const CAP_OVERRUN = 0.1

/**
 * Checks a finished run.
 *
 * @example
 * t.deepEqual(checkSoak(record), [])
 */
export function checkSoak (record: SoakRecord): readonly string[] {
  return [...new Set([...checkRuns(record), ...checkAnswers(record)])]
}

/** What targets saw: no task twice, no target or team above its limit, steps in order, nothing unasked. */
function checkRuns ({ jobs, events, acknowledged, workerCpu, teamCaps }: SoakRecord): readonly string[] {
  const violations: string[] = []
  const running = new Map<string, WorkerEvent>()
  /** Tasks that have ended as done, and those of them whose end counts for good. */
  const ended = new Set<string>()
  const done = new Set<string>()
  const usedByWorker = new Map<string, number>()
  const usedByTeam = new Map<string, number>()
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
    if (worker > workerCpu) violations.push(`LIMIT: ${event.worker} ran ${worker} of ${workerCpu}`)
    const cap = teamCaps.get(job.team) ?? 0
    if (cap > 0 && team > cap * (1 + CAP_OVERRUN) + job.cpu) violations.push(`QUOTA: ${job.team} ran ${team} of ${cap}`)
    if (name.step > 0 && countDone(ended, job, name.step - 1) < (job.steps[name.step - 1] ?? 0)) violations.push(`ORDER: ${event.task} was started before step ${name.step - 1} was done`)
    if (job.acceptedAtMs === undefined && !job.outcomeUnknown) violations.push(`REFUSED: ${event.task} was started though its job was refused`)
    if (job.cancelledAtMs !== undefined && event.atMs > job.cancelledAtMs + CANCEL_MS + LATE_ORDER_MS) violations.push(`UNASKED: ${event.task} was started ${event.atMs - job.cancelledAtMs} ms after the cancellation`)
  }
  return violations
}

/** What callers were told: nothing accepted is lost, and an outcome that is shown is true. */
function checkAnswers ({ jobs, events }: SoakRecord): readonly string[] {
  const violations: string[] = []
  const firstDoneTimes = findFirstDoneTimes(events)
  for (const job of jobs.values()) {
    const total = job.steps.reduce((sum, count) => sum + count, 0)
    const ends = firstDoneTimes.get(job.id) ?? new Map()
    for (const { atMs, state } of job.shownStates) {
      if (state === 'completed' && (ends.size < total || Math.max(...ends.values()) > atMs)) violations.push(`MIXED: ${job.id} was shown as completed with ${ends.size} of ${total} tasks done`)
      if (state === 'failed') violations.push(`LOST: ${job.id} was shown as failed, and no task of it failed`)
      if (state === 'cancelled' && !job.cancelSent) violations.push(`LOST: ${job.id} was shown as cancelled`)
      if (state === 'no-job' && job.acceptedAtMs !== undefined && atMs > job.acceptedAtMs) violations.push(`LOST: ${job.id} was accepted and is not known`)
    }
    const last = job.shownStates.at(-1)?.state
    if (job.acceptedAtMs !== undefined && !job.cancelSent && last !== 'completed') violations.push(`LOST: ${job.id} was accepted and is ${last ?? 'not shown'} at the end`)
  }
  return violations
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

/** When each task of each job was first done. */
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
